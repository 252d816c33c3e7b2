//! Accepted changes, whose chain is the audit trail.

use serde::{Deserialize, Serialize};

use crate::{AcceptId, Digest, Item, Key, OperatorName, TeamName, UnixMillis, Version};

/// Largest serialised change. The ledger splits it into parts below the store's value limit.
pub const MAX_CHANGE_BYTES: usize = 8 << 20;

/// An item that a change inserts, replaces or removes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the item.
    pub key: Key,
    /// New item; `None` if the change removes it.
    pub item: Option<Item>,
}

/// Reference to a checkpoint, the stored whole state of one version.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRef {
    /// Version of the state.
    pub version: Version,
    /// Digest of the change that created the version.
    pub digest: Digest,
    /// Root digest of the state.
    pub root: Digest,
    /// Number of parts that the checkpoint is split into.
    pub parts: u32,
}

/// An accepted change: the difference between a version and the one before it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change creates.
    pub version: Version,
    /// Digest of the previous change.
    pub parent: Digest,
    /// Newest checkpoint of an earlier version.
    pub base: Option<CheckpointRef>,
    /// Id of the accept.
    pub accept_id: AcceptId,
    /// Digest of the accepted configuration, which distinguishes a repeated accept from an accept
    /// of another configuration under the same id.
    pub request: Digest,
    /// Operator who accepted.
    pub operator: OperatorName,
    /// Teams whose items the accept replaced.
    pub teams: Vec<TeamName>,
    /// Reason given by the operator.
    pub reason: String,
    /// Time of the accept.
    pub at: UnixMillis,
    /// Items that changed.
    pub entries: Vec<Entry>,
    /// Root digest of the state after the change.
    pub root: Digest,
}

impl Change {
    /// Returns the canonical bytes, which the digest is computed over.
    ///
    /// # Panics
    ///
    /// Never: changes always serialise.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("changes serialise to JSON")
    }

    /// Parses a change from its canonical bytes.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a change of this format.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
