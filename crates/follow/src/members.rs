//! Membership records in the store and from peers.

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

use crate::roster::Roster;

/// Prefix of the keys that hold the records, each under the id of its VM.
pub(crate) const PREFIX: &str = "sardinestall/members/";

/// Link of every record that this daemon did not write itself.
const LINK: LinkId = LinkId(1);

/// What the store and peers tell of the other daemons.
#[derive(Debug)]
pub(crate) struct Directory {
    table: Arc<Table>,
    own: VmId,
    roster: Mutex<Roster>,
    /// Wakes the probes of lapsed members.
    pub(crate) lapsed: Notify,
    /// Wakes the keeper when the own entry is gone.
    pub(crate) own_gone: Notify,
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

impl Directory {
    pub(crate) fn new(table: Arc<Table>, log: Logger) -> Self {
        Self {
            own: table.members().own().vm,
            table,
            roster: Mutex::default(),
            lapsed: Notify::new(),
            own_gone: Notify::new(),
            log,
        }
    }

    /// Returns the table of this daemon.
    pub(crate) fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Takes in a scan of every record: members without an entry have lapsed.
    pub(crate) fn scanned(&self, entries: &[Entry]) {
        let listed: BTreeSet<VmId> = entries
            .iter()
            .filter_map(|entry| vm_of(&entry.key))
            .collect();
        self.written(entries);
        let members = self.table.members().all();
        for record in members.iter().filter(|record| record.is_alive()) {
            if !listed.contains(&record.vm) {
                self.gone(&record.vm);
            }
        }
    }

    /// Takes in records that were written to the store.
    pub(crate) fn written(&self, entries: &[Entry]) {
        let mut records = Vec::new();
        for entry in entries {
            let Some(record) = self.decode(entry) else {
                continue;
            };
            self.roster().settled(&record.vm);
            records.push(record);
        }
        self.merge(records);
    }

    fn decode(&self, entry: &Entry) -> Option<Record> {
        let read = fleet::Record::decode(&entry.value[..])
            .map_err(|error| error.to_string())
            .and_then(|record| Record::try_from(record).map_err(|error| error.to_string()));
        match read {
            Ok(record) if Some(&record.vm) == vm_of(&entry.key).as_ref() => Some(record),
            Ok(record) => {
                warn!(self.log, "membership entry passed over"; "key" => &entry.key,
                    "reason" => format!("it holds the record of VM {}", record.vm));
                None
            }
            Err(error) => {
                warn!(self.log, "membership entry passed over"; "key" => &entry.key,
                    "reason" => error);
                None
            }
        }
    }

    /// Takes in records from the store or a peer.
    pub(crate) fn merge(&self, records: Vec<Record>) {
        for record in &records {
            if record.vm == self.own {
                self.outlive(record);
            }
        }
        let news = self.table.merge(records, LINK);
        for record in news.iter().filter(|record| record.vm != self.own) {
            info!(self.log, "member changed"; "member" => %record.vm,
                "incarnation" => %record.incarnation, "counter" => record.counter,
                "state" => ?record.state, "expired" => record.expired,
                "service" => record.service.as_ref().map(ToString::to_string));
        }
    }

    /// Writes the own record above one of an earlier start of this VM whose clock was ahead.
    fn outlive(&self, seen: &Record) {
        let own = self.table.members().own();
        if seen.incarnation <= own.incarnation {
            return;
        }
        let above = Incarnation::new(seen.incarnation.get() + 1);
        info!(self.log, "incarnation raised above that of an earlier start";
            "from" => %own.incarnation, "to" => %above);
        self.table.announce(|record| record.incarnation = above);
    }

    /// Takes in keys that the store deleted.
    pub(crate) fn deleted(&self, keys: &[String]) {
        for vm in keys.iter().filter_map(|key| vm_of(key)) {
            self.gone(&vm);
        }
    }

    /// Notes that the entry of `vm` is gone from the store.
    fn gone(&self, vm: &VmId) {
        if *vm == self.own {
            self.own_gone.notify_one();
            return;
        }
        let Some(record) = self.table.members().get(vm) else {
            return;
        };
        if record.state == UpstreamState::Left || record.expired {
            return;
        }
        info!(self.log, "member lapsed"; "member" => %vm, "counter" => record.counter);
        self.roster().lapsed(vm.clone(), Instant::now());
        self.lapsed.notify_one();
    }

    /// Returns the members to probe now and when the next one is due.
    pub(crate) fn probes(&self) -> (Vec<Record>, Option<Instant>) {
        let roster = self.roster();
        let members = self.table.members();
        let due = roster.due(Instant::now());
        let records = due.iter().filter_map(|vm| members.get(vm)).collect();
        (records, roster.next())
    }

    /// Notes whether a lapsed member answered its probe.
    pub(crate) fn probed(&self, vm: &VmId, answered: bool) {
        let now = Instant::now();
        if answered {
            self.roster().answered(vm, now);
            return;
        }
        if self.roster().missed(vm, now) {
            info!(self.log, "member given up"; "member" => %vm,
                "reason" => "its entry lapsed and it does not answer");
            self.table.expire(vm);
        }
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }
}
