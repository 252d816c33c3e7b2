//! Which read of the store comes next, to follow the keys under one prefix.

use std::time::Duration;

use store::{Error, Revision};
use tokio::time::Instant;

/// Pause after the first failed read; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failed read: entries are to be back 2 s after the store is.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Wait of a watch while the store answers. Watches are counted as calls, so long ones are cheap; one
/// that outlasts the store's history, 20 s, would end in a read of every key.
const LONG_WAIT: Duration = Duration::from_secs(12);

/// Wait of the first watch after a failure, which is to show soon whether the store is back.
const SHORT_WAIT: Duration = Duration::from_millis(500);

/// A read of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Read {
    /// Read every key.
    Scan,
    /// Read every key in the store, or wait for changes elsewhere: values change in quick succession.
    Refresh {
        /// Revision after which changes are wanted.
        after: Revision,
    },
    /// Wait for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: Revision,
        /// Longest wait for one.
        wait: Duration,
    },
}

/// How the changes of one gap are read once it has passed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CatchUp {
    /// By their history, which names the keys that were deleted.
    History,
    /// By the present values alone. A history repeats a large value for each of its changes.
    Values,
}

/// Follows the keys under one prefix.
///
/// Answers the load of a storm of changes: reads are at least a gap apart, so that changes in quick
/// succession come together in one.
#[derive(Debug)]
pub struct Tail {
    gap: Duration,
    catch_up: CatchUp,
    at: Option<Revision>,
    /// Whether values change and are read at each gap, without a watch.
    catching_up: bool,
    next: Instant,
    failures: u32,
}

impl Tail {
    /// Returns a tail that reads at most once in `gap` while there are changes.
    pub fn new(gap: Duration, catch_up: CatchUp, now: Instant) -> Self {
        Self {
            gap,
            catch_up,
            at: None,
            catching_up: false,
            next: now,
            failures: 0,
        }
    }

    /// Returns the next read and when it is due.
    pub fn next(&self) -> (Instant, Read) {
        let read = match self.at {
            None => Read::Scan,
            Some(after) if self.catching_up => Read::Refresh { after },
            Some(after) => Read::Watch {
                after,
                wait: if self.failures == 0 {
                    LONG_WAIT
                } else {
                    SHORT_WAIT
                },
            },
        };
        (self.next, read)
    }

    /// Notes a scan at `revision`, with changes since the last read or without.
    pub fn scanned(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.failures = 0;
        self.at = Some(revision);
        self.catching_up = self.catching_up && changed;
        self.next = if self.catching_up {
            now + self.gap
        } else {
            now
        };
    }

    /// Notes a watch that ended at `revision`, with changes or without.
    pub fn watched(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.relayed(revision, changed, now);
        self.catching_up = changed && self.catch_up == CatchUp::Values;
    }

    /// Notes the answer of a relay, which tells changes up to `revision` by differences.
    pub fn relayed(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.at = self.at.max(Some(revision));
        self.catching_up = false;
        self.failures = 0;
        self.next = if changed { now + self.gap } else { now };
    }

    /// Notes a failed read; `jitter` between 0 and 1 keeps a fleet from coming back at once.
    pub fn failed(&mut self, error: &Error, jitter: f64, now: Instant) {
        if *error == Error::Compacted {
            self.at = None;
        }
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.next = now + pause.min(MAX_PAUSE).mul_f64(0.5 + jitter / 2.0);
    }

    /// Returns whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}
