//! Why the ledger could not do what was asked.

use model::{AcceptId, Key, Problems, Version};

/// A failed call to the ledger.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The store failed and nothing was accepted.
    #[error("not accepted: {0}")]
    Store(#[from] store::Error),
    /// The configuration cannot be served; nothing was accepted.
    #[error("not accepted, the configuration has problems:\n{0}")]
    Invalid(Problems),
    /// The same parts changed since the parent; nothing was accepted.
    #[error(
        "not accepted, head is {head} and these parts changed since {parent}: {}; \
         look at `sardinestall diff {parent} {head}`, print again and accept with parent {head}",
        list(keys)
    )]
    Conflict {
        /// Version that the configuration was made against.
        parent: Version,
        /// Version in force.
        head: Version,
        /// Parts of the same teams that changed in between.
        keys: Vec<Key>,
    },
    /// The swap's answer was lost and the store did not come back.
    #[error(
        "unknown whether it was accepted; when the store is back, \
         `sardinestall accept --accept-id {0}` with the same file settles it"
    )]
    Unknown(AcceptId),
    /// Other operators moved the head each time; nothing was accepted.
    #[error("not accepted, head moved {0} times meanwhile; accept again")]
    Busy(u32),
    /// The version does not exist.
    #[error("version {0} does not exist or is no longer kept; see `sardinestall log`")]
    NoVersion(Version),
    /// What the store holds does not match its digest.
    #[error(
        "the store holds damaged data at `{0}`; restore it, versions in force stay as they are"
    )]
    Damaged(String),
}

fn list(keys: &[Key]) -> String {
    let keys: Vec<String> = keys.iter().map(Key::to_string).collect();
    keys.join(", ")
}
