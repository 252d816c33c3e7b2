//! The merged records of all daemons.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use model::{DomainName, ServiceName, UnixMillis, VmId, lock};
use tokio::sync::watch;

use crate::{BucketIndex, Buckets, Record, UpstreamState};

/// Most records kept: twice the fleet that the system is designed for.
pub const MAX_RECORDS: usize = 34_000;

/// Time after its end that the record of a daemon is kept, so that an older record of it, which a
/// part of the fleet may still hold, is known to be older.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Position in the order in which this process learned of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Sequence(u64);

/// Link between daemons over which a record came; zero stands for this daemon itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkId(pub u64);

/// A record and how it came here.
#[derive(Debug)]
struct Slot {
    record: Record,
    sequence: Sequence,
    link: LinkId,
}

/// Records under one lock, one slot for each VM.
///
/// At [`MAX_RECORDS`] a record of an unknown VM takes the place of one that left or expired, and
/// is refused when there is none.
#[derive(Debug, Default)]
struct Inner {
    /// Boxed, as the map's nodes are little more than half full.
    slots: BTreeMap<VmId, Box<Slot>>,
    /// VMs by the sequence of their newest record.
    order: BTreeMap<Sequence, VmId>,
    /// VMs by the service of their record.
    services: BTreeMap<ServiceName, BTreeSet<VmId>>,
    buckets: Buckets,
    last: Sequence,
}

/// The merged records of all daemons. Merging is commutative, associative and idempotent.
#[derive(Debug)]
pub struct Members {
    own: VmId,
    inner: Mutex<Inner>,
    changed: watch::Sender<Sequence>,
}

impl Members {
    /// Returns a table with only this daemon's record.
    pub fn open(own: Record) -> Self {
        let members = Self {
            own: own.vm.clone(),
            inner: Mutex::default(),
            changed: watch::Sender::new(Sequence::default()),
        };
        members.merge(vec![own], LinkId::default());
        members
    }

    /// Merges `records` that came over `link`, and returns those that were news.
    ///
    /// A record of this daemon from elsewhere is answered with a newer one of its own.
    pub fn merge(&self, records: Vec<Record>, link: LinkId) -> Vec<Record> {
        let mut inner = self.lock();
        let mut news = Vec::new();
        for mut record in records {
            if inner.is_old(&record) || !inner.make_room(&record.vm) {
                continue;
            }
            let mut from = link;
            if record.vm == self.own && link != LinkId::default() {
                let Some(refuted) = inner.refute(&record) else {
                    continue;
                };
                record = refuted;
                from = LinkId::default();
            }
            inner.set(record.clone(), from);
            news.push(record);
        }
        let last = inner.last;
        drop(inner);
        if !news.is_empty() {
            self.changed.send_replace(last);
        }
        news
    }

    /// Writes this daemon's own record anew through `update` and returns it.
    pub fn announce(&self, update: impl FnOnce(&mut Record)) -> Record {
        let mut inner = self.lock();
        let mut record = inner.slots[&self.own].record.clone();
        update(&mut record);
        record.counter += 1;
        let left = record.state == UpstreamState::Left;
        record.ended = left.then(UnixMillis::now);
        inner.set(record.clone(), LinkId::default());
        let last = inner.last;
        drop(inner);
        self.changed.send_replace(last);
        record
    }

    /// Marks the record of `vm` as expired, if its writer did not write since; returns it.
    pub fn expire(&self, vm: &VmId) -> Option<Record> {
        let mut record = self.get(vm)?;
        if record.expired || record.state == UpstreamState::Left {
            return None;
        }
        record.expired = true;
        record.ended = Some(UnixMillis::now());
        self.merge(vec![record], LinkId::default()).pop()
    }

    /// Returns the record of `vm`.
    pub fn get(&self, vm: &VmId) -> Option<Record> {
        self.lock().slots.get(vm).map(|slot| slot.record.clone())
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> Record {
        self.lock().slots[&self.own].record.clone()
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<Record> {
        let inner = self.lock();
        let slots = inner.slots.values();
        slots.map(|slot| slot.record.clone()).collect()
    }

    /// Returns the number of daemons that have neither left nor expired.
    pub fn live(&self) -> usize {
        let inner = self.lock();
        let slots = inner.slots.values();
        slots.filter(|slot| slot.record.is_alive()).count()
    }

    /// Returns the records of `service`, in the order of their VMs.
    pub fn of_service(&self, service: &ServiceName) -> Vec<Record> {
        let inner = self.lock();
        let vms = inner.services.get(service).into_iter().flatten();
        vms.map(|vm| inner.slots[vm].record.clone()).collect()
    }

    /// Returns what is known of the VMs that wrote `records`.
    pub fn known(&self, records: &[Record]) -> Vec<Record> {
        let inner = self.lock();
        let slots = records
            .iter()
            .filter_map(|record| inner.slots.get(&record.vm));
        slots.map(|slot| slot.record.clone()).collect()
    }

    /// Returns the fleet addresses of the other daemons that `filter` accepts.
    pub fn addresses(&self, filter: impl Fn(&Record) -> bool) -> Vec<SocketAddr> {
        let inner = self.lock();
        let records = inner.slots.values().map(|slot| &slot.record);
        let others = records.filter(|record| record.vm != self.own && filter(record));
        others.map(|record| record.fleet).collect()
    }

    /// Returns the records learned after `from`, but for those that came over a link that `skip`
    /// names, and the sequence to ask from next.
    pub fn since(&self, from: Sequence, skip: impl Fn(LinkId) -> bool) -> (Vec<Record>, Sequence) {
        let inner = self.lock();
        let after = Sequence(from.0 + 1);
        let slots = inner.order.range(after..).map(|(_, vm)| &inner.slots[vm]);
        let records = slots
            .filter(|slot| slot.link == LinkId::default() || !skip(slot.link))
            .map(|slot| slot.record.clone())
            .collect();
        (records, inner.last)
    }

    /// Returns the live records of `domain` whose newest version came over `link`.
    pub fn from_link(&self, link: LinkId, domain: &DomainName) -> Vec<Record> {
        let inner = self.lock();
        let slots = inner.slots.values().filter(|slot| {
            slot.link == link && slot.record.domain == *domain && slot.record.is_alive()
        });
        slots.map(|slot| slot.record.clone()).collect()
    }

    /// Returns the live records of `domain`.
    pub fn of_domain(&self, domain: &DomainName) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.slots.values().map(|slot| &slot.record);
        let live = records.filter(|record| record.domain == *domain && record.is_alive());
        live.cloned().collect()
    }

    /// Returns the digests of the live records.
    pub fn buckets(&self) -> Buckets {
        self.lock().buckets.clone()
    }

    /// Returns the failure domains that have live records.
    pub fn domains(&self) -> BTreeSet<DomainName> {
        let inner = self.lock();
        let records = inner.slots.values().map(|slot| &slot.record);
        let live = records.filter(|record| record.is_alive());
        live.map(|record| record.domain.clone()).collect()
    }

    /// Returns the failure domains of all records, of daemons that ended among them.
    pub fn seen_domains(&self) -> BTreeSet<DomainName> {
        let inner = self.lock();
        let records = inner.slots.values().map(|slot| &slot.record);
        records.map(|record| record.domain.clone()).collect()
    }

    /// Returns the sequence of the newest record.
    pub fn last(&self) -> Sequence {
        self.lock().last
    }

    /// Returns the records in `buckets`.
    pub fn in_buckets(&self, buckets: &BTreeSet<BucketIndex>) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.slots.values().map(|slot| &slot.record);
        let inside = records.filter(|record| buckets.contains(&BucketIndex::of(&record.vm)));
        inside.cloned().collect()
    }

    /// Drops the records of daemons that ended at least [`RETENTION`] before `now`.
    pub fn sweep(&self, now: UnixMillis) {
        let mut inner = self.lock();
        let old = inner
            .slots
            .values()
            .filter(|slot| slot.record.ended_before(now, RETENTION) && slot.record.vm != self.own);
        let dropped: Vec<VmId> = old.map(|slot| slot.record.vm.clone()).collect();
        for vm in dropped {
            inner.remove(&vm);
        }
    }

    /// Returns a receiver that sees each newer sequence.
    pub fn subscribe(&self) -> watch::Receiver<Sequence> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Returns whether `record` is no news; an end that is no longer kept is none.
    fn is_old(&self, record: &Record) -> bool {
        match self.slots.get(&record.vm) {
            Some(slot) => record.order(&slot.record) != Ordering::Greater,
            None => record.ended_before(UnixMillis::now(), RETENTION),
        }
    }

    /// Returns whether there is room for a record of `vm`, after dropping one that ended.
    fn make_room(&mut self, vm: &VmId) -> bool {
        if self.slots.len() < MAX_RECORDS || self.slots.contains_key(vm) {
            return true;
        }
        let ended = self.slots.iter().find(|(_, slot)| !slot.record.is_alive());
        let Some(ended) = ended.map(|(vm, _)| vm.clone()) else {
            return false;
        };
        self.remove(&ended);
        true
    }

    /// Returns the record with which this daemon answers another's word about itself.
    ///
    /// Returns `None` if a later start of the same VM wrote it.
    fn refute(&self, record: &Record) -> Option<Record> {
        let own = &self.slots[&record.vm].record;
        if record.incarnation > own.incarnation {
            return None;
        }
        let mut own = own.clone();
        own.counter = record.counter + 1;
        Some(own)
    }

    fn set(&mut self, record: Record, link: LinkId) {
        self.remove(&record.vm);
        self.last = Sequence(self.last.0 + 1);
        self.buckets.toggle(&record);
        self.order.insert(self.last, record.vm.clone());
        if let Some(service) = &record.service {
            let vms = self.services.entry(service.clone()).or_default();
            vms.insert(record.vm.clone());
        }
        let slot = Slot {
            sequence: self.last,
            link,
            record,
        };
        self.slots.insert(slot.record.vm.clone(), Box::new(slot));
    }

    fn remove(&mut self, vm: &VmId) {
        let Some(old) = self.slots.remove(vm) else {
            return;
        };
        self.order.remove(&old.sequence);
        self.buckets.toggle(&old.record);
        let Some(service) = &old.record.service else {
            return;
        };
        if let Some(vms) = self.services.get_mut(service) {
            vms.remove(vm);
            if vms.is_empty() {
                self.services.remove(service);
            }
        }
    }
}
