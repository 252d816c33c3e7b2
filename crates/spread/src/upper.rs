//! The upper end of a link: serves one daemon that follows this one.

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
use crate::codec::{self, Mark};
use crate::counts::Report;
use crate::hub::{Hub, is_mesh};
use crate::repair;
use crate::server::buckets;

/// When a daemon that finds no room here may come back.
const RETRY: Duration = Duration::from_secs(1);

/// Shortest time between two versions; those accepted meanwhile are sent together.
const VERSION_PAUSE: Duration = Duration::from_millis(20);

/// Shortest time between two lots of records; those written meanwhile are sent together.
const RECORDS_PAUSE: Duration = Duration::from_millis(100);

/// Daemons asked at once whether they live.
const MAX_PROBES: usize = 16;

/// Time for which daemons stay routed when a suspiciously large share was lost at once.
const DOUBT: Duration = Duration::from_secs(30);

/// The upper end of one link.
pub(crate) struct Upper {
    hub: Arc<Hub>,
    id: LinkId,
    vm: VmId,
    domain: DomainName,
    mesh: bool,
    sender: mpsc::Sender<Result<Down, Status>>,
    /// What the child has in force, or will have when it has read what was sent.
    mark: Mark,
    /// Version below which the child takes none.
    floor: Version,
    /// Digests of the child's membership, until the first message is sent.
    digests: Option<Buckets>,
    /// Records up to here were sent.
    sent: Sequence,
    path: Vec<VmId>,
    relays: store::Revision,
    /// Held while the child takes in a whole state.
    transfer: Option<OwnedSemaphorePermit>,
}

impl Upper {
    /// Takes a child in, or says where it should go instead.
    ///
    /// # Errors
    ///
    /// Fails if the greeting cannot be read.
    pub(crate) fn admit(
        hub: &Arc<Hub>,
        hello: Hello,
        sender: mpsc::Sender<Result<Down, Status>>,
    ) -> Result<Result<Self, Busy>, Status> {
        let invalid = |_| Status::invalid_argument("the greeting has no valid names");
        let vm: VmId = hello.vm.parse().map_err(invalid)?;
        let domain: DomainName = hello.domain.parse().map_err(invalid)?;
        let mark = Mark::from_wire(hello.mark.clone());
        let mut upper = Self {
            hub: Arc::clone(hub),
            id: hub.new_link(hello.mesh),
            vm,
            domain,
            mesh: hello.mesh,
            sender,
            mark,
            floor: Version::new(hello.floor),
            digests: Some(buckets(hello.digests)),
            sent: hub.table.members().last(),
            path: Vec::new(),
            relays: store::Revision(0),
            transfer: None,
        };
        if !upper.mesh
            && let Err(busy) = upper.join(hello.address)
        {
            return Ok(Err(busy));
        }
        debug!(hub.log, "child admitted"; "vm" => %upper.vm, "mesh" => upper.mesh);
        Ok(Ok(upper))
    }

    /// Takes a place in the tree.
    fn join(&mut self, address: String) -> Result<(), Busy> {
        let hub = &self.hub;
        let path = hub.path.borrow().clone();
        if path.is_empty() || path.contains(&self.vm) {
            return Err(busy(Vec::new(), RETRY));
        }
        if let Err(pause) = hub.admit_join() {
            return Err(busy(hub.children.addresses(), pause));
        }
        if hub.is_far_behind(self.mark) {
            match Arc::clone(&hub.transfers).try_acquire_owned() {
                Ok(permit) => self.transfer = Some(permit),
                Err(_) => return Err(busy(hub.children.addresses(), RETRY)),
            }
        }
        let mut report = Report::default();
        report.counts.add(self.mark.version, 1);
        let child = Child {
            vm: self.vm.clone(),
            domain: self.domain.clone(),
            address,
            version: self.mark.version,
            report,
            behind: None,
        };
        let admitted = hub.children.admit(hub.settings.fanout, self.id, child);
        admitted.map_err(|others| busy(others, RETRY))?;
        hub.touch_report();
        Ok(())
    }

    /// Serves the child until the link ends, and expires it if it does not come back.
    pub(crate) async fn run(mut self, ups: Streaming<Up>) {
        let reason = self.serve(ups).await;
        self.transfer = None;
        if self.hub.children.dismiss(self.id) {
            self.hub.touch_report();
        }
        if self.mesh || self.hub.stop.is_cancelled() {
            return;
        }
        info!(self.hub.log, "child lost"; "vm" => %self.vm, "reason" => reason);
        let lost = self.subtree();
        sleep(self.hub.settings.grace.duration()).await;
        self.expire(lost).await;
    }

    /// Returns the records of the child and of the daemons that were known through it.
    fn subtree(&self) -> Vec<Record> {
        let members = self.hub.table.members();
        let mut lost = members.from_link(self.id, &self.domain);
        if !lost.iter().any(|record| record.vm == self.vm) {
            lost.extend(members.get(&self.vm).filter(Record::is_alive));
        }
        lost
    }

    /// Expires those of `lost` that are gone.
    async fn expire(&self, lost: Vec<Record>) {
        let hub = &self.hub;
        let gone = self.gone(lost).await;
        let known = hub.table.members().of_domain(&self.domain).len();
        if !gone.is_empty() && !hub.may_expire(gone.len(), known) {
            warn!(hub.log, "many daemons lost at once; they stay routed for now";
                "lost" => gone.len(), "known" => known);
            sleep(DOUBT).await;
            if hub.path.borrow().is_empty() {
                return;
            }
        }
        for record in gone {
            if hub.table.members().get(&record.vm).as_ref() == Some(&record) {
                info!(hub.log, "daemon expired"; "vm" => %record.vm);
                hub.table.expire(&record.vm);
            }
        }
    }

    /// Returns the newest records of those of `lost` that do not answer.
    ///
    /// A daemon below the lost one that has announced itself anew has another parent. The lost one
    /// itself is asked even then: its last word may have come by another way.
    async fn gone(&self, lost: Vec<Record>) -> Vec<Record> {
        let hub = &self.hub;
        let newest = lost.into_iter().filter_map(|old| {
            let new = hub.table.members().get(&old.vm)?;
            let asked = new.is_alive() && (new == old || new.vm == self.vm);
            asked.then_some(new)
        });
        let probes = newest.map(|record| async {
            match repair::answers(hub, &record).await {
                true => None,
                false => Some(record),
            }
        });
        let gone = stream::iter(probes).buffer_unordered(MAX_PROBES);
        gone.filter_map(async |record| record).collect().await
    }

    /// Serves the child until the link ends; returns why it did.
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
            let sent = tokio::select! {
                up = timeout_at(silent_at, ups.next()) => match up {
                    Err(_) => return "no heartbeat in time",
                    Ok(None) => return "closed by the child",
                    Ok(Some(Err(_))) => return "broken",
                    Ok(Some(Ok(up))) => {
                        silent_at = Instant::now() + hub.settings.silence.duration();
                        self.receive(up);
                        continue;
                    }
                },
                _ = versions.changed() => {
                    soonest(&mut send_at, last + VERSION_PAUSE);
                    continue;
                }
                _ = members.changed() => {
                    soonest(&mut send_at, last + RECORDS_PAUSE);
                    continue;
                }
                _ = relays.changed() => {
                    soonest(&mut send_at, last + RECORDS_PAUSE);
                    continue;
                }
                _ = appointed.changed() => {
                    if *appointed.borrow_and_update() != Some(self.id) {
                        continue;
                    }
                    self.send(Kind::Appointment).await
                }
                _ = beacon.tick() => self.send(Kind::Beacon).await,
                _ = paths.changed() => self.send(Kind::Beacon).await,
                () = sleep_until(send_at.unwrap_or(silent_at)), if send_at.is_some() => {
                    self.send(Kind::News).await
                }
                () = hub.stop.cancelled() => return "this daemon stops",
            };
            if !sent {
                return "the child does not read";
            }
            send_at = None;
            last = Instant::now();
        }
    }

    fn receive(&mut self, up: Up) {
        let hub = &self.hub;
        hub.traffic.received(&up);
        let records = codec::records(&hub.log, up.records);
        if !records.is_empty() {
            hub.table.merge(records, self.id);
        }
        let mut changed = false;
        if let Some(mark) = up.mark {
            let mark = Mark::from_wire(Some(mark));
            hub.children.set_version(self.id, mark.version);
            if self.mesh && mark.version > self.mark.version {
                self.mark = mark;
            }
            if mark.version >= self.mark.version {
                self.transfer = None;
            }
        }
        if let Some(report) = up.report {
            changed = hub.children.set_report(self.id, Report::from_wire(&report));
        }
        if changed {
            hub.touch_report();
        }
    }

    /// Sends what the child lacks; returns whether it keeps up.
    async fn send(&mut self, kind: Kind) -> bool {
        let hub = Arc::clone(&self.hub);
        let limit = Instant::now() + hub.settings.silence.duration();
        let sender = self.sender.clone();
        // What changes until there is room coalesces.
        let Ok(Ok(permit)) = timeout_at(limit, sender.reserve()).await else {
            return false;
        };
        let (down, mark, sequence) = self.down(kind);
        if down == Down::default() {
            return true;
        }
        hub.traffic.sent(&down);
        permit.send(Ok(down));
        self.sent = sequence;
        self.mark = mark;
        true
    }

    /// Returns what the child lacks, and what it has once it has read that.
    fn down(&mut self, kind: Kind) -> (Down, Mark, Sequence) {
        let hub = Arc::clone(&self.hub);
        let members = hub.table.members();
        let mut down = Down::default();
        let mut sequence = self.sent;
        if let Some(theirs) = self.digests.take() {
            down.domain = hub.settings.domain.to_string();
            let own = members.buckets();
            let differing = own.differing(&theirs);
            if !differing.is_empty() {
                down.digests = own.as_slice().to_vec();
                let buckets = differing.into_iter().collect();
                down.records = codec::to_wire(&members.in_buckets(&buckets));
            }
        } else {
            let skip = |link| link == self.id || (self.mesh && is_mesh(link));
            let (records, last) = members.since(self.sent, skip);
            down.records = codec::to_wire(&records);
            sequence = last;
        }
        // Relays read the store themselves; the links between them only mend what that misses.
        let mark = match kind == Kind::Beacon || !self.mesh {
            true => self.add_update(&mut down),
            false => self.mark,
        };
        let path = hub.path.borrow().clone();
        if kind == Kind::Beacon && (self.mesh || !path.is_empty()) {
            let news = self.path != path;
            down.beacon = Some(Beacon {
                path: match news && !self.mesh {
                    true => path.iter().map(ToString::to_string).collect(),
                    false => Vec::new(),
                },
            });
            self.path = path;
        }
        let relays = hub.relays.borrow().clone();
        if !self.mesh && relays.revision > self.relays {
            self.relays = relays.revision;
            down.relays = Some(relays.to_wire());
        }
        down.appointed = kind == Kind::Appointment;
        (down, mark, sequence)
    }

    /// Adds the versions that the child lacks; returns what it then has.
    fn add_update(&mut self, down: &mut Down) -> Mark {
        let hub = &self.hub;
        let mark = Mark::of(&hub.table);
        if mark.version <= self.mark.version || mark.version < self.floor {
            return self.mark;
        }
        let update = hub.update_after(self.mark);
        down.changes = update.changes;
        down.state = update.state;
        mark
    }
}

/// Why a message is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    /// Something changed.
    News,
    /// It is time for a sign of life.
    Beacon,
    /// The child is to take a relay's duty.
    Appointment,
}

/// Moves `at` forward to `wish` if that is sooner.
fn soonest(at: &mut Option<Instant>, wish: Instant) {
    *at = Some(at.map_or(wish, |at| at.min(wish)));
}

/// Sends a daemon elsewhere, or back here after about `retry`.
fn busy(others: Vec<String>, retry: Duration) -> Busy {
    let jitter = rand::rng().random_range(0.5..1.5);
    Busy {
        others,
        retry_ms: retry.mul_f64(jitter).as_millis() as u64,
    }
}
