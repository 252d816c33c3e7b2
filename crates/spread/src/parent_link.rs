//! Client side of a link: follows a parent or another relay and applies the updates it sends.

use std::time::Duration;

use futures_util::StreamExt;
use member::{Buckets, LinkId, Sequence};
use model::VmId;
use rand::RngExt;
use slog::{debug, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep_until, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;
use wire::fleet::{Beacon, Down, Hello, Up};

use crate::codec::{self, Update, VersionStamp};
use crate::counts::Report;
use crate::hub::{Hub, is_mesh};
use crate::relays::Relays;

/// Messages queued for a slow parent; later changes are coalesced into the next message.
const UP_QUEUE: usize = 4;

/// Minimum interval between two reports; changes in between are coalesced.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Mean time a daemon follows a parent in another failure domain before it checks the store for a
/// relay or a vacant relay slot in its own domain.
const FOREIGN_PARENT_STAY: Duration = Duration::from_secs(10);

/// Kind of link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum LinkKind {
    /// Link to the parent in the distribution tree.
    Tree,
    /// Link between two relays, of the same or of different failure domains.
    Mesh,
}

/// Reason why a link closed.
#[derive(Debug)]
pub(crate) enum CloseReason {
    /// The other daemon cannot admit this one.
    Busy {
        /// Addresses of alternative parents.
        others: Vec<String>,
        /// Delay before retrying the same daemon.
        retry: Duration,
    },
    /// This daemon should check for a vacant relay slot.
    Appointed,
    /// The link was lost after it was established.
    Lost(String),
    /// The link was not established.
    Failed(String),
}

/// Follows the daemon at `address` until the link closes.
pub(crate) async fn run(hub: &Hub, address: &str, kind: LinkKind) -> CloseReason {
    let mut link = match ParentLink::open(hub, address, kind).await {
        Ok(link) => link,
        Err(status) => return CloseReason::Failed(status.message().into()),
    };
    let reason = link.run(hub).await;
    if kind == LinkKind::Tree {
        hub.parent.send_replace(None);
    }
    reason
}

/// Client side of one link.
struct ParentLink {
    id: LinkId,
    address: String,
    kind: LinkKind,
    up: mpsc::Sender<Up>,
    down: tonic::Streaming<Down>,
    /// Sequence number up to which records need not be sent.
    sent: Sequence,
    /// Version stamp that was last sent.
    stamp: VersionStamp,
    /// Report that was last sent.
    report: Report,
    /// Whether the parent has accepted the link.
    established: bool,
    /// When to leave a parent in another failure domain.
    leave_at: Option<Instant>,
}

impl ParentLink {
    async fn open(hub: &Hub, address: &str, kind: LinkKind) -> Result<Self, Status> {
        let mut client = hub.client(address)?;
        let (up, receiver) = mpsc::channel(UP_QUEUE);
        let stamp = VersionStamp::of(&hub.table);
        let sent = hub.table.members().last();
        let hello = hello_message(hub, kind, stamp);
        hub.metrics.sent(&hello);
        // The queue is empty, so sending cannot fail.
        let _ = up.try_send(hello);
        let request = hub.request(ReceiverStream::new(receiver))?;
        let limit = Instant::now() + hub.settings.silence.duration();
        let reply = timeout_at(limit, client.follow(request))
            .await
            .map_err(|_| Status::deadline_exceeded("no response within the silence time-out"))??;
        Ok(Self {
            id: hub.new_link(kind == LinkKind::Mesh),
            address: address.into(),
            kind,
            up,
            down: reply.into_inner(),
            sent,
            stamp,
            report: Report::default(),
            established: false,
            leave_at: None,
        })
    }

    async fn run(&mut self, hub: &Hub) -> CloseReason {
        let mut members = hub.table.members().subscribe();
        let mut reported = hub.report_changes.subscribe();
        let mut versions = hub.table.subscribe();
        let mut heartbeat = interval(hub.settings.beacon.duration());
        let mut silent_at = Instant::now() + hub.settings.silence.duration();
        let mut report_at: Option<Instant> = None;
        let mut last_report = Instant::now();
        loop {
            tokio::select! {
                down = timeout_at(silent_at, self.down.next()) => match down {
                    Err(_) => return self.lost("no beacon within the silence time-out"),
                    Ok(None) => return self.lost("closed by the parent"),
                    Ok(Some(Err(status))) => return self.lost(status.message()),
                    Ok(Some(Ok(down))) => {
                        hub.metrics.received(&down);
                        if down.beacon.is_some() {
                            silent_at = Instant::now() + hub.settings.silence.duration();
                        }
                        if let Some(reason) = self.receive(hub, down) {
                            return reason;
                        }
                    }
                },
                _ = heartbeat.tick() => {
                    if !self.send_report(hub, true) {
                        return self.lost("the parent does not read its messages");
                    }
                    last_report = Instant::now();
                    report_at = None;
                }
                () = sleep_until(report_at.unwrap_or(silent_at)), if report_at.is_some() => {
                    if !self.send_report(hub, false) {
                        return self.lost("the parent does not read its messages");
                    }
                    last_report = Instant::now();
                    report_at = None;
                }
                _ = members.changed(), if self.established => {
                    report_at.get_or_insert(last_report + REPORT_INTERVAL);
                }
                _ = reported.changed(), if self.established => {
                    report_at.get_or_insert(last_report + REPORT_INTERVAL);
                }
                _ = versions.changed(), if self.established => {
                    report_at.get_or_insert(last_report + REPORT_INTERVAL);
                }
                () = sleep_until(self.leave_at.unwrap_or(silent_at)), if self.leave_at.is_some() => {
                    return CloseReason::Appointed;
                }
                () = hub.stop.cancelled() => return self.lost("this daemon is stopping"),
            }
        }
    }

    /// Handles a message from the parent; returns a reason if the link is to be closed.
    fn receive(&mut self, hub: &Hub, mut down: Down) -> Option<CloseReason> {
        if let Some(busy) = down.busy {
            return Some(CloseReason::Busy {
                others: busy.others,
                retry: Duration::from_millis(busy.retry_ms),
            });
        }
        if !self.established {
            self.established = true;
            if self.kind == LinkKind::Tree {
                hub.parent.send_replace(Some(self.address.clone()));
                if down.domain != hub.settings.domain.as_str() {
                    let stay = FOREIGN_PARENT_STAY.mul_f64(rand::rng().random_range(0.5..1.5));
                    self.leave_at = Some(Instant::now() + stay);
                }
            }
        }
        let update = Update {
            changes: std::mem::take(&mut down.changes),
            state: down.state.take(),
        };
        if !update.is_empty()
            && let Err(error) = hub.apply_update(update)
        {
            warn!(hub.log, "failed to apply update from the parent"; "error" => %error);
            hub.set_lag_reason(&error.to_string());
            return Some(self.lost("an update could not be applied"));
        }
        let records = codec::records_from_wire(&hub.log, down.records);
        if !records.is_empty() {
            hub.table.merge(records, self.id);
        }
        if let Some(theirs) = Buckets::from_wire(down.digests) {
            self.send_differing(hub, &theirs);
        }
        if let Some(relays) = down.relays {
            hub.update_relays(Relays::from_wire(relays));
        }
        if let Some(reason) = down.beacon.and_then(|beacon| self.update_path(hub, beacon)) {
            return Some(reason);
        }
        down.appointed.then_some(CloseReason::Appointed)
    }

    /// Sends the records in the buckets that differ from the parent's digests `theirs`.
    fn send_differing(&self, hub: &Hub, theirs: &Buckets) {
        let members = hub.table.members();
        let buckets = members.buckets().differing(theirs).into_iter().collect();
        let up = Up {
            records: codec::records_to_wire(&members.in_buckets(&buckets)),
            ..Up::default()
        };
        if up.records.is_some() && self.up.try_send(up.clone()).is_ok() {
            hub.metrics.sent(&up);
        }
    }

    /// Sets the path to the relay from `beacon`; closes the link if the path is invalid or a cycle.
    fn update_path(&self, hub: &Hub, beacon: Beacon) -> Option<CloseReason> {
        if self.kind == LinkKind::Mesh || beacon.path.is_empty() {
            return None;
        }
        let path: Result<Vec<VmId>, _> = beacon.path.iter().map(|vm| vm.parse()).collect();
        let Ok(mut path) = path else {
            return Some(self.lost("the parent sent an invalid path"));
        };
        if path.contains(&hub.settings.vm) {
            return Some(self.lost("the parent is below this daemon"));
        }
        path.push(hub.settings.vm.clone());
        hub.path.send_if_modified(|old| {
            let changed = *old != path;
            *old = path;
            changed
        });
        None
    }

    /// Sends what changed in this daemon's subtree; returns whether the link is still open.
    fn send_report(&mut self, hub: &Hub, heartbeat: bool) -> bool {
        let mesh = self.kind == LinkKind::Mesh;
        let skip = |link| link == self.id || (mesh && is_mesh(link));
        let (records, sequence) = match self.established {
            true => hub.table.members().since(self.sent, skip),
            false => (Vec::new(), self.sent),
        };
        let stamp = VersionStamp::of(&hub.table);
        let report = if mesh {
            Report::default()
        } else {
            hub.report()
        };
        let up = Up {
            hello: None,
            records: codec::records_to_wire(&records),
            report: (report != self.report).then(|| report.to_wire()),
            mark: (stamp != self.stamp).then(|| stamp.to_wire()),
        };
        if !heartbeat && up == Up::default() {
            return true;
        }
        match self.up.try_send(up.clone()) {
            Ok(()) => {
                hub.metrics.sent(&up);
                self.sent = sequence;
                self.stamp = stamp;
                self.report = report;
                true
            }
            // The unsent changes go out with the next heartbeat.
            Err(mpsc::error::TrySendError::Full(_)) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        }
    }

    fn lost(&self, reason: &str) -> CloseReason {
        match self.established {
            true => CloseReason::Lost(reason.into()),
            false => CloseReason::Failed(reason.into()),
        }
    }
}

fn hello_message(hub: &Hub, kind: LinkKind, stamp: VersionStamp) -> Up {
    let local = hub.table.members().own();
    debug!(hub.log, "greeting"; "version" => %stamp.version);
    Up {
        hello: Some(Hello {
            vm: local.vm.to_string(),
            incarnation: local.incarnation.get(),
            address: hub.address.to_string(),
            domain: local.domain.to_string(),
            mark: Some(stamp.to_wire()),
            mesh: kind == LinkKind::Mesh,
            floor: hub.floor.get().unwrap_or_default().get(),
            digests: hub.table.members().buckets().as_slice().to_vec(),
        }),
        ..Up::default()
    }
}
