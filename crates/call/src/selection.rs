//! Selects the upstream for the next attempt of a call.

use std::time::Duration;

use model::VmId;

use crate::choose::{self, Candidate};

use rand::Rng;

/// Number of gates queried for a free slot before the call queues at one of them. A query costs a round
/// trip of about 2 ms between failure domains; queueing costs a large part of a call's time.
const MAX_SLOT_QUERIES: usize = 4;

/// Maximum number of attempts per call, including those that reached no upstream.
const MAX_ATTEMPTS: usize = 10;

/// Target of the next attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Attempt the call at this upstream.
    Attempt {
        /// Index of the candidate.
        index: usize,
        /// Whether the call may queue for a slot there.
        wait: bool,
    },
    /// Stop: no upstream is left that could take the call.
    Stop,
}

/// Attempts of one call so far.
///
/// Designed for upstreams that fill up in turn: an ingress knows a gate's load only as of the gate's last
/// response. It therefore queries several gates for a free slot and, if none has one, queues at the gate
/// with the shortest expected wait.
#[derive(Debug, Default)]
pub struct Selection {
    /// Upstreams that are not attempted again.
    excluded: Vec<VmId>,
    /// Upstreams without a free slot, with the queueing time that their gates expect.
    full: Vec<(VmId, Duration)>,
    attempts: usize,
    waited: bool,
}

impl Selection {
    /// Selects the target of the next attempt; `vms` and `candidates` describe the same upstreams.
    pub fn next(&self, vms: &[&VmId], candidates: &[Candidate], rng: &mut impl Rng) -> Next {
        if self.attempts >= MAX_ATTEMPTS {
            return Next::Stop;
        }
        let mut open = candidates.to_vec();
        for (candidate, vm) in open.iter_mut().zip(vms) {
            candidate.attempted = self.is_excluded(vm) || self.expected_wait(vm).is_some();
        }
        let left = open.iter().filter(|candidate| !candidate.attempted).count();
        if left > 0 && self.full.len() < MAX_SLOT_QUERIES {
            let found = choose::upstream(&open, rng);
            // No other gate can be queried, so the call queues at this one directly.
            let wait = left == 1 && self.full.is_empty();
            return found.map_or(Next::Stop, |index| Next::Attempt { index, wait });
        }
        self.shortest_queue(vms)
    }

    /// Selects the full gate with the shortest expected wait.
    fn shortest_queue(&self, vms: &[&VmId]) -> Next {
        if self.waited {
            return Next::Stop;
        }
        let waits = vms.iter().enumerate().filter_map(|(index, vm)| {
            let wait = self.expected_wait(vm).filter(|_| !self.is_excluded(vm))?;
            Some((wait, index))
        });
        waits
            .min()
            .map_or(Next::Stop, |(_, index)| Next::Attempt { index, wait: true })
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts
    }

    /// Records an attempt; `wait` says whether it may queue for a slot.
    pub fn record_attempt(&mut self, wait: bool) {
        self.attempts += 1;
        self.waited |= wait;
    }

    /// Records that `vm` had no free slot and that its gate expects a queueing time of `wait`.
    pub fn record_full(&mut self, vm: VmId, wait: Duration) {
        self.full.push((vm, wait));
    }

    /// Excludes `vm` from further attempts.
    pub fn exclude(&mut self, vm: VmId) {
        self.excluded.push(vm);
    }

    fn is_excluded(&self, vm: &VmId) -> bool {
        self.excluded.contains(vm)
    }

    fn expected_wait(&self, vm: &VmId) -> Option<Duration> {
        let found = self.full.iter().find(|(full, _)| full == vm);
        found.map(|(_, wait)| *wait)
    }
}
