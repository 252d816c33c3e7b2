//! The merged records of all daemons.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use model::{ServiceName, VmId};
use tokio::sync::watch;

use crate::{Record, UpstreamState};

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

/// Records under one lock. Holds one slot for each VM, so its size is bounded by the fleet's.
#[derive(Debug, Default)]
struct Inner {
    slots: BTreeMap<VmId, Slot>,
    /// VMs by the sequence of their newest record.
    order: BTreeMap<Sequence, VmId>,
    /// VMs by the service of their record.
    services: BTreeMap<ServiceName, BTreeSet<VmId>>,
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
            if inner.is_old(&record) {
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
        inner
            .slots
            .values()
            .map(|slot| slot.record.clone())
            .collect()
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

    /// Returns the records learned after `from`, but for those that came over `link`, and the
    /// sequence to ask from next.
    pub fn since(&self, from: Sequence, link: LinkId) -> (Vec<Record>, Sequence) {
        let inner = self.lock();
        let after = Sequence(from.0 + 1);
        let slots = inner.order.range(after..).map(|(_, vm)| &inner.slots[vm]);
        let records = slots
            .filter(|slot| slot.link != link || link == LinkId::default())
            .map(|slot| slot.record.clone())
            .collect();
        (records, inner.last)
    }

    /// Returns a receiver that sees each newer sequence.
    pub fn subscribe(&self) -> watch::Receiver<Sequence> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns whether `record` is no news.
    fn is_old(&self, record: &Record) -> bool {
        self.slots
            .get(&record.vm)
            .is_some_and(|slot| record.order(&slot.record) != Ordering::Greater)
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
        self.last = Sequence(self.last.0 + 1);
        let sequence = self.last;
        let vm = record.vm.clone();
        let service = record.service.clone();
        let slot = Slot {
            record,
            sequence,
            link,
        };
        if let Some(old) = self.slots.insert(vm.clone(), slot) {
            self.order.remove(&old.sequence);
            self.unlist(&old.record);
        }
        if let Some(service) = service {
            self.services.entry(service).or_default().insert(vm.clone());
        }
        self.order.insert(sequence, vm);
    }

    /// Takes `record` out of the index by service.
    fn unlist(&mut self, record: &Record) {
        let Some(service) = &record.service else {
            return;
        };
        if let Some(vms) = self.services.get_mut(service) {
            vms.remove(&record.vm);
            if vms.is_empty() {
                self.services.remove(service);
            }
        }
    }
}
