//! Start-up errors.

use std::io;

/// The follower could not be started.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The listener has no address.
    #[error("the fleet listener has no address ({0}); start again")]
    Listener(#[from] io::Error),
    /// A header cannot carry the fleet's key.
    #[error("`fleet.key` has a character that a header cannot carry; use ASCII letters and digits")]
    Key,
}
