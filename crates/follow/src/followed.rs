//! What this daemon reads from the store, for the daemons that follow it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use store::{Changes, Entry, Revision};
use tokio::sync::watch;

use crate::feed::Feed;

/// What is read of one topic.
#[derive(Debug)]
pub(crate) struct Followed {
    /// Whether the store itself is followed, and answers.
    follows: AtomicBool,
    at: AtomicU64,
    /// Counts the reads that brought changes.
    reads: watch::Sender<u64>,
    feed: Mutex<Feed>,
}

impl Default for Followed {
    fn default() -> Self {
        Self {
            follows: AtomicBool::new(false),
            at: AtomicU64::new(0),
            reads: watch::Sender::new(0),
            feed: Mutex::default(),
        }
    }
}

impl Followed {
    /// Notes whether the store itself is followed, and answers.
    pub(crate) fn set_follows(&self, follows: bool) {
        self.follows.store(follows, Ordering::Relaxed);
    }

    /// Returns whether the store itself is followed, and answers.
    pub(crate) fn follows(&self) -> bool {
        self.follows.load(Ordering::Relaxed)
    }

    /// Takes in a read of every key at `revision`.
    pub(crate) fn scanned(&self, entries: &[Entry], revision: Revision) {
        self.lock().scanned(entries, revision);
        self.read(revision);
    }

    /// Takes in the changes that followed.
    pub(crate) fn changed(&self, changes: &Changes) {
        self.lock().changed(changes);
        self.read(changes.revision);
    }

    /// Notes a read at `revision`.
    pub(crate) fn read(&self, revision: Revision) {
        self.at.fetch_max(revision.0, Ordering::Relaxed);
        self.reads.send_modify(|reads| *reads += 1);
    }

    /// Returns the revision of the last read.
    pub(crate) fn at(&self) -> Revision {
        Revision(self.at.load(Ordering::Relaxed))
    }

    /// Returns what changed after `after`; nothing if that is too long ago to tell.
    pub(crate) fn since(&self, after: Revision) -> Option<Changes> {
        self.lock().since(after)
    }

    /// Returns what tells of each read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.reads.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
