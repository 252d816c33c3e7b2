//! Which call of the store comes next, to keep this daemon's own record there under a lease.

use std::time::Duration;

use store::{Expect, LeaseId, Revision};
use tokio::time::Instant;

/// Renewals in the life of a lease, so that two lost ones do not end it.
const RENEWALS: u32 = 3;

/// Pause after a failed call: records are to be back 2 s after the store is.
const PAUSE: Duration = Duration::from_millis(500);

/// A call of the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Nothing to do until then.
    Wait(Instant),
    /// Take a lease.
    Grant,
    /// Read the record's key, to learn what a lost answer left there.
    Read,
    /// Write the record under the lease.
    Write {
        /// Lease to write under.
        lease: LeaseId,
        /// State that the key must be in: a write that the store carries out late meets another one.
        expect: Expect,
    },
    /// Renew the lease.
    Renew(LeaseId),
}

/// A lease and when it is renewed next.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    renew_at: Instant,
}

/// Keeps one record in the store.
#[derive(Debug)]
pub struct Keeper {
    ttl: Duration,
    lease: Option<Lease>,
    /// Revision of the key, if it is known.
    revision: Option<Revision>,
    /// Number of the record that the key holds under the lease.
    written: Option<u64>,
    /// Whether the key's state is unknown.
    unsettled: bool,
    retry_at: Instant,
}

impl Keeper {
    /// Returns a keeper whose leases live for `ttl`.
    pub fn new(ttl: Duration, now: Instant) -> Self {
        Self {
            ttl,
            lease: None,
            revision: None,
            written: None,
            unsettled: false,
            retry_at: now,
        }
    }

    /// Returns the next call, where the record to keep is number `wanted`.
    pub fn next(&self, wanted: u64, now: Instant) -> Step {
        if now < self.retry_at {
            return Step::Wait(self.retry_at);
        }
        let Some(lease) = self.lease else {
            return Step::Grant;
        };
        if self.unsettled {
            return Step::Read;
        }
        if self.written != Some(wanted) {
            return Step::Write {
                lease: lease.id,
                expect: self.revision.map_or(Expect::Absent, Expect::At),
            };
        }
        if now >= lease.renew_at {
            return Step::Renew(lease.id);
        }
        Step::Wait(lease.renew_at)
    }

    /// Notes a new lease, asked for at `asked`.
    pub fn granted(&mut self, id: LeaseId, asked: Instant) {
        self.lease = Some(Lease {
            id,
            renew_at: asked + self.ttl / RENEWALS,
        });
        self.written = None;
    }

    /// Notes the answer to a renewal that was asked for at `asked`.
    pub fn renewed(&mut self, alive: bool, asked: Instant) {
        match (alive, &mut self.lease) {
            (true, Some(lease)) => lease.renew_at = asked + self.ttl / RENEWALS,
            _ => self.lost(),
        }
    }

    /// Notes that record number `number` was written.
    pub fn written(&mut self, number: u64, revision: Revision) {
        self.written = Some(number);
        self.revision = Some(revision);
    }

    /// Notes that the key was not in the expected state, or that a write's answer was lost.
    pub fn unsettled(&mut self) {
        self.unsettled = true;
    }

    /// Notes the key's revision; what it holds is written anew.
    pub fn settled(&mut self, revision: Option<Revision>) {
        self.unsettled = false;
        self.revision = revision;
        self.written = None;
    }

    /// Notes that the lease ended or that the key is gone.
    pub fn lost(&mut self) {
        self.lease = None;
        self.written = None;
        self.unsettled = true;
    }

    /// Notes a failed call; `jitter` between 0 and 1 keeps a fleet from coming back at once.
    pub fn failed(&mut self, jitter: f64, now: Instant) {
        self.retry_at = now + PAUSE.mul_f64(0.5 + jitter / 2.0);
    }

    /// Returns the time that a lease lives.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }
}
