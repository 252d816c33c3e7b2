//! Changes of the membership records as read from the store, served to daemons that poll this one.

use std::collections::{BTreeMap, BTreeSet};

use store::{Changes, Entry, Revision, Scan};

/// Maximum number of deleted keys kept. A follower that is further behind rescans every key.
const MAX_DELETED_KEYS: usize = 2_000;

/// Current entries under one prefix, and recently deleted keys.
#[derive(Debug)]
pub struct Feed {
    /// Oldest revision since which all deletions are known; `None` before the first scan.
    oldest: Option<Revision>,
    /// Latest revision that has been read.
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    /// Deleted keys, each with a revision at or after its deletion.
    deleted: BTreeMap<String, Revision>,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            oldest: None,
            revision: Revision::ZERO,
            entries: BTreeMap::new(),
            deleted: BTreeMap::new(),
        }
    }
}

impl Feed {
    /// Replaces the content with a scan of every key at `revision`.
    pub fn apply_scan(&mut self, entries: &[Entry], revision: Revision) {
        let entries = entries
            .iter()
            .map(|entry| (entry.key.clone(), entry.clone()));
        self.entries = entries.collect();
        self.deleted.clear();
        self.oldest = Some(revision);
        self.revision = revision;
    }

    /// Applies changes made after the last read.
    pub fn apply_changes(&mut self, changes: &Changes) {
        for key in &changes.deleted {
            self.entries.remove(key);
            self.deleted.insert(key.clone(), changes.revision);
        }
        for entry in &changes.entries {
            self.deleted.remove(&entry.key);
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.revision = self.revision.max(changes.revision);
        if self.deleted.len() > MAX_DELETED_KEYS {
            self.oldest = Some(self.revision);
            self.deleted.clear();
        }
    }

    /// Returns the changes with which `scan` differs from the entries here. Changes that arrived here after the
    /// scan are left out.
    pub fn difference(&self, scan: &Scan) -> Changes {
        let is_known = |entry: &&Entry| {
            let known = self.entries.get(&entry.key).map(|known| known.revision);
            known.max(self.deleted.get(&entry.key).copied()) >= Some(entry.revision)
        };
        let scanned: BTreeSet<&str> = scan
            .entries
            .iter()
            .map(|entry| entry.key.as_str())
            .collect();
        let is_gone = |entry: &&Entry| {
            entry.revision <= scan.revision && !scanned.contains(entry.key.as_str())
        };
        let entries = scan.entries.iter().filter(|entry| !is_known(entry));
        let deleted = self.entries.values().filter(is_gone);
        Changes {
            entries: entries.cloned().collect(),
            deleted: deleted.map(|entry| entry.key.clone()).collect(),
            revision: scan.revision,
        }
    }

    /// Returns all current entries, or `None` before the first scan.
    pub fn snapshot(&self) -> Option<Scan> {
        self.oldest.map(|_| Scan {
            entries: self.entries.values().cloned().collect(),
            revision: self.revision,
        })
    }

    /// Returns the current entry of `key`.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).cloned()
    }

    /// Returns the changes after `after`, or `None` if deletions since then are not known.
    pub fn since(&self, after: Revision) -> Option<Changes> {
        if self.oldest.is_none_or(|oldest| after < oldest) {
            return None;
        }
        let entries = self.entries.values();
        let deleted = self.deleted.iter();
        Some(Changes {
            entries: entries
                .filter(|entry| entry.revision > after)
                .cloned()
                .collect(),
            deleted: deleted
                .filter(|(_, revision)| **revision > after)
                .map(|(key, _)| key.clone())
                .collect(),
            revision: self.revision.max(after),
        })
    }
}
