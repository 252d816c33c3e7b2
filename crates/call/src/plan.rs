//! Selects the upstream for the next attempt of a call.

use std::time::Duration;

use model::VmId;

use crate::choose::{self, Candidate};

use rand::Rng;

/// Number of gates queried for a free slot before the call queues at one of them. A query costs a round
/// trip of about 2 ms between failure domains; queueing costs a large part of a call's time.
const MAX_PROBES: usize = 4;

/// Maximum number of attempts per call, including those that reached no upstream.
const MAX_TRIES: usize = 10;

/// Target of the next attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Attempt the call at this upstream.
    Try {
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
pub struct Plan {
    /// Upstreams that are not attempted again.
    spent: Vec<VmId>,
    /// Upstreams without a free slot, with the queueing time that their gates expect.
    full: Vec<(VmId, Duration)>,
    tries: usize,
    waited: bool,
}

impl Plan {
    /// Selects the target of the next attempt; `vms` and `candidates` describe the same upstreams.
    pub fn next(&self, vms: &[&VmId], candidates: &[Candidate], rng: &mut impl Rng) -> Next {
        if self.tries >= MAX_TRIES {
            return Next::Stop;
        }
        let mut open = candidates.to_vec();
        for (candidate, vm) in open.iter_mut().zip(vms) {
            candidate.tried = self.is_spent(vm) || self.wait_of(vm).is_some();
        }
        let left = open.iter().filter(|candidate| !candidate.tried).count();
        if left > 0 && self.full.len() < MAX_PROBES {
            let found = choose::upstream(&open, rng);
            // No other gate can be queried, so the call queues at this one directly.
            let wait = left == 1 && self.full.is_empty();
            return found.map_or(Next::Stop, |index| Next::Try { index, wait });
        }
        self.shortest_queue(vms)
    }

    /// Selects the full gate with the shortest expected wait.
    fn shortest_queue(&self, vms: &[&VmId]) -> Next {
        if self.waited {
            return Next::Stop;
        }
        let waits = vms.iter().enumerate().filter_map(|(index, vm)| {
            let wait = self.wait_of(vm).filter(|_| !self.is_spent(vm))?;
            Some((wait, index))
        });
        waits
            .min()
            .map_or(Next::Stop, |(_, index)| Next::Try { index, wait: true })
    }

    /// Returns the number of attempts so far.
    pub fn tries(&self) -> usize {
        self.tries
    }

    /// Records an attempt; `wait` says whether it may queue for a slot.
    pub fn tried(&mut self, wait: bool) {
        self.tries += 1;
        self.waited |= wait;
    }

    /// Records that `vm` had no free slot and expects one after `pause`.
    pub fn found_full(&mut self, vm: VmId, pause: Duration) {
        self.full.push((vm, pause));
    }

    /// Excludes `vm` from further attempts.
    pub fn spend(&mut self, vm: VmId) {
        self.spent.push(vm);
    }

    fn is_spent(&self, vm: &VmId) -> bool {
        self.spent.contains(vm)
    }

    fn wait_of(&self, vm: &VmId) -> Option<Duration> {
        let found = self.full.iter().find(|(full, _)| full == vm);
        found.map(|(_, wait)| *wait)
    }
}
