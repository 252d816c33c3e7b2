//! Selects the relays: daemons that watch the store on behalf of the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use member::Record;
use model::{Digest, DomainName, Rate, VmId};
use tokio::time::Instant;

/// VMs of a failure domain per relay in it. Keeps both the number of relays that read the store and
/// the number of daemons that poll each relay small.
const VMS_PER_RELAY: usize = 100;

/// Relays that a daemon polls at once; if one of them misses a change, the other delivers it.
const RELAYS_PER_DAEMON: usize = 2;

/// Time for which a relay that does not respond is not polled. Longest backoff of one that does not follow the store.
const RELAY_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which a relay that does not follow the store is not polled, doubled each time in a row. Long enough for it
/// to read the store anew after its watch was cut.
const BEHIND_BACKOFF: Duration = Duration::from_millis(300);

/// Where a daemon reads changes from.
#[derive(Debug, Clone, PartialEq)]
pub enum Source {
    /// The store: the daemon is a relay, or too few relays respond.
    Store,
    /// These relays.
    Relays(Vec<Record>),
}

impl Source {
    /// Returns the name of the kind of source, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relays(_) => "relays",
        }
    }
}

/// Selects the relays that the local daemon polls.
///
/// Designed for a storm of configurations on a fleet with narrow links: the store sends a large value
/// once to each relay, and the relays send only a difference to each other daemon.
#[derive(Debug, Default)]
pub struct RelaySelector {
    backed_off: BTreeMap<VmId, Backoff>,
}

/// Backoff of one relay.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Instant,
    /// Polls in a row that it answered without following the store.
    behind: u32,
}

/// Returns the relays among `members`: the VMs with the widest links of each failure domain.
///
/// Daemons with the same view of the membership select the same relays. A disagreement costs only extra
/// store calls: the response of a daemon that is not a relay states this.
pub fn relays(members: &[Record]) -> Vec<&Record> {
    let mut domains: BTreeMap<&DomainName, Vec<&Record>> = BTreeMap::new();
    for record in members.iter().filter(|record| record.is_alive()) {
        domains.entry(&record.domain).or_default().push(record);
    }
    let mut relays = Vec::new();
    // In a fleet with a single failure domain, all relays that a daemon polls are in that domain.
    let min_relays = if domains.len() == 1 {
        RELAYS_PER_DAEMON
    } else {
        1
    };
    for mut records in domains.into_values() {
        records.sort_by_cached_key(|record| rank(record));
        let count = records.len().div_ceil(VMS_PER_RELAY).max(min_relays);
        relays.extend(records.into_iter().take(count));
    }
    relays
}

/// Returns the sort key of `record` within its failure domain: widest link first, ties by hash.
fn rank(record: &Record) -> (Reverse<u64>, Vec<u8>) {
    let link = record.link.map_or(0, Rate::bits);
    (Reverse(link), hash(&[record.vm.as_str()]))
}

/// Returns a hash of `names`, the same on every daemon.
fn hash(names: &[&str]) -> Vec<u8> {
    Digest::of(names.concat().as_bytes()).as_bytes()[..8].to_vec()
}

impl RelaySelector {
    /// Returns where the daemon with record `own` reads changes from at `now`.
    pub fn source(&mut self, own: &Record, members: &[Record], now: Instant) -> Source {
        let relays = relays(members);
        if relays.iter().any(|relay| relay.vm == own.vm) {
            return Source::Store;
        }
        self.backed_off
            .retain(|vm, _| relays.iter().any(|relay| relay.vm == *vm));
        let mut usable: Vec<&Record> = relays
            .into_iter()
            .filter(|relay| self.usable_at(&relay.vm).is_none_or(|at| at <= now))
            .collect();
        usable.sort_by_cached_key(|relay| {
            let pair = hash(&[own.vm.as_str(), relay.vm.as_str()]);
            (relay.domain != own.domain, relay.region != own.region, pair)
        });
        if usable.len() < RELAYS_PER_DAEMON {
            return Source::Store;
        }
        Source::Relays(
            usable
                .into_iter()
                .take(RELAYS_PER_DAEMON)
                .cloned()
                .collect(),
        )
    }

    /// Returns the time at which the daemon with record `own` has enough relays to poll, as far as is known. Returns
    /// `None` if it is a relay itself, or has too few whatever the time.
    pub fn relays_usable_at(&self, own: &Record, members: &[Record]) -> Option<Instant> {
        let relays = relays(members);
        if relays.iter().any(|relay| relay.vm == own.vm) {
            return None;
        }
        let mut times: Vec<_> = relays
            .iter()
            .map(|relay| self.usable_at(&relay.vm))
            .collect();
        times.sort();
        times.get(RELAYS_PER_DAEMON - 1).copied().flatten()
    }

    fn usable_at(&self, vm: &VmId) -> Option<Instant> {
        self.backed_off.get(vm).map(|backoff| backoff.until)
    }

    /// Excludes the relay `vm`, which did not respond, for the backoff time.
    pub fn mark_failed(&mut self, vm: VmId, now: Instant) {
        let until = now + RELAY_BACKOFF;
        self.backed_off.insert(vm, Backoff { until, behind: 0 });
    }

    /// Excludes the relay `vm`, which answered that it does not follow the store. `jitter`, between 0 and 1, spreads
    /// the daemons that poll it.
    pub fn mark_behind(&mut self, vm: VmId, jitter: f64, now: Instant) {
        let behind = self.backed_off.get(&vm).map_or(0, |backoff| backoff.behind);
        let pause = BEHIND_BACKOFF * 2u32.saturating_pow(behind.min(8));
        let until = now + pause.min(RELAY_BACKOFF).mul_f64(0.75 + jitter / 2.0);
        let behind = behind + 1;
        self.backed_off.insert(vm, Backoff { until, behind });
    }

    /// Ends the backoff of the relay `vm`, which follows the store.
    pub fn mark_following(&mut self, vm: &VmId) {
        self.backed_off.remove(vm);
    }
}
