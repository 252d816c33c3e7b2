//! Applies membership records from the store and from peers.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use member::{LinkId, Record, UpstreamState};
use model::{Incarnation, VmId, lock};
use prost::Message;
use slog::{Logger, info, warn};
use store::Entry;
use table::Table;
use tokio::sync::Notify;
use tokio::time::Instant;
use wire::fleet;

use crate::suspects::Suspects;

/// Prefix of the record keys; the VM id follows.
pub(crate) const PREFIX: &str = "sardinestall/members/";

/// Link id under which records of other daemons are merged.
const LINK: LinkId = LinkId(1);

/// Applies records of the other daemons to the table, and tracks members whose entry in the
/// store is gone.
#[derive(Debug)]
pub(crate) struct Directory {
    table: Arc<Table>,
    /// VM of this daemon.
    local_vm: VmId,
    suspects: Mutex<Suspects>,
    /// Triggers the probes of members whose entry is gone.
    pub(crate) probe_due: Notify,
    /// Notifies the publisher that the local entry was deleted.
    pub(crate) local_deleted: Notify,
    log: Logger,
}

/// Returns the key of the record of `vm`.
pub(crate) fn key(vm: &VmId) -> String {
    format!("{PREFIX}{vm}")
}

/// Returns the VM whose record `key` holds.
fn vm_of(key: &str) -> Option<VmId> {
    key.strip_prefix(PREFIX)?.parse().ok()
}

/// Returns the value that holds `record`.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    fleet::Record::from(record).encode_to_vec()
}

/// Returns the record in `entry`, or why it has none.
pub(crate) fn decode(entry: &Entry) -> Result<Record, String> {
    let read = fleet::Record::decode(&entry.value[..]).map_err(|error| error.to_string())?;
    let record = Record::try_from(read).map_err(|error| error.to_string())?;
    match Some(&record.vm) == vm_of(&entry.key).as_ref() {
        true => Ok(record),
        false => Err(format!("it holds the record of VM {}", record.vm)),
    }
}

impl Directory {
    pub(crate) fn new(table: Arc<Table>, log: Logger) -> Self {
        Self {
            local_vm: table.members().own().vm,
            table,
            suspects: Mutex::default(),
            probe_due: Notify::new(),
            local_deleted: Notify::new(),
            log,
        }
    }

    /// Returns the table that records are merged into.
    pub(crate) fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Applies a scan of every record. Members without an entry become suspects.
    pub(crate) fn apply_scan(&self, entries: &[Entry]) {
        let listed: BTreeSet<VmId> = entries
            .iter()
            .filter_map(|entry| vm_of(&entry.key))
            .collect();
        self.apply_writes(entries);
        let members = self.table.members().all();
        for record in members.iter().filter(|record| record.is_alive()) {
            if !listed.contains(&record.vm) {
                self.entry_deleted(&record.vm);
            }
        }
    }

    /// Applies records that were written to the store.
    pub(crate) fn apply_writes(&self, entries: &[Entry]) {
        let mut records = Vec::new();
        for entry in entries {
            let Some(record) = self.decode(entry) else {
                continue;
            };
            self.suspects().remove(&record.vm);
            records.push(record);
        }
        self.merge(records);
    }

    fn decode(&self, entry: &Entry) -> Option<Record> {
        match decode(entry) {
            Ok(record) => Some(record),
            Err(error) => {
                warn!(self.log, "membership entry skipped"; "key" => &entry.key,
                    "reason" => error);
                None
            }
        }
    }

    /// Merges records from the store or a peer.
    pub(crate) fn merge(&self, records: Vec<Record>) {
        for record in &records {
            if record.vm == self.local_vm {
                self.raise_incarnation(record);
            }
        }
        let changed = self.table.merge(records, LINK);
        for record in changed.iter().filter(|record| record.vm != self.local_vm) {
            info!(self.log, "member changed"; "member" => %record.vm,
                "incarnation" => %record.incarnation, "counter" => record.counter,
                "state" => ?record.state, "expired" => record.expired,
                "service" => record.service.as_ref().map(ToString::to_string));
        }
    }

    /// Raises the local incarnation above that of `seen`, which a previous incarnation on this VM wrote
    /// while its clock was ahead.
    fn raise_incarnation(&self, seen: &Record) {
        let own = self.table.members().own();
        if seen.incarnation <= own.incarnation {
            return;
        }
        let above = Incarnation::new(seen.incarnation.get() + 1);
        info!(self.log, "incarnation raised above that of a previous run";
            "from" => %own.incarnation, "to" => %above);
        self.table.announce(|record| record.incarnation = above);
    }

    /// Applies deletions of keys from the store.
    pub(crate) fn apply_deletes(&self, keys: &[String]) {
        for vm in keys.iter().filter_map(|key| vm_of(key)) {
            self.entry_deleted(&vm);
        }
    }

    /// Handles the deletion of the entry of `vm` in the store.
    fn entry_deleted(&self, vm: &VmId) {
        if *vm == self.local_vm {
            self.local_deleted.notify_one();
            return;
        }
        let Some(record) = self.table.members().get(vm) else {
            return;
        };
        if record.state == UpstreamState::Left || record.expired {
            return;
        }
        info!(self.log, "member lapsed"; "member" => %vm, "counter" => record.counter);
        self.suspects().add(vm.clone(), Instant::now());
        self.probe_due.notify_one();
    }

    /// Returns the members to probe now and the time of the next probe.
    pub(crate) fn probes(&self) -> (Vec<Record>, Option<Instant>) {
        let suspects = self.suspects();
        let members = self.table.members();
        let due = suspects.due(Instant::now());
        let records = due.iter().filter_map(|vm| members.get(vm)).collect();
        (records, suspects.next_probe())
    }

    /// Handles the result of a probe; expires the member after too many failed probes.
    pub(crate) fn probe_finished(&self, vm: &VmId, responded: bool) {
        let now = Instant::now();
        if responded {
            self.suspects().probe_succeeded(vm, now);
            return;
        }
        if self.suspects().probe_failed(vm, now) {
            info!(self.log, "member given up"; "member" => %vm,
                "reason" => "its entry lapsed and it does not answer");
            self.table.expire(vm);
        }
    }

    fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }
}
