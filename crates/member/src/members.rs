//! Merged records of all daemons.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use model::{DomainName, ServiceName, UnixMillis, VmId, lock};
use tokio::sync::watch;

use crate::{BucketIndex, Buckets, Record, UpstreamState};

/// Most records kept: twice the size of the fleet that the system is designed for.
pub const MAX_RECORDS: usize = 34_000;

/// Time for which the record of an ended daemon is kept. Meanwhile, older records of it that parts of
/// the fleet may still hold are recognised as outdated.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Position of a record in the order in which this process received records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Sequence(u64);

/// Link between daemons over which a record was received; zero means the local daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkId(pub u64);

/// A record with its sequence and the link that it was received over.
#[derive(Debug)]
struct StoredRecord {
    record: Record,
    sequence: Sequence,
    link: LinkId,
}

/// Records, one per VM, and their indices.
///
/// At [`MAX_RECORDS`], the record of a new VM replaces one that has left or expired, and is rejected
/// if there is none.
#[derive(Debug, Default)]
struct Inner {
    /// Boxed to save memory: the map's nodes are little more than half full, and each free slot
    /// would take up the size of a record.
    records: BTreeMap<VmId, Box<StoredRecord>>,
    /// VMs by the sequence of their newest record.
    by_sequence: BTreeMap<Sequence, VmId>,
    /// VMs by the service of their record.
    by_service: BTreeMap<ServiceName, BTreeSet<VmId>>,
    buckets: Buckets,
    last: Sequence,
}

/// Merged records of all daemons. Merging is commutative, associative and idempotent.
#[derive(Debug)]
pub struct Members {
    local_vm: VmId,
    inner: Mutex<Inner>,
    changed: watch::Sender<Sequence>,
}

impl Members {
    /// Creates a table that contains only the local record.
    pub fn open(own: Record) -> Self {
        let members = Self {
            local_vm: own.vm.clone(),
            inner: Mutex::default(),
            changed: watch::Sender::new(Sequence::default()),
        };
        members.merge(vec![own], LinkId::default());
        members
    }

    /// Merges `records` received over `link`, and returns those that changed the table.
    ///
    /// A newer record of the local daemon from elsewhere is refuted by a new local record.
    pub fn merge(&self, records: Vec<Record>, link: LinkId) -> Vec<Record> {
        let mut inner = self.lock();
        let mut updated = Vec::new();
        let now = UnixMillis::now();
        for mut record in records {
            // Departures outlive the record that names them, whichever of the records goes first.
            if inner.merge_departures(&mut record, now) && record.vm == self.local_vm {
                let mut own = inner.records[&self.local_vm].record.clone();
                own.counter += 1;
                inner.set(own.clone(), LinkId::default());
                updated.push(own);
            }
            if inner.is_outdated(&record) || !inner.make_room(&record.vm) {
                continue;
            }
            let mut from = link;
            if record.vm == self.local_vm && link != LinkId::default() {
                let Some(refuted) = inner.refute(&record) else {
                    continue;
                };
                record = refuted;
                from = LinkId::default();
            }
            inner.set(record.clone(), from);
            updated.push(record);
        }
        let last = inner.last;
        drop(inner);
        if !updated.is_empty() {
            self.changed.send_replace(last);
        }
        updated
    }

    /// Rewrites the local record with `update` and returns it.
    pub fn announce(&self, update: impl FnOnce(&mut Record)) -> Record {
        let mut inner = self.lock();
        let mut record = inner.records[&self.local_vm].record.clone();
        update(&mut record);
        record.counter += 1;
        let now = UnixMillis::now();
        let left = record.state == UpstreamState::Left;
        record.ended = left.then_some(now);
        record.departures.evict(now);
        inner.set(record.clone(), LinkId::default());
        let last = inner.last;
        drop(inner);
        self.changed.send_replace(last);
        record
    }

    /// Marks the record of `vm` as expired and returns it, unless the daemon has left, has expired or has
    /// meanwhile written a newer record.
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
        self.lock()
            .records
            .get(vm)
            .map(|stored| stored.record.clone())
    }

    /// Returns the local record.
    pub fn own(&self) -> Record {
        self.lock().records[&self.local_vm].record.clone()
    }

    /// Returns all records.
    pub fn all(&self) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.records.values();
        records.map(|stored| stored.record.clone()).collect()
    }

    /// Returns the number of daemons that have neither left nor expired.
    pub fn live(&self) -> usize {
        let inner = self.lock();
        let records = inner.records.values();
        records.filter(|stored| stored.record.is_alive()).count()
    }

    /// Returns the records of `service`, ordered by VM.
    pub fn of_service(&self, service: &ServiceName) -> Vec<Record> {
        let inner = self.lock();
        let vms = inner.by_service.get(service).into_iter().flatten();
        vms.map(|vm| inner.records[vm].record.clone()).collect()
    }

    /// Returns the stored records of the VMs of `records`.
    pub fn known(&self, records: &[Record]) -> Vec<Record> {
        let inner = self.lock();
        let records = records
            .iter()
            .filter_map(|record| inner.records.get(&record.vm));
        records.map(|stored| stored.record.clone()).collect()
    }

    /// Returns the fleet addresses of the other daemons that `filter` accepts.
    pub fn addresses(&self, filter: impl Fn(&Record) -> bool) -> Vec<SocketAddr> {
        let inner = self.lock();
        let records = inner.records.values().map(|stored| &stored.record);
        let others = records.filter(|record| record.vm != self.local_vm && filter(record));
        others.map(|record| record.fleet).collect()
    }

    /// Returns the records received after `from`, without those received over links for which
    /// `skip` returns true, and the sequence to continue from.
    pub fn since(&self, from: Sequence, skip: impl Fn(LinkId) -> bool) -> (Vec<Record>, Sequence) {
        let inner = self.lock();
        let after = Sequence(from.0 + 1);
        let records = inner
            .by_sequence
            .range(after..)
            .map(|(_, vm)| &inner.records[vm]);
        let records = records
            .filter(|stored| stored.link == LinkId::default() || !skip(stored.link))
            .map(|stored| stored.record.clone())
            .collect();
        (records, inner.last)
    }

    /// Returns the live records of `domain` that were received over `link`.
    pub fn from_link(&self, link: LinkId, domain: &DomainName) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.records.values().filter(|stored| {
            stored.link == link && stored.record.domain == *domain && stored.record.is_alive()
        });
        records.map(|stored| stored.record.clone()).collect()
    }

    /// Returns the live records of `domain`.
    pub fn of_domain(&self, domain: &DomainName) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.records.values().map(|stored| &stored.record);
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
        let records = inner.records.values().map(|stored| &stored.record);
        let live = records.filter(|record| record.is_alive());
        live.map(|record| record.domain.clone()).collect()
    }

    /// Returns the failure domains of all records, including those of ended daemons.
    pub fn seen_domains(&self) -> BTreeSet<DomainName> {
        let inner = self.lock();
        let records = inner.records.values().map(|stored| &stored.record);
        records.map(|record| record.domain.clone()).collect()
    }

    /// Returns the sequence of the newest record.
    pub fn last(&self) -> Sequence {
        self.lock().last
    }

    /// Returns the records in `buckets`.
    pub fn in_buckets(&self, buckets: &BTreeSet<BucketIndex>) -> Vec<Record> {
        let inner = self.lock();
        let records = inner.records.values().map(|stored| &stored.record);
        let inside = records.filter(|record| buckets.contains(&BucketIndex::of(&record.vm)));
        inside.cloned().collect()
    }

    /// Removes the records of daemons that ended at least [`RETENTION`] before `now`.
    pub fn sweep(&self, now: UnixMillis) {
        let mut inner = self.lock();
        let old = inner.records.values().filter(|stored| {
            stored.record.ended_before(now, RETENTION) && stored.record.vm != self.local_vm
        });
        let dropped: Vec<VmId> = old.map(|stored| stored.record.vm.clone()).collect();
        for vm in dropped {
            inner.remove(&vm);
        }
    }

    /// Returns a receiver that is notified of each new sequence.
    pub fn subscribe(&self) -> watch::Receiver<Sequence> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    /// Returns whether `record` is not newer than the stored one or, if none is stored, ended at least
    /// [`RETENTION`] ago.
    fn is_outdated(&self, record: &Record) -> bool {
        match self.records.get(&record.vm) {
            Some(stored) => record.order(&stored.record) != Ordering::Greater,
            None => record.ended_before(UnixMillis::now(), RETENTION),
        }
    }

    /// Adds the departures of `record` and of the stored record of its VM to each other; returns whether the stored one
    /// has changed.
    fn merge_departures(&mut self, record: &mut Record, now: UnixMillis) -> bool {
        let Some(stored) = self.records.get_mut(&record.vm) else {
            return false;
        };
        let departures = &mut stored.record.departures;
        let changed = departures.merge(&record.departures, now);
        record.departures.merge(departures, now);
        changed
    }

    /// Returns whether there is room for a record of `vm`, removing an ended record if necessary.
    fn make_room(&mut self, vm: &VmId) -> bool {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(vm) {
            return true;
        }
        let ended = self
            .records
            .iter()
            .find(|(_, stored)| !stored.record.is_alive());
        let Some(ended) = ended.map(|(vm, _)| vm.clone()) else {
            return false;
        };
        self.remove(&ended);
        true
    }

    /// Returns the local record with a counter above that of `record`, to override it.
    ///
    /// Returns `None` if a later incarnation on the same VM wrote `record`.
    fn refute(&self, record: &Record) -> Option<Record> {
        let own = &self.records[&record.vm].record;
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
        self.by_sequence.insert(self.last, record.vm.clone());
        if let Some(service) = &record.service {
            let vms = self.by_service.entry(service.clone()).or_default();
            vms.insert(record.vm.clone());
        }
        let stored = StoredRecord {
            sequence: self.last,
            link,
            record,
        };
        self.records
            .insert(stored.record.vm.clone(), Box::new(stored));
    }

    fn remove(&mut self, vm: &VmId) {
        let Some(old) = self.records.remove(vm) else {
            return;
        };
        self.by_sequence.remove(&old.sequence);
        self.buckets.toggle(&old.record);
        let Some(service) = &old.record.service else {
            return;
        };
        if let Some(vms) = self.by_service.get_mut(service) {
            vms.remove(vm);
            if vms.is_empty() {
                self.by_service.remove(service);
            }
        }
    }
}
