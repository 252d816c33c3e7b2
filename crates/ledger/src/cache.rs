//! In-memory cache of the part of the chain that was read.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use model::{AcceptId, Version};

use crate::ChainHead;
use crate::link::Link;

/// Largest number of cached changes.
const MAX_CACHED_LINKS: usize = 512;

/// Limit on the total size of the cached changes. The newest is kept whatever its size.
const MAX_CACHED_BYTES: usize = 1 << 20;

/// Versions back from the head whose accept ids are indexed to recognise a repeated accept.
pub(crate) const ACCEPT_ID_WINDOW_VERSIONS: u64 = 2_048;

/// Index of the accept ids of consecutive versions.
#[derive(Debug, Default)]
struct Ids {
    by_version: BTreeMap<Version, AcceptId>,
    by_id: HashMap<AcceptId, Version>,
    /// Newest version in the index; zero if it is empty.
    high: Version,
}

/// Cached head, changes and accept ids. Evicts the oldest entries at each limit.
#[derive(Debug)]
pub(crate) struct Cache {
    head: Arc<ChainHead>,
    links: BTreeMap<Version, Link>,
    bytes: usize,
    ids: Ids,
}

impl Cache {
    pub(crate) fn new(head: ChainHead) -> Self {
        Self {
            head: Arc::new(head),
            links: BTreeMap::new(),
            bytes: 0,
            ids: Ids::default(),
        }
    }

    /// Returns the newest cached head.
    pub(crate) fn head(&self) -> &Arc<ChainHead> {
        &self.head
    }

    /// Caches `head` if it is newer than the cached one.
    pub(crate) fn set_head(&mut self, head: &Arc<ChainHead>) {
        if head.version > self.head.version {
            self.head = Arc::clone(head);
        }
    }

    /// Returns the cached change of `version`.
    pub(crate) fn link(&self, version: Version) -> Option<&Link> {
        self.links.get(&version)
    }

    /// Caches a change of the chain.
    pub(crate) fn add(&mut self, link: &Link) {
        self.bytes += link.size;
        if let Some(old) = self.links.insert(link.change.version, link.clone()) {
            self.bytes -= old.size;
        }
        while self.links.len() > MAX_CACHED_LINKS
            || (self.bytes > MAX_CACHED_BYTES && self.links.len() > 1)
        {
            if let Some((_, oldest)) = self.links.pop_first() {
                self.bytes -= oldest.size;
            }
        }
    }

    /// Returns the version after which accept ids up to `head` are not indexed; `None` if all are.
    pub(crate) fn missing_ids_after(&self, head: Version) -> Option<Version> {
        let floor = head.get().saturating_sub(ACCEPT_ID_WINDOW_VERSIONS);
        if self.ids.high == Version::default() || self.ids.high.get() < floor {
            return (head > Version::default()).then_some(Version::new(floor));
        }
        (self.ids.high < head).then_some(self.ids.high)
    }

    /// Indexes the accept ids of consecutive changes after `low`.
    pub(crate) fn add_ids(&mut self, low: Version, links: &[Link]) {
        if low != self.ids.high {
            self.ids = Ids::default();
        }
        for link in links {
            let (version, id) = (link.change.version, &link.change.accept_id);
            self.ids.by_version.insert(version, id.clone());
            self.ids.by_id.insert(id.clone(), version);
            self.ids.high = version;
        }
        while self.ids.by_version.len() as u64 > ACCEPT_ID_WINDOW_VERSIONS {
            let Some((version, id)) = self.ids.by_version.pop_first() else {
                break;
            };
            if self.ids.by_id.get(&id) == Some(&version) {
                self.ids.by_id.remove(&id);
            }
        }
    }

    /// Returns the version that was accepted under `id`.
    pub(crate) fn version_of(&self, id: &AcceptId) -> Option<Version> {
        self.ids.by_id.get(id).copied()
    }
}
