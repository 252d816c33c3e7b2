//! Schedules the reads of the store that follow the keys under one prefix.

use std::time::Duration;

use store::{Error, Revision};
use tokio::time::Instant;

/// Backoff after the first failed read; doubled with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest backoff after failed reads. Reads must succeed again within 2 s of the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Length of a watch while the store answers. The store counts each watch as one call, so long watches
/// are cheap. A watch that outlasts the store's history (20 s) would need a rescan of every key.
const WATCH_WAIT: Duration = Duration::from_secs(12);

/// Length of the first watch after a failure; short, to detect quickly whether the store is back.
const WATCH_WAIT_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// A read of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Read {
    /// Read every key from the store, or from a relay.
    Scan,
    /// Read every key from the store, or poll a relay, while values change in quick succession.
    Refresh {
        /// Revision after which changes are wanted.
        after: Revision,
    },
    /// Watch for changes.
    Watch {
        /// Revision after which changes are wanted.
        after: Revision,
        /// Longest wait for a change.
        wait: Duration,
    },
}

/// How changes that accumulated during one interval are read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CatchUp {
    /// From the store's history, which includes deletions.
    History,
    /// From the current values. The history would repeat a large value for each of its changes.
    Values,
}

/// Schedule of the reads that follow the keys under one prefix.
///
/// Designed for a storm of changes: reads are at least `min_interval` apart, so that one read covers
/// several changes made in quick succession.
#[derive(Debug)]
pub struct ReadSchedule {
    min_interval: Duration,
    catch_up: CatchUp,
    revision: Option<Revision>,
    /// Whether values are changing and are read at each interval, without a watch.
    refreshing: bool,
    due: Instant,
    failures: u32,
}

impl ReadSchedule {
    /// Creates a schedule that reads at most once per `min_interval` while there are changes.
    pub fn new(min_interval: Duration, catch_up: CatchUp, now: Instant) -> Self {
        Self {
            min_interval,
            catch_up,
            revision: None,
            refreshing: false,
            due: now,
            failures: 0,
        }
    }

    /// Returns the next read and the time at which it is due.
    pub fn next_read(&self) -> (Instant, Read) {
        let read = match self.revision {
            None => Read::Scan,
            Some(after) if self.refreshing => Read::Refresh { after },
            Some(after) => Read::Watch {
                after,
                wait: if self.failures == 0 {
                    WATCH_WAIT
                } else {
                    WATCH_WAIT_AFTER_FAILURE
                },
            },
        };
        (self.due, read)
    }

    /// Handles a scan at `revision`; `changed` says whether it differed from the last read.
    pub fn scanned(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.failures = 0;
        self.revision = Some(revision);
        self.refreshing = self.refreshing && changed;
        self.due = if self.refreshing {
            now + self.min_interval
        } else {
            now
        };
    }

    /// Handles a watch that ended at `revision`; `changed` says whether it returned changes.
    pub fn watched(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.relayed(revision, changed, now);
        self.refreshing = changed && self.catch_up == CatchUp::Values;
    }

    /// Handles the response of a relay, which sends changes up to `revision` as differences.
    pub fn relayed(&mut self, revision: Revision, changed: bool, now: Instant) {
        self.revision = self.revision.max(Some(revision));
        self.refreshing = false;
        self.failures = 0;
        self.due = if changed {
            now + self.min_interval
        } else {
            now
        };
    }

    /// Schedules a retry after a failed read. `jitter`, between 0 and 1, spreads the retries of a fleet.
    pub fn failed(&mut self, error: &Error, jitter: f64, now: Instant) {
        if *error == Error::Compacted {
            self.revision = None;
        }
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.due = now + backoff.min(MAX_BACKOFF).mul_f64(0.5 + jitter / 2.0);
    }

    /// Returns whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of reads that failed since the last one that succeeded.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
