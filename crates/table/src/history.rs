//! Recent changes, kept so that others can be brought up to date by what changed alone.

use std::collections::VecDeque;
use std::sync::Arc;

use model::{Digest, Version};

/// Number of changes kept.
const MAX_CHANGES: usize = 256;

/// Total size of the changes kept, in bytes.
const MAX_BYTES: usize = 4 << 20;

/// One applied change as canonical bytes.
#[derive(Debug, Clone)]
struct Step {
    version: Version,
    parent: Digest,
    bytes: Arc<[u8]>,
}

/// Recent changes, oldest first. The oldest are dropped at either limit.
#[derive(Debug, Default)]
pub(crate) struct History {
    steps: VecDeque<Step>,
    size: usize,
}

impl History {
    /// Adds the change that made `version`.
    pub(crate) fn push(&mut self, version: Version, parent: Digest, bytes: Arc<[u8]>) {
        self.size += bytes.len();
        self.steps.push_back(Step {
            version,
            parent,
            bytes,
        });
        while self.steps.len() > MAX_CHANGES || (self.size > MAX_BYTES && self.steps.len() > 1) {
            if let Some(oldest) = self.steps.pop_front() {
                self.size -= oldest.bytes.len();
            }
        }
    }

    /// Forgets every change.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
        self.size = 0;
    }

    /// Returns the changes after `version`, whose change has `digest`, if all are kept.
    pub(crate) fn since(&self, version: Version, digest: Digest) -> Option<Vec<Arc<[u8]>>> {
        let first = self
            .steps
            .iter()
            .position(|step| step.version == version.next())?;
        if self.steps[first].parent != digest {
            return None;
        }
        let steps = self.steps.range(first..);
        Some(steps.map(|step| Arc::clone(&step.bytes)).collect())
    }
}
