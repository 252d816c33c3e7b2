//! The records' changes as this daemon read them, for daemons that follow it.

use std::collections::BTreeMap;

use store::{Changes, Entry, Revision};

/// Deleted keys that are remembered; a follower that is further behind reads every key anew.
const MAX_DELETED: usize = 2_000;

/// The present entries under one prefix, and the keys deleted of late.
#[derive(Debug)]
pub struct Feed {
    /// Revision before which deletions are not known.
    floor: Revision,
    /// Revision up to which changes are known.
    at: Revision,
    written: BTreeMap<String, Entry>,
    /// Deleted keys, each with the revision at which it was surely gone.
    deleted: BTreeMap<String, Revision>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            floor: Revision(u64::MAX),
            at: Revision(0),
            written: BTreeMap::new(),
            deleted: BTreeMap::new(),
        }
    }
}

impl Feed {
    /// Takes in a read of every key at `revision`.
    pub fn scanned(&mut self, entries: &[Entry], revision: Revision) {
        let entries = entries
            .iter()
            .map(|entry| (entry.key.clone(), entry.clone()));
        self.written = entries.collect();
        self.deleted.clear();
        self.floor = revision;
        self.at = revision;
    }

    /// Takes in the changes that followed.
    pub fn changed(&mut self, changes: &Changes) {
        for key in &changes.deleted {
            self.written.remove(key);
            self.deleted.insert(key.clone(), changes.revision);
        }
        for entry in &changes.entries {
            self.deleted.remove(&entry.key);
            self.written.insert(entry.key.clone(), entry.clone());
        }
        self.at = self.at.max(changes.revision);
        if self.deleted.len() > MAX_DELETED {
            self.floor = self.at;
            self.deleted.clear();
        }
    }

    /// Returns what changed after `after`; nothing if that is too long ago to tell.
    pub fn since(&self, after: Revision) -> Option<Changes> {
        if after < self.floor {
            return None;
        }
        let written = self.written.values();
        let deleted = self.deleted.iter();
        Some(Changes {
            entries: written
                .filter(|entry| entry.revision > after)
                .cloned()
                .collect(),
            deleted: deleted
                .filter(|(_, revision)| **revision > after)
                .map(|(key, _)| key.clone())
                .collect(),
            revision: self.at.max(after),
        })
    }
}
