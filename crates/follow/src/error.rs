//! Why the distribution could not start.

use std::io;

/// The distribution could not start.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The listener has no address.
    #[error("the fleet listener has no address ({0}); start again")]
    Listener(#[from] io::Error),
    /// The fleet's key cannot be sent.
    #[error("`fleet.key` has a character that a header cannot carry; use ASCII letters and digits")]
    Key,
}
