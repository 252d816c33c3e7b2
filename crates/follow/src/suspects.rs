//! Probes members whose entry in the store is gone, and decides which of them to expire.

use std::collections::BTreeMap;
use std::time::Duration;

use model::VmId;
use tokio::time::Instant;

/// Time between two probes of a suspect.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Failed probes after which a suspect is expired. Together with the interval, a member that is
/// neither back in the store nor reachable expires within 2 s of the loss of its entry.
const MAX_FAILED_PROBES: u32 = 2;

/// A member whose entry is gone from the store.
#[derive(Debug)]
struct Suspect {
    failed_probes: u32,
    probe_at: Instant,
}

/// Members whose entries are gone from the store.
///
/// A missing entry alone does not prove that the daemon is down: the store may have dropped entries of
/// daemons that it cannot reach. Designed for a partial outage, in which upstreams that are still
/// reachable must continue to take calls.
#[derive(Debug, Default)]
pub struct Suspects(BTreeMap<VmId, Suspect>);

impl Suspects {
    /// Adds `vm`, whose entry is gone.
    pub fn add(&mut self, vm: VmId, now: Instant) {
        self.0.entry(vm).or_insert(Suspect {
            failed_probes: 0,
            probe_at: now,
        });
    }

    /// Removes `vm`, which has an entry again or has announced its departure.
    pub fn remove(&mut self, vm: &VmId) {
        self.0.remove(vm);
    }

    /// Returns the members to probe now.
    pub fn due(&self, now: Instant) -> Vec<VmId> {
        let due = self.0.iter().filter(|(_, suspect)| suspect.probe_at <= now);
        due.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns the time of the next probe.
    pub fn next_probe(&self) -> Option<Instant> {
        self.0.values().map(|suspect| suspect.probe_at).min()
    }

    /// Handles a successful probe of `vm`.
    pub fn probe_succeeded(&mut self, vm: &VmId, now: Instant) {
        if let Some(suspect) = self.0.get_mut(vm) {
            suspect.failed_probes = 0;
            suspect.probe_at = now + PROBE_INTERVAL;
        }
    }

    /// Handles a failed probe of `vm`; returns whether the member is to be expired.
    pub fn probe_failed(&mut self, vm: &VmId, now: Instant) -> bool {
        let Some(suspect) = self.0.get_mut(vm) else {
            return false;
        };
        suspect.failed_probes += 1;
        suspect.probe_at = now + PROBE_INTERVAL;
        if suspect.failed_probes < MAX_FAILED_PROBES {
            return false;
        }
        self.0.remove(vm);
        true
    }
}
