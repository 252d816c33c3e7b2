//! The lower end of a link: follows another daemon and puts in force what it sends.

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

use crate::codec::{self, Mark, Update};
use crate::counts::Report;
use crate::hub::{Hub, is_mesh};
use crate::relays::Relays;

/// Messages that may wait for a slow parent; what changes meanwhile coalesces.
const UP_QUEUE: usize = 4;

/// Shortest time between two reports; what changes meanwhile coalesces.
const REPORT_PAUSE: Duration = Duration::from_millis(100);

/// Mean time that a daemon stays below one of another failure domain, before it looks in the store
/// whether its own has a relay, or a vacant place for one.
const GUEST_STAY: Duration = Duration::from_secs(10);

/// Place of a link in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Place {
    /// To the parent in the tree.
    Tree,
    /// To a relay of another failure domain, or of this one.
    Mesh,
}

/// Why a link ended.
#[derive(Debug)]
pub(crate) enum End {
    /// The other daemon has no room.
    Busy {
        /// Others to try.
        others: Vec<String>,
        /// When to come back.
        retry: Duration,
    },
    /// This daemon should look whether there is a relay's duty to take.
    Appointed,
    /// The link was lost after it stood.
    Lost(String),
    /// The link never stood.
    Failed(String),
}

/// Follows the daemon at `address` until the link ends.
pub(crate) async fn run(hub: &Hub, address: &str, place: Place) -> End {
    let mut link = match Link::open(hub, address, place).await {
        Ok(link) => link,
        Err(status) => return End::Failed(status.message().into()),
    };
    let end = link.run(hub).await;
    if place == Place::Tree {
        hub.parent.send_replace(None);
    }
    end
}

/// The lower end of one link.
struct Link {
    id: LinkId,
    address: String,
    place: Place,
    up: mpsc::Sender<Up>,
    down: tonic::Streaming<Down>,
    /// Records up to here need not be sent.
    sent: Sequence,
    mark: Mark,
    report: Report,
    stood: bool,
    leave_at: Option<Instant>,
}

impl Link {
    async fn open(hub: &Hub, address: &str, place: Place) -> Result<Self, Status> {
        let mut client = hub.client(address)?;
        let (up, receiver) = mpsc::channel(UP_QUEUE);
        let mark = Mark::of(&hub.table);
        let sent = hub.table.members().last();
        let greeting = greeting(hub, place, mark);
        hub.traffic.sent(&greeting);
        // The queue is empty, so the greeting always fits.
        let _ = up.try_send(greeting);
        let request = hub.request(ReceiverStream::new(receiver))?;
        let limit = Instant::now() + hub.settings.silence.duration();
        let reply = timeout_at(limit, client.follow(request))
            .await
            .map_err(|_| Status::deadline_exceeded("no answer in time"))??;
        Ok(Self {
            id: hub.new_link(place == Place::Mesh),
            address: address.into(),
            place,
            up,
            down: reply.into_inner(),
            sent,
            mark,
            report: Report::default(),
            stood: false,
            leave_at: None,
        })
    }

    async fn run(&mut self, hub: &Hub) -> End {
        let mut members = hub.table.members().subscribe();
        let mut reported = hub.reported.subscribe();
        let mut versions = hub.table.subscribe();
        let mut heartbeat = interval(hub.settings.beacon.duration());
        let mut silent_at = Instant::now() + hub.settings.silence.duration();
        let mut report_at: Option<Instant> = None;
        let mut last_report = Instant::now();
        loop {
            tokio::select! {
                down = timeout_at(silent_at, self.down.next()) => match down {
                    Err(_) => return self.lost("no beacon in time"),
                    Ok(None) => return self.lost("closed by the parent"),
                    Ok(Some(Err(status))) => return self.lost(status.message()),
                    Ok(Some(Ok(down))) => {
                        hub.traffic.received(&down);
                        if down.beacon.is_some() {
                            silent_at = Instant::now() + hub.settings.silence.duration();
                        }
                        if let Some(end) = self.receive(hub, down) {
                            return end;
                        }
                    }
                },
                _ = heartbeat.tick() => {
                    if !self.report(hub, true) {
                        return self.lost("the parent does not read");
                    }
                    last_report = Instant::now();
                    report_at = None;
                }
                () = sleep_until(report_at.unwrap_or(silent_at)), if report_at.is_some() => {
                    if !self.report(hub, false) {
                        return self.lost("the parent does not read");
                    }
                    last_report = Instant::now();
                    report_at = None;
                }
                _ = members.changed(), if self.stood => {
                    report_at.get_or_insert(last_report + REPORT_PAUSE);
                }
                _ = reported.changed(), if self.stood => {
                    report_at.get_or_insert(last_report + REPORT_PAUSE);
                }
                _ = versions.changed(), if self.stood => {
                    report_at.get_or_insert(last_report + REPORT_PAUSE);
                }
                () = sleep_until(self.leave_at.unwrap_or(silent_at)), if self.leave_at.is_some() => {
                    return End::Appointed;
                }
                () = hub.stop.cancelled() => return self.lost("this daemon stops"),
            }
        }
    }

    /// Puts a message of the parent in force; returns the end of the link if it is one.
    fn receive(&mut self, hub: &Hub, mut down: Down) -> Option<End> {
        if let Some(busy) = down.busy {
            return Some(End::Busy {
                others: busy.others,
                retry: Duration::from_millis(busy.retry_ms),
            });
        }
        if !self.stood {
            self.stood = true;
            if self.place == Place::Tree {
                hub.parent.send_replace(Some(self.address.clone()));
                if down.domain != hub.settings.domain.as_str() {
                    let stay = GUEST_STAY.mul_f64(rand::rng().random_range(0.5..1.5));
                    self.leave_at = Some(Instant::now() + stay);
                }
            }
        }
        let update = Update {
            changes: std::mem::take(&mut down.changes),
            state: down.state.take(),
        };
        if !update.is_empty()
            && let Err(error) = hub.offer(update)
        {
            warn!(hub.log, "version not put in force"; "error" => %error);
            hub.set_trouble(&error.to_string());
            return Some(self.lost("an update could not be applied"));
        }
        let records = codec::records(&hub.log, down.records);
        if !records.is_empty() {
            hub.table.merge(records, self.id);
        }
        if let Some(theirs) = Buckets::from_wire(down.digests) {
            self.send_differing(hub, &theirs);
        }
        if let Some(relays) = down.relays {
            hub.learn_relays(Relays::from_wire(relays));
        }
        if let Some(end) = down.beacon.and_then(|beacon| self.follow_path(hub, beacon)) {
            return Some(end);
        }
        down.appointed.then_some(End::Appointed)
    }

    /// Sends the records that the parent lacked when the link began.
    fn send_differing(&self, hub: &Hub, theirs: &Buckets) {
        let members = hub.table.members();
        let buckets = members.buckets().differing(theirs).into_iter().collect();
        let up = Up {
            records: codec::to_wire(&members.in_buckets(&buckets)),
            ..Up::default()
        };
        if up.records.is_some() && self.up.try_send(up.clone()).is_ok() {
            hub.traffic.sent(&up);
        }
    }

    /// Takes over the path to the relay; returns the end of the link if the path is a cycle.
    fn follow_path(&self, hub: &Hub, beacon: Beacon) -> Option<End> {
        if self.place == Place::Mesh || beacon.path.is_empty() {
            return None;
        }
        let path: Result<Vec<VmId>, _> = beacon.path.iter().map(|vm| vm.parse()).collect();
        let Ok(mut path) = path else {
            return Some(self.lost("the parent's path cannot be read"));
        };
        if path.contains(&hub.settings.vm) {
            return Some(self.lost("the parent follows this daemon"));
        }
        path.push(hub.settings.vm.clone());
        hub.path.send_if_modified(|old| {
            let changed = *old != path;
            *old = path;
            changed
        });
        None
    }

    /// Sends what changed at and below this daemon; returns whether the parent is there.
    fn report(&mut self, hub: &Hub, heartbeat: bool) -> bool {
        let mesh = self.place == Place::Mesh;
        let skip = |link| link == self.id || (mesh && is_mesh(link));
        let (records, sequence) = match self.stood {
            true => hub.table.members().since(self.sent, skip),
            false => (Vec::new(), self.sent),
        };
        let mark = Mark::of(&hub.table);
        let report = if mesh {
            Report::default()
        } else {
            hub.report()
        };
        let up = Up {
            hello: None,
            records: codec::to_wire(&records),
            report: (report != self.report).then(|| report.to_wire()),
            mark: (mark != self.mark).then(|| mark.to_wire()),
        };
        if !heartbeat && up == Up::default() {
            return true;
        }
        match self.up.try_send(up.clone()) {
            Ok(()) => {
                hub.traffic.sent(&up);
                self.sent = sequence;
                self.mark = mark;
                self.report = report;
                true
            }
            // The next heartbeat sends what this one could not.
            Err(mpsc::error::TrySendError::Full(_)) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        }
    }

    fn lost(&self, reason: &str) -> End {
        match self.stood {
            true => End::Lost(reason.into()),
            false => End::Failed(reason.into()),
        }
    }
}

fn greeting(hub: &Hub, place: Place, mark: Mark) -> Up {
    let own = hub.table.members().own();
    debug!(hub.log, "greeting"; "version" => %mark.version);
    Up {
        hello: Some(Hello {
            vm: own.vm.to_string(),
            incarnation: own.incarnation.get(),
            address: hub.address.to_string(),
            domain: own.domain.to_string(),
            mark: Some(mark.to_wire()),
            mesh: place == Place::Mesh,
            floor: hub.floor.get().unwrap_or_default().get(),
            digests: hub.table.members().buckets().as_slice().to_vec(),
        }),
        ..Up::default()
    }
}
