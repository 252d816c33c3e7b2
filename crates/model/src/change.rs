//! Accepted changes, which chain to the audit trail.

use serde::{Deserialize, Serialize};

use crate::{AcceptId, Digest, Item, Key, OperatorName, TeamName, UnixMillis, Version};

/// Largest serialised change, in bytes. The ledger stores it in parts that the store takes.
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// One item that a change puts or removes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the item.
    pub key: Key,
    /// New item, or `None` when the change removes it.
    pub item: Option<Item>,
}

/// Where a checkpoint, the whole state of one version, is kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Base {
    /// Version of the state.
    pub version: Version,
    /// Digest of the change that made the version.
    pub digest: Digest,
    /// Root digest of the state.
    pub root: Digest,
    /// Number of parts that it is split into.
    pub parts: u32,
}

/// One accepted change: the step from a version's parent to the version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Number of the version that the change makes.
    pub version: Version,
    /// Digest of the change before this one.
    pub parent: Digest,
    /// Newest checkpoint of an earlier version.
    pub base: Option<Base>,
    /// Id under which the accept was asked for.
    pub accept_id: AcceptId,
    /// Digest of the accepted configuration, by which a repeated accept is told from another one.
    pub request: Digest,
    /// Operator who accepted.
    pub operator: OperatorName,
    /// Teams whose parts the accept replaced.
    pub teams: Vec<TeamName>,
    /// Operator's reason.
    pub reason: String,
    /// When it was accepted.
    pub at: UnixMillis,
    /// Items that changed.
    pub entries: Vec<Entry>,
    /// Root digest of the state after the change.
    pub root: Digest,
}

impl Change {
    /// Returns the canonical bytes, over which the digest is taken.
    ///
    /// # Panics
    ///
    /// Never: changes always serialise.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("changes serialise to JSON")
    }

    /// Reads a change from its canonical bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a change of this format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
