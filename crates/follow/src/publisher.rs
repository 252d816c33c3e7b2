//! Decides the next store call that keeps the local record in the store under a lease.

use std::time::Duration;

use store::{Era, Expect, LeaseId, Revision};
use tokio::time::Instant;

/// Renewals per lease lifetime: two lost renewals do not end the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Longest time between two renewals of a daemon that follows the store. A renewal is the only regular call
/// besides the watches, and reveals a store that was restored while the watches hang.
const FOLLOWER_RENEWAL: Duration = Duration::from_millis(700);

/// Time within which the store answers a renewal of a daemon that follows it; otherwise it counts as lost there. With
/// [`FOLLOWER_RENEWAL`], short enough for the daemons that poll this one to read a version from the store themselves
/// within 2 s of its acceptance.
const FOLLOWER_RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed call. Records must be back in the store within 2 s of its return.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The next store call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// No call is due before this instant.
    Wait(Instant),
    /// Request a new lease.
    Grant,
    /// Read the record's key, whose state is unknown after a lost response.
    Read,
    /// Write the record under the lease.
    Write {
        /// Lease that the key is attached to.
        lease: LeaseId,
        /// Precondition on the key, so that a delayed write fails instead of overwriting a later one.
        expect: Expect,
    },
    /// Renew the lease.
    Renew(LeaseId),
}

/// A lease and the time of its next renewal.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    renewed_at: Instant,
}

/// Keeps one record in the store under a lease.
#[derive(Debug)]
pub struct Publisher {
    ttl: Duration,
    lease: Option<Lease>,
    /// Last known revision of the key; `None` if the key is assumed to be absent.
    revision: Option<Revision>,
    /// Counter of the record that was last written under the lease.
    written: Option<u64>,
    /// Whether the state of the key is unknown.
    key_unknown: bool,
    /// Whether this daemon follows the store, rather than relays.
    follows_store: bool,
    retry_at: Instant,
}

impl Publisher {
    /// Creates a publisher whose leases live for `ttl`.
    pub fn new(ttl: Duration, now: Instant) -> Self {
        Self {
            ttl,
            lease: None,
            revision: None,
            written: None,
            key_unknown: false,
            follows_store: false,
            retry_at: now,
        }
    }

    /// Sets whether this daemon follows the store, rather than relays.
    pub fn set_follows_store(&mut self, follows: bool) {
        self.follows_store = follows;
    }

    /// Returns the era of the lease, if there is one.
    pub fn era(&self) -> Option<Era> {
        self.lease.map(|lease| lease.id.era)
    }

    /// Returns the time of the next renewal of `lease`.
    fn renew_at(&self, lease: Lease) -> Instant {
        let interval = self.ttl / RENEWALS_PER_TTL;
        lease.renewed_at
            + match self.follows_store {
                true => interval.min(FOLLOWER_RENEWAL),
                false => interval,
            }
    }

    /// Returns the time within which a renewal must be answered, if it is shorter than that of other calls.
    pub fn renewal_timeout(&self) -> Option<Duration> {
        self.follows_store.then_some(FOLLOWER_RENEWAL_TIMEOUT)
    }

    /// Returns the next call for the record with counter `wanted`.
    pub fn next(&self, wanted: u64, now: Instant) -> Step {
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        let Some(lease) = self.lease else {
            return Step::Grant;
        };
        if self.key_unknown {
            return Step::Read;
        }
        if self.written != Some(wanted) {
            return Step::Write {
                lease: lease.id,
                expect: self.revision.map_or(Expect::Absent, Expect::At),
            };
        }
        let renew_at = self.renew_at(lease);
        if now >= renew_at {
            return Step::Renew(lease.id);
        }
        Step::Wait(renew_at)
    }

    /// Handles the grant of a lease that was requested at `requested_at`.
    pub fn granted(&mut self, id: LeaseId, requested_at: Instant) {
        self.lease = Some(Lease {
            id,
            renewed_at: requested_at,
        });
        self.written = None;
    }

    /// Handles the response to a renewal that was requested at `requested_at`.
    pub fn renewed(&mut self, alive: bool, requested_at: Instant) {
        match (alive, &mut self.lease) {
            (true, Some(lease)) => lease.renewed_at = requested_at,
            _ => self.lease_lost(),
        }
    }

    /// Handles a successful write of the record with this `counter`.
    pub fn written(&mut self, counter: u64, revision: Revision) {
        self.written = Some(counter);
        self.revision = Some(revision);
    }

    /// Handles a failed precondition, or a write whose response was lost.
    pub fn mark_key_unknown(&mut self) {
        self.key_unknown = true;
    }

    /// Handles a read of the key at `revision`; the record is written again.
    pub fn key_read(&mut self, revision: Option<Revision>) {
        self.key_unknown = false;
        self.revision = revision;
        self.written = None;
    }

    /// Handles the end of the lease or the deletion of the key.
    pub fn lease_lost(&mut self) {
        self.lease = None;
        self.written = None;
        self.key_unknown = true;
    }

    /// Schedules a retry after a failed call. `jitter`, between 0 and 1, spreads the retries of a fleet.
    pub fn failed(&mut self, jitter: f64, now: Instant) {
        self.retry_at = now + RETRY_PAUSE.mul_f64(0.5 + jitter / 2.0);
    }

    /// Returns the lifetime of a lease.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }
}
