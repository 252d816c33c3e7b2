//! The decision where the next try of a call goes.

use std::time::Duration;

use model::VmId;

use crate::choose::{self, Candidate};

use rand::Rng;

/// Gates asked for a free slot before the call waits at one of them. A question costs a round trip of
/// about 2 ms between failure domains; a wait costs a good part of a call.
const MAX_PROBES: usize = 4;

/// Tries of one call at most, those that reached no upstream among them.
const MAX_TRIES: usize = 10;

/// Where the next try goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// To the upstream at this position.
    Try {
        /// Position among the candidates.
        index: usize,
        /// Whether the call may wait for a slot there.
        wait: bool,
    },
    /// Nowhere: no upstream is left that could take the call.
    Stop,
}

/// The tries of one call so far.
///
/// Answers the load pattern of upstreams that fill up in turn: what an ingress knows of a gate's load is
/// as old as its last answer, so it asks several gates for a free slot, and only waits, at the one with
/// the shortest queue, when none has one.
#[derive(Debug, Default)]
pub struct Plan {
    /// Upstreams that are not tried again.
    spent: Vec<VmId>,
    /// Upstreams without a free slot, with the wait that their gates expect.
    full: Vec<(VmId, Duration)>,
    tries: usize,
    waited: bool,
}

impl Plan {
    /// Returns where the next try goes; `vms` and `candidates` describe the same upstreams.
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
            // Nobody else is left to ask, so the call may as well wait there.
            let wait = left == 1 && self.full.is_empty();
            return found.map_or(Next::Stop, |index| Next::Try { index, wait });
        }
        self.shortest_queue(vms)
    }

    /// Returns the full gate that expects the shortest wait.
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

    /// Returns the number of tries so far.
    pub fn tries(&self) -> usize {
        self.tries
    }

    /// Notes a try that may wait for a slot or not.
    pub fn tried(&mut self, wait: bool) {
        self.tries += 1;
        self.waited |= wait;
    }

    /// Notes that `vm` had no free slot and expects one after `pause`.
    pub fn found_full(&mut self, vm: VmId, pause: Duration) {
        self.full.push((vm, pause));
    }

    /// Notes that `vm` is not to be tried again.
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
