//! What a ledger remembers of the chain it has read.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use model::{AcceptId, Version};

use crate::Tip;
use crate::link::Link;

/// Changes kept.
const MAX_LINKS: usize = 512;

/// Total size of the changes kept, in bytes.
const MAX_LINK_BYTES: usize = 1 << 20;

/// Versions back from the head by whose accept ids a repeated accept is known.
pub(crate) const SETTLE_DEPTH: u64 = 2_048;

/// Accept ids of consecutive versions.
#[derive(Debug, Default)]
struct Ids {
    by_version: BTreeMap<Version, AcceptId>,
    by_id: HashMap<AcceptId, Version>,
    /// Last version that is covered.
    high: Version,
}

/// What a ledger remembers. Drops the oldest at each limit.
#[derive(Debug)]
pub(crate) struct Cache {
    tip: Arc<Tip>,
    links: BTreeMap<Version, Link>,
    size: usize,
    ids: Ids,
}

impl Cache {
    pub(crate) fn new(tip: Tip) -> Self {
        Self {
            tip: Arc::new(tip),
            links: BTreeMap::new(),
            size: 0,
            ids: Ids::default(),
        }
    }

    /// Returns the newest tip read.
    pub(crate) fn tip(&self) -> &Arc<Tip> {
        &self.tip
    }

    /// Keeps `tip` if it is newer than the one kept.
    pub(crate) fn set_tip(&mut self, tip: &Arc<Tip>) {
        if tip.version > self.tip.version {
            self.tip = Arc::clone(tip);
        }
    }

    /// Returns the kept change of `version`.
    pub(crate) fn link(&self, version: Version) -> Option<&Link> {
        self.links.get(&version)
    }

    /// Keeps a change of the chain.
    pub(crate) fn add(&mut self, link: &Link) {
        self.size += link.size;
        if let Some(old) = self.links.insert(link.change.version, link.clone()) {
            self.size -= old.size;
        }
        while self.links.len() > MAX_LINKS || (self.size > MAX_LINK_BYTES && self.links.len() > 1) {
            if let Some((_, oldest)) = self.links.pop_first() {
                self.size -= oldest.size;
            }
        }
    }

    /// Returns the version after which accept ids are lacking up to `head`; `None` if none is.
    pub(crate) fn ids_lack(&self, head: Version) -> Option<Version> {
        let floor = head.get().saturating_sub(SETTLE_DEPTH);
        if self.ids.high == Version::default() || self.ids.high.get() < floor {
            return (head > Version::default()).then_some(Version::new(floor));
        }
        (self.ids.high < head).then_some(self.ids.high)
    }

    /// Adds the accept ids of consecutive changes after `low`.
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
        while self.ids.by_version.len() as u64 > SETTLE_DEPTH {
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
