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

/// Time for which a failed relay is not polled: long enough for it to retry the store several times.
const RELAY_BACKOFF: Duration = Duration::from_secs(3);

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
    backed_off: BTreeMap<VmId, Instant>,
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
        self.backed_off.retain(|_, until| *until > now);
        let relays = relays(members);
        if relays.iter().any(|relay| relay.vm == own.vm) {
            return Source::Store;
        }
        let mut usable: Vec<&Record> = relays
            .into_iter()
            .filter(|relay| !self.backed_off.contains_key(&relay.vm))
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

    /// Excludes the relay `vm`, which did not respond or does not watch the store, for the backoff time.
    pub fn mark_failed(&mut self, vm: VmId, now: Instant) {
        self.backed_off.insert(vm, now + RELAY_BACKOFF);
    }
}
