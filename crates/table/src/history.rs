//! Recent changes, which let other daemons catch up by differences.

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Digest, Version};

/// Number of changes kept.
const MAX_CHANGES: usize = 256;

/// Limit on the total size of the changes kept. The newest is kept whatever its size.
const MAX_HISTORY_BYTES: usize = 4 << 20;

/// One applied change as canonical bytes.
#[derive(Debug, Clone)]
struct Entry {
    version: Version,
    parent: Digest,
    bytes: Arc<[u8]>,
}

/// Recent changes, oldest first. The oldest are dropped when either limit is exceeded.
#[derive(Debug, Default)]
pub(crate) struct History {
    entries: VecDeque<Entry>,
    total_bytes: usize,
}

impl History {
    /// Adds the change that leads to `version`.
    pub(crate) fn push(&mut self, version: Version, parent: Digest, bytes: Arc<[u8]>) {
        self.total_bytes += bytes.len();
        self.entries.push_back(Entry {
            version,
            parent,
            bytes,
        });
        while self.entries.len() > MAX_CHANGES
            || (self.total_bytes > MAX_HISTORY_BYTES && self.entries.len() > 1)
        {
            if let Some(oldest) = self.entries.pop_front() {
                self.total_bytes -= oldest.bytes.len();
            }
        }
    }

    /// Removes all changes.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.total_bytes = 0;
    }

    /// Returns the changes after `version`, whose change has `digest`, or `None` if some have been dropped.
    pub(crate) fn since(&self, version: Version, digest: Digest) -> Option<Vec<Arc<[u8]>>> {
        let first = self
            .entries
            .iter()
            .position(|entry| entry.version == version.next())?;
        if self.entries[first].parent != digest {
            return None;
        }
        let entries = self.entries.range(first..);
        Some(entries.map(|entry| Arc::clone(&entry.bytes)).collect())
    }
}
