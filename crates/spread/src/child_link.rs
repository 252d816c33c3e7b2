//! Server side of a link: sends updates to one child or to another relay.

use std::sync::Arc;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use member::{Buckets, LinkId, Record, Sequence};
use model::{DomainName, Version, VmId};
use rand::RngExt;
use slog::{debug, info, warn};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Instant, interval, sleep, sleep_until, timeout_at};
use tonic::{Status, Streaming};
use wire::fleet::{Beacon, Busy, Down, Hello, Up};

use crate::children::Child;
use crate::codec::{self, VersionStamp};
use crate::counts::Report;
use crate::hub::{Hub, is_mesh};
use crate::repair;
use crate::server::buckets_from_wire;

/// Mean delay after which a rejected daemon may retry here.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Minimum interval between two version updates; versions accepted in between are batched.
const VERSION_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum interval between two batches of membership records.
const RECORDS_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of concurrent liveness probes.
const MAX_PROBES: usize = 16;

/// Delay before the daemons of a suspiciously large simultaneous loss are expired.
const MASS_LOSS_DELAY: Duration = Duration::from_secs(30);

/// Server side of one link.
pub(crate) struct ChildLink {
    hub: Arc<Hub>,
    id: LinkId,
    vm: VmId,
    domain: DomainName,
    mesh: bool,
    sender: mpsc::Sender<Result<Down, Status>>,
    /// Version of the child once it has applied everything that was sent.
    stamp: VersionStamp,
    /// Version floor of the child: it ignores older versions.
    floor: Version,
    /// Bucket digests of the child's membership; taken by the first message.
    child_digests: Option<Buckets>,
    /// Sequence number up to which records were sent.
    sent: Sequence,
    /// Path to the relay that was last sent.
    path: Vec<VmId>,
    /// Revision of the relays that were last sent.
    relays_revision: store::Revision,
    /// Held until the child confirms a large update.
    transfer: Option<OwnedSemaphorePermit>,
}

impl ChildLink {
    /// Admits a child, or returns alternative parents and a retry delay.
    ///
    /// # Errors
    ///
    /// Fails if the VM or the failure domain in `hello` is invalid.
    pub(crate) fn admit(
        hub: &Arc<Hub>,
        hello: Hello,
        sender: mpsc::Sender<Result<Down, Status>>,
    ) -> Result<Result<Self, Busy>, Status> {
        let invalid = |_| Status::invalid_argument("the greeting has no valid names");
        let vm: VmId = hello.vm.parse().map_err(invalid)?;
        let domain: DomainName = hello.domain.parse().map_err(invalid)?;
        let stamp = VersionStamp::from_wire(hello.mark.clone());
        let mut link = Self {
            hub: Arc::clone(hub),
            id: hub.new_link(hello.mesh),
            vm,
            domain,
            mesh: hello.mesh,
            sender,
            stamp,
            floor: Version::new(hello.floor),
            child_digests: Some(buckets_from_wire(hello.digests)),
            sent: hub.table.members().last(),
            path: Vec::new(),
            relays_revision: store::Revision::ZERO,
            transfer: None,
        };
        if !link.mesh
            && let Err(busy) = link.join_tree(hello.address)
        {
            return Ok(Err(busy));
        }
        debug!(hub.log, "child admitted"; "vm" => %link.vm, "mesh" => link.mesh);
        Ok(Ok(link))
    }

    /// Adds the child to the tree below this daemon.
    fn join_tree(&mut self, address: String) -> Result<(), Busy> {
        let hub = &self.hub;
        let path = hub.path.borrow().clone();
        if path.is_empty() || path.contains(&self.vm) {
            return Err(busy(Vec::new(), RETRY_DELAY));
        }
        if let Err(delay) = hub.admit_join() {
            return Err(busy(hub.children.addresses(), delay));
        }
        if hub.is_far_behind(self.stamp) {
            match Arc::clone(&hub.transfers).try_acquire_owned() {
                Ok(permit) => self.transfer = Some(permit),
                Err(_) => return Err(busy(hub.children.addresses(), RETRY_DELAY)),
            }
        }
        let mut report = Report::default();
        report.counts.add(self.stamp.version, 1);
        let child = Child {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            address,
            version: self.stamp.version,
            report,
            behind_since: None,
        };
        let admitted = hub.children.admit(hub.settings.fanout, self.id, child);
        admitted.map_err(|others| busy(others, RETRY_DELAY))?;
        hub.notify_report();
        Ok(())
    }

    /// Serves the child until the link closes; expires the child if it does not reconnect within the
    /// grace period.
    pub(crate) async fn run(mut self, ups: Streaming<Up>) {
        let reason = self.serve(ups).await;
        self.transfer = None;
        if self.hub.children.remove(self.id) {
            self.hub.notify_report();
        }
        if self.mesh || self.hub.stop.is_cancelled() {
            return;
        }
        info!(self.hub.log, "child lost"; "vm" => %self.vm, "reason" => reason);
        let lost = self.subtree();
        sleep(self.hub.settings.grace.duration()).await;
        self.expire(lost).await;
    }

    /// Returns the records of the child and of the daemons whose records were received from it.
    fn subtree(&self) -> Vec<Record> {
        let members = self.hub.table.members();
        let mut lost = members.from_link(self.id, &self.domain);
        if !lost.iter().any(|record| record.vm == self.vm) {
            lost.extend(members.get(&self.vm).filter(Record::is_alive));
        }
        lost
    }

    /// Expires the daemons of `lost` that are unreachable.
    async fn expire(&self, lost: Vec<Record>) {
        let hub = &self.hub;
        let unreachable = self.unreachable(lost).await;
        let known = hub.table.members().of_domain(&self.domain).len();
        if !unreachable.is_empty() && !hub.may_expire(unreachable.len(), known) {
            warn!(hub.log, "many daemons lost at once; expiry delayed";
                "lost" => unreachable.len(), "known" => known);
            sleep(MASS_LOSS_DELAY).await;
            if hub.path.borrow().is_empty() {
                return;
            }
        }
        for record in unreachable {
            if hub.table.members().get(&record.vm).as_ref() == Some(&record) {
                info!(hub.log, "daemon expired"; "vm" => %record.vm);
                hub.table.expire(&record.vm);
            }
        }
    }

    /// Probes the daemons of `lost` and returns the newest records of those that do not respond.
    ///
    /// A descendant of the lost child that has announced a newer record has found another parent, so
    /// it is not probed. The child itself is probed even then, because its newest record may have
    /// arrived by another route.
    async fn unreachable(&self, lost: Vec<Record>) -> Vec<Record> {
        let hub = &self.hub;
        let newest = lost.into_iter().filter_map(|old| {
            let new = hub.table.members().get(&old.vm)?;
            let probe = new.is_alive() && (new == old || new.vm == self.vm);
            probe.then_some(new)
        });
        let probes = newest.map(|record| async {
            match repair::is_reachable(hub, &record).await {
                true => None,
                false => Some(record),
            }
        });
        let unreachable = stream::iter(probes).buffer_unordered(MAX_PROBES);
        unreachable
            .filter_map(async |record| record)
            .collect()
            .await
    }

    /// Serves the child until the link closes; returns the reason.
    async fn serve(&mut self, mut ups: Streaming<Up>) -> &'static str {
        let hub = Arc::clone(&self.hub);
        let mut versions = hub.table.subscribe();
        let mut members = hub.table.members().subscribe();
        let mut paths = hub.path.subscribe();
        let mut relays = hub.relays.subscribe();
        let mut appointed = hub.appointed.subscribe();
        appointed.mark_unchanged();
        let mut beacon = interval(hub.settings.beacon.duration());
        let mut silent_at = Instant::now() + hub.settings.silence.duration();
        let mut send_at: Option<Instant> = None;
        let mut last = Instant::now();
        loop {
            let keeps_up = tokio::select! {
                up = timeout_at(silent_at, ups.next()) => match up {
                    Err(_) => return "no heartbeat within the silence time-out",
                    Ok(None) => return "closed by the child",
                    Ok(Some(Err(_))) => return "connection failed",
                    Ok(Some(Ok(up))) => {
                        silent_at = Instant::now() + hub.settings.silence.duration();
                        self.receive(up);
                        continue;
                    }
                },
                _ = versions.changed() => {
                    move_earlier(&mut send_at, last + VERSION_INTERVAL);
                    continue;
                }
                _ = members.changed() => {
                    move_earlier(&mut send_at, last + RECORDS_INTERVAL);
                    continue;
                }
                _ = relays.changed() => {
                    move_earlier(&mut send_at, last + RECORDS_INTERVAL);
                    continue;
                }
                _ = appointed.changed() => {
                    if *appointed.borrow_and_update() != Some(self.id) {
                        continue;
                    }
                    self.send(Trigger::Appointment).await
                }
                _ = beacon.tick() => self.send(Trigger::Beacon).await,
                _ = paths.changed() => self.send(Trigger::Beacon).await,
                () = sleep_until(send_at.unwrap_or(silent_at)), if send_at.is_some() => {
                    self.send(Trigger::Change).await
                }
                () = hub.stop.cancelled() => return "this daemon is stopping",
            };
            if !keeps_up {
                return "the child does not read its messages";
            }
            send_at = None;
            last = Instant::now();
        }
    }

    fn receive(&mut self, up: Up) {
        let hub = &self.hub;
        hub.metrics.received(&up);
        let records = codec::records_from_wire(&hub.log, up.records);
        if !records.is_empty() {
            hub.table.merge(records, self.id);
        }
        let mut changed = false;
        if let Some(mark) = up.mark {
            let stamp = VersionStamp::from_wire(Some(mark));
            hub.children.set_version(self.id, stamp.version);
            if self.mesh && stamp.version > self.stamp.version {
                self.stamp = stamp;
            }
            if stamp.version >= self.stamp.version {
                self.transfer = None;
            }
        }
        if let Some(report) = up.report {
            changed = hub.children.set_report(self.id, Report::from_wire(&report));
        }
        if changed {
            hub.notify_report();
        }
    }

    /// Sends everything the child lacks; returns whether the child keeps up.
    async fn send(&mut self, trigger: Trigger) -> bool {
        let hub = Arc::clone(&self.hub);
        let limit = Instant::now() + hub.settings.silence.duration();
        let sender = self.sender.clone();
        // The message is built once there is room in the queue, so that later changes are included.
        let Ok(Ok(permit)) = timeout_at(limit, sender.reserve()).await else {
            return false;
        };
        let (down, stamp, sequence) = self.build_message(trigger);
        if down == Down::default() {
            return true;
        }
        hub.metrics.sent(&down);
        permit.send(Ok(down));
        self.sent = sequence;
        self.stamp = stamp;
        true
    }

    /// Returns a message with everything the child lacks, and the child's version stamp and sequence
    /// number after it.
    fn build_message(&mut self, trigger: Trigger) -> (Down, VersionStamp, Sequence) {
        let hub = Arc::clone(&self.hub);
        let members = hub.table.members();
        let mut down = Down::default();
        let mut sequence = self.sent;
        if let Some(theirs) = self.child_digests.take() {
            down.domain = hub.settings.domain.to_string();
            let local = members.buckets();
            let differing = local.differing(&theirs);
            if !differing.is_empty() {
                down.digests = local.as_slice().to_vec();
                let buckets = differing.into_iter().collect();
                down.records = codec::records_to_wire(&members.in_buckets(&buckets));
            }
        } else {
            let skip = |link| link == self.id || (self.mesh && is_mesh(link));
            let (records, last) = members.since(self.sent, skip);
            down.records = codec::records_to_wire(&records);
            sequence = last;
        }
        // Relays read versions from the store; links between them only repair missed versions.
        let stamp = match trigger == Trigger::Beacon || !self.mesh {
            true => self.add_update(&mut down),
            false => self.stamp,
        };
        let path = hub.path.borrow().clone();
        if trigger == Trigger::Beacon && (self.mesh || !path.is_empty()) {
            let changed = self.path != path;
            down.beacon = Some(Beacon {
                path: match changed && !self.mesh {
                    true => path.iter().map(ToString::to_string).collect(),
                    false => Vec::new(),
                },
            });
            self.path = path;
        }
        let relays = hub.relays.borrow().clone();
        if !self.mesh && relays.revision > self.relays_revision {
            self.relays_revision = relays.revision;
            down.relays = Some(relays.to_wire());
        }
        down.appointed = trigger == Trigger::Appointment;
        (down, stamp, sequence)
    }

    /// Adds the versions the child lacks to `down`; returns the child's resulting version stamp.
    fn add_update(&mut self, down: &mut Down) -> VersionStamp {
        let hub = &self.hub;
        let stamp = VersionStamp::of(&hub.table);
        if stamp.version <= self.stamp.version || stamp.version < self.floor {
            return self.stamp;
        }
        let update = hub.update_after(self.stamp);
        down.changes = update.changes;
        down.state = update.state;
        stamp
    }
}

/// Event that triggers a message.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trigger {
    /// Versions, records or relays changed.
    Change,
    /// The beacon interval elapsed, or the path to the relay changed.
    Beacon,
    /// The child was appointed to claim a relay slot.
    Appointment,
}

/// Sets `at` to `limit` if it is unset or later.
fn move_earlier(at: &mut Option<Instant>, limit: Instant) {
    *at = Some(at.map_or(limit, |at| at.min(limit)));
}

/// Builds a rejection with alternative parents and a jittered `retry` delay.
fn busy(others: Vec<String>, retry: Duration) -> Busy {
    let jitter = rand::rng().random_range(0.5..1.5);
    Busy {
        others,
        retry_ms: retry.mul_f64(jitter).as_millis() as u64,
    }
}
