//! What this daemon reads from the store, for the daemons that follow it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use model::lock;
use store::{Changes, Entry, Revision};
use tokio::sync::watch;

use crate::feed::Feed;

/// What is read of one topic.
#[derive(Debug)]
pub(crate) struct Followed {
    /// Whether the store itself is followed, and answers.
    follows: AtomicBool,
    /// Revision of the last read.
    at: watch::Sender<Revision>,
    feed: Mutex<Feed>,
}

impl Default for Followed {
    fn default() -> Self {
        Self {
            follows: AtomicBool::new(false),
            at: watch::Sender::new(Revision(0)),
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
        self.at.send_modify(|at| *at = revision.max(*at));
    }

    /// Returns the revision of the last read.
    pub(crate) fn at(&self) -> Revision {
        *self.at.borrow()
    }

    /// Returns what changed after `after`; nothing if that is too long ago to tell.
    pub(crate) fn since(&self, after: Revision) -> Option<Changes> {
        self.lock().since(after)
    }

    /// Returns what tells of each read.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Revision> {
        self.at.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Feed> {
        lock(&self.feed)
    }
}
