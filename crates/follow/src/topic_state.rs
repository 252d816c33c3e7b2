//! Last read of one topic from the store, served to daemons that poll this one.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use model::lock;
use store::{Changes, Entry, Revision, Scan};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::feed::Feed;

/// Last read of one topic.
#[derive(Debug)]
pub struct TopicState {
    /// Whether this daemon reads the store directly and the store answers.
    follows_store: AtomicBool,
    /// Revision of the last read.
    revision: watch::Sender<Revision>,
    /// Time at which the state here was known to miss no change.
    confirmed: Mutex<Option<Instant>>,
    feed: Mutex<Feed>,
}

impl Default for TopicState {
    fn default() -> Self {
        Self {
            follows_store: AtomicBool::new(false),
            revision: watch::Sender::new(Revision::ZERO),
            confirmed: Mutex::default(),
            feed: Mutex::default(),
        }
    }
}

impl TopicState {
    /// Sets whether this daemon reads the store directly and the store answers. Polls that wait here are woken when it
    /// no longer does, as this daemon would not see the change that they wait for.
    pub fn set_follows_store(&self, follows: bool) {
        let followed = self.follows_store.swap(follows, Ordering::Relaxed);
        if followed && !follows {
            self.revision.send_modify(|_| ());
        }
    }

    /// Returns whether this daemon reads the store directly and the store answers.
    pub fn follows_store(&self) -> bool {
        self.follows_store.load(Ordering::Relaxed)
    }

    /// Records that the state here missed no change at `at`.
    pub fn confirm(&self, at: Instant) {
        let mut confirmed = lock(&self.confirmed);
        *confirmed = Some(at).max(*confirmed);
    }

    /// Returns the latest time at which the state here was known to miss no change.
    pub fn confirmed(&self) -> Option<Instant> {
        *lock(&self.confirmed)
    }

    /// Returns the changes with which a scan differs from the entries here.
    pub fn difference(&self, scan: &Scan) -> Changes {
        self.lock().difference(scan)
    }

    /// Replaces the entries with a scan of every key at `revision`.
    pub fn apply_scan(&self, entries: &[Entry], revision: Revision) {
        self.lock().apply_scan(entries, revision);
        self.advance(revision);
    }

    /// Applies changes made after the last read.
    pub fn apply_changes(&self, changes: &Changes) {
        self.lock().apply_changes(changes);
        self.advance(changes.revision);
    }

    /// Advances the revision of the last read to `revision`, if that is later.
    pub fn advance(&self, revision: Revision) {
        self.revision
            .send_modify(|current| *current = revision.max(*current));
    }

    /// Returns the revision of the last read.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns all current entries, or `None` before the first scan.
    pub fn snapshot(&self) -> Option<Scan> {
        self.lock().snapshot()
    }

    /// Returns the current entry of `key`.
    pub fn entry(&self, key: &str) -> Option<Entry> {
        self.lock().entry(key)
    }

    /// Returns the changes after `after`, or `None` if deletions since then are not known.
    pub fn since(&self, after: Revision) -> Option<Changes> {
        self.lock().since(after)
    }

    /// Returns a receiver that is notified of each read, and of the loss of the store.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Feed> {
        lock(&self.feed)
    }
}
