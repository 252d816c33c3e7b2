//! Which daemons follow the store for the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use member::Record;
use model::{Digest, DomainName, Rate, VmId};
use tokio::time::Instant;

/// VMs of a failure domain for each relay in it: one relay's share of the store's reads stays small,
/// and so does its share of the polls.
const VMS_PER_RELAY: usize = 100;

/// Relays that a daemon follows at once: one that misses a change is made up for by the other.
const SOURCES: usize = 2;

/// Time for which a relay that failed is not asked: some retries of the store.
const SET_ASIDE: Duration = Duration::from_secs(3);

/// Where a daemon reads changes.
#[derive(Debug, Clone, PartialEq)]
pub enum Source {
    /// In the store: it is a relay, or too few relays answer.
    Store,
    /// At these relays.
    Relays(Vec<Record>),
}

/// The relays as one daemon sees them.
///
/// Answers the load of a storm of configurations on a fleet with narrow links: a large value crosses
/// the store's network once for each relay, and a difference from there to each other daemon.
#[derive(Debug, Default)]
pub struct Relays {
    set_aside: BTreeMap<VmId, Instant>,
}

/// Returns the relays among `members`: the widest links of each failure domain.
///
/// Daemons that know the same members choose the same ones. Those that do not agree lose only calls of
/// the store, as a daemon that turns out not to be a relay says so.
pub fn relays(members: &[Record]) -> Vec<&Record> {
    let mut domains: BTreeMap<&DomainName, Vec<&Record>> = BTreeMap::new();
    for record in members.iter().filter(|record| record.is_alive()) {
        domains.entry(&record.domain).or_default().push(record);
    }
    let mut relays = Vec::new();
    // A fleet in one failure domain needs as many relays there as are followed at once.
    let least = if domains.len() == 1 { SOURCES } else { 1 };
    for mut records in domains.into_values() {
        records.sort_by_cached_key(|record| rank(record));
        let count = records.len().div_ceil(VMS_PER_RELAY).max(least);
        relays.extend(records.into_iter().take(count));
    }
    relays
}

/// Returns the place of `record` within its failure domain: the widest link first.
fn rank(record: &Record) -> (Reverse<u64>, Vec<u8>) {
    let link = record.link.map_or(0, Rate::bits);
    (Reverse(link), spread(&[record.vm.as_str()]))
}

/// Returns a number that depends on nothing but `names`.
fn spread(names: &[&str]) -> Vec<u8> {
    Digest::of(names.concat().as_bytes()).as_bytes()[..8].to_vec()
}

impl Relays {
    /// Returns where the daemon of `own` reads changes now.
    pub fn source(&mut self, own: &Record, members: &[Record], now: Instant) -> Source {
        self.set_aside.retain(|_, until| *until > now);
        let relays = relays(members);
        if relays.iter().any(|relay| relay.vm == own.vm) {
            return Source::Store;
        }
        let mut usable: Vec<&Record> = relays
            .into_iter()
            .filter(|relay| !self.set_aside.contains_key(&relay.vm))
            .collect();
        usable.sort_by_cached_key(|relay| {
            let pair = spread(&[own.vm.as_str(), relay.vm.as_str()]);
            (relay.domain != own.domain, relay.region != own.region, pair)
        });
        if usable.len() < SOURCES {
            return Source::Store;
        }
        Source::Relays(usable.into_iter().take(SOURCES).cloned().collect())
    }

    /// Notes that the relay `vm` did not answer, or does not follow the store.
    pub fn failed(&mut self, vm: VmId, now: Instant) {
        self.set_aside.insert(vm, now + SET_ASIDE);
    }
}
