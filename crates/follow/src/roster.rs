//! Which members are given up after their entry in the store lapsed.

use std::collections::BTreeMap;
use std::time::Duration;

use model::VmId;
use tokio::time::Instant;

/// Time between two probes of a lapsed member.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Probes without an answer after which a lapsed member is given up. With the interval, a member that
/// is neither back in the store nor reached is gone 2 s after its entry.
const MAX_MISSES: u32 = 2;

/// A member whose entry is gone from the store.
#[derive(Debug)]
struct Lapse {
    misses: u32,
    probe_at: Instant,
}

/// Members whose entries lapsed.
///
/// A lapsed entry alone is no proof that its daemon is gone: the store may have dropped the entries
/// of daemons that it does not reach. Answers the load pattern of an outage for a part of the fleet,
/// in which the reachable upstreams of the others must go on taking calls.
#[derive(Debug, Default)]
pub struct Roster(BTreeMap<VmId, Lapse>);

impl Roster {
    /// Notes that the entry of `vm` is gone.
    pub fn lapsed(&mut self, vm: VmId, now: Instant) {
        self.0.entry(vm).or_insert(Lapse {
            misses: 0,
            probe_at: now,
        });
    }

    /// Notes that `vm` has an entry again, or said itself that it left.
    pub fn settled(&mut self, vm: &VmId) {
        self.0.remove(vm);
    }

    /// Returns the members to probe now.
    pub fn due(&self, now: Instant) -> Vec<VmId> {
        let due = self.0.iter().filter(|(_, lapse)| lapse.probe_at <= now);
        due.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns when the next probe is due.
    pub fn next(&self) -> Option<Instant> {
        self.0.values().map(|lapse| lapse.probe_at).min()
    }

    /// Notes that `vm` answered a probe.
    pub fn answered(&mut self, vm: &VmId, now: Instant) {
        if let Some(lapse) = self.0.get_mut(vm) {
            lapse.misses = 0;
            lapse.probe_at = now + PROBE_INTERVAL;
        }
    }

    /// Notes that `vm` did not answer a probe; returns whether it is given up.
    pub fn missed(&mut self, vm: &VmId, now: Instant) -> bool {
        let Some(lapse) = self.0.get_mut(vm) else {
            return false;
        };
        lapse.misses += 1;
        lapse.probe_at = now + PROBE_INTERVAL;
        if lapse.misses < MAX_MISSES {
            return false;
        }
        self.0.remove(vm);
        true
    }
}
