//! Selects the upstream for the next attempt of a call.

use std::time::Duration;

use model::VmId;

use crate::choose::{self, Candidate, Distance, Preference};
use crate::health::Availability;

use rand::Rng;

/// Number of gates queried for a free slot before the call queues at one of them. A query costs a round
/// trip of about 2 ms between failure domains; queueing costs a large part of a call's time.
const MAX_SLOT_QUERIES: usize = 4;

/// Number of gates at which a call may queue in turn.
const MAX_WAITS: usize = 2;

/// Queueing time by which a gate in the call's failure domain may be worse than one elsewhere.
const NEAR_ADVANTAGE: Duration = Duration::from_millis(15);

/// The same for calls with large responses.
const LARGE_NEAR_ADVANTAGE: Duration = Duration::from_millis(150);

/// Maximum number of attempts per call, including those that reached no upstream.
const MAX_ATTEMPTS: usize = 10;

/// How long an attempt may queue for a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Wait {
    /// Not at all.
    Never,
    /// Only behind a queue that is short enough to keep the upstream busy.
    Briefly,
    /// As long as the response can still be in time.
    Fully,
}

/// Target of the next attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Attempt the call at this upstream.
    Attempt {
        /// Index of the candidate.
        index: usize,
        /// How long the call may queue for a slot there.
        wait: Wait,
    },
    /// Stop: no upstream is left that could take the call.
    Stop,
}

/// Attempts of one call so far.
///
/// Designed for upstreams that fill up in turn: an ingress knows a gate's load only as of the gate's last
/// response. It therefore queries several gates for a free slot and, if none has one, queues at the gate
/// with the shortest expected wait. Gates that are known to be full are not queried, so that an overload
/// does not multiply the requests, and a near gate goes before one that is only little better.
#[derive(Debug, Clone, Default)]
pub struct Selection {
    /// Whether the response is large.
    large: bool,
    /// Upstreams that are not attempted again.
    excluded: Vec<VmId>,
    /// Upstreams without a free slot, with the queueing time that their gates expect.
    full: Vec<(VmId, Duration)>,
    attempts: usize,
    waits: usize,
}

impl Selection {
    /// Returns the selection of a call; `large` is whether its response is large.
    pub fn new(large: bool) -> Self {
        Self {
            large,
            ..Self::default()
        }
    }

    /// Selects the target of the next attempt; `vms` and `candidates` describe the same upstreams.
    pub fn next(&self, vms: &[&VmId], candidates: &[Candidate], rng: &mut impl Rng) -> Next {
        if self.attempts >= MAX_ATTEMPTS {
            return Next::Stop;
        }
        let usable = self.usable(vms, candidates);
        let mut open = candidates.to_vec();
        for (index, candidate) in open.iter_mut().enumerate() {
            let is_full = !candidate.wait.is_zero() || self.expected_wait(vms[index]).is_some();
            candidate.attempted = is_full || !usable.contains(&index);
        }
        let left = open.iter().filter(|candidate| !candidate.attempted).count();
        if left > 0 && self.full.len() < MAX_SLOT_QUERIES {
            let preference = Preference {
                first: self.attempts == 0,
                large: self.large,
            };
            let Some(index) = choose::upstream(&open, preference, rng) else {
                return Next::Stop;
            };
            let wait = match candidates[index].distance {
                // No other gate can be queried, so the call queues at this one directly.
                _ if usable.len() == 1 => Wait::Fully,
                Distance::Domain => Wait::Briefly,
                _ => Wait::Never,
            };
            return Next::Attempt { index, wait };
        }
        self.shortest_queue(&usable, vms, candidates)
    }

    /// Returns the candidates that the call may be sent to. An ejected or leaving one is no better than a
    /// full one, so it counts only if there is no other.
    fn usable(&self, vms: &[&VmId], candidates: &[Candidate]) -> Vec<usize> {
        let open = (0..vms.len()).filter(|index| !self.is_excluded(vms[*index]));
        let (ejected, others): (Vec<_>, Vec<_>) =
            open.partition(|index| candidates[*index].availability == Availability::Ejected);
        if others.is_empty() { ejected } else { others }
    }

    /// Selects the full gate with the shortest expected wait.
    fn shortest_queue(&self, usable: &[usize], vms: &[&VmId], candidates: &[Candidate]) -> Next {
        if self.waits >= MAX_WAITS {
            return Next::Stop;
        }
        let advantage = match self.large {
            true => LARGE_NEAR_ADVANTAGE,
            false => NEAR_ADVANTAGE,
        };
        let waits = usable.iter().filter_map(|index| {
            let candidate = &candidates[*index];
            let known = Some(candidate.wait).filter(|wait| !wait.is_zero());
            let wait = self.expected_wait(vms[*index]).or(known)?;
            let handicap = match candidate.distance {
                Distance::Domain => Duration::ZERO,
                _ => advantage,
            };
            Some((wait + handicap, *index))
        });
        waits.min().map_or(Next::Stop, |(_, index)| Next::Attempt {
            index,
            wait: Wait::Fully,
        })
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> usize {
        self.attempts
    }

    /// Records an attempt that may queue for `wait`.
    pub fn record_attempt(&mut self, wait: Wait) {
        self.attempts += 1;
        self.waits += usize::from(wait == Wait::Fully);
    }

    /// Records that `vm` had no slot in time for an attempt that could queue for `allowed`, and that its
    /// gate expects a queueing time of `wait`. A gate that refused to let the call queue is not asked again.
    pub fn record_full(&mut self, vm: VmId, allowed: Wait, wait: Duration) {
        match allowed {
            Wait::Fully => self.exclude(vm),
            Wait::Never | Wait::Briefly => self.full.push((vm, wait)),
        }
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
