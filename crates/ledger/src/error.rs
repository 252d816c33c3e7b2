//! Errors of the ledger.

use model::{AcceptId, Key, MAX_CHANGE_BYTES, Problems, Version};

/// A failed call to the ledger.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The store failed and nothing was accepted.
    #[error("not accepted: {0}")]
    Store(#[from] store::Error),
    /// The configuration is invalid; nothing was accepted.
    #[error("not accepted, the configuration has problems:\n{0}")]
    Invalid(Problems),
    /// Items of the same teams changed since the parent; nothing was accepted.
    #[error(
        "not accepted, head is {head} and these parts changed since {parent}: {}; \
         look at `sardinestall diff {parent} {head}`, print again and accept with parent {head}",
        list(keys)
    )]
    Conflict {
        /// Version that the configuration was made against.
        parent: Version,
        /// Newest version.
        head: Version,
        /// Items of the same teams that changed since the parent.
        keys: Vec<Key>,
    },
    /// The response to the swap was lost and the store stayed unavailable.
    #[error(
        "unknown whether it was accepted; when the store is back, \
         `sardinestall accept --accept-id {0}` with the same file settles it"
    )]
    Unknown(AcceptId),
    /// The accept id was already used for another configuration; nothing was accepted.
    #[error(
        "not accepted, accept id `{accept_id}` was used for another configuration in version \
         {version}; accept again under a new id"
    )]
    Reused {
        /// Accept id.
        accept_id: AcceptId,
        /// Version accepted under the id.
        version: Version,
    },
    /// The change exceeds [`MAX_CHANGE_BYTES`]; nothing was accepted.
    #[error(
        "not accepted, the change has {0} bytes, over the limit of {MAX_CHANGE_BYTES}; \
         accept it in several steps"
    )]
    TooLarge(usize),
    /// Other operators moved the head on every attempt, or the queue is full; nothing was accepted.
    #[error("not accepted, too many accepts at once ({0} tries); accept again")]
    Busy(u32),
    /// The version does not exist or has been removed.
    #[error("version {0} does not exist or is no longer kept; see `sardinestall log`")]
    NoVersion(Version),
    /// Data in the store does not match its digest.
    #[error(
        "the store holds damaged data at `{0}`; restore it, versions in force stay as they are"
    )]
    Damaged(String),
}

fn list(keys: &[Key]) -> String {
    let keys: Vec<String> = keys.iter().map(Key::to_string).collect();
    keys.join(", ")
}
