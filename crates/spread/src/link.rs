//! The lower end of a link: follows another daemon and puts in force what it sends.

use futures_util::StreamExt;
use member::Sequence;
use model::VmId;
use slog::{debug, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;
use wire::fleet::{Beacon, Down, Hello, Up};

use crate::codec::{self, Update};
use crate::hub::Hub;

/// Messages that may wait for a slow parent.
const UP_QUEUE: usize = 4;

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
    /// The other daemon has no room; others to try.
    Busy(Vec<String>),
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
    link.run(hub).await
}

/// The lower end of one link.
struct Link {
    id: member::LinkId,
    place: Place,
    up: mpsc::Sender<Up>,
    down: tonic::Streaming<Down>,
    sent: Sequence,
    stood: bool,
}

impl Link {
    async fn open(hub: &Hub, address: &str, place: Place) -> Result<Self, Status> {
        let mut client = hub.client(address)?;
        let (up, receiver) = mpsc::channel(UP_QUEUE);
        // The queue is empty, so the greeting always fits.
        let _ = up.try_send(greeting(hub, place));
        let request = hub.request(ReceiverStream::new(receiver))?;
        let limit = Instant::now() + hub.settings.silence.duration();
        let reply = timeout_at(limit, client.follow(request))
            .await
            .map_err(|_| Status::deadline_exceeded("no answer in time"))??;
        Ok(Self {
            id: hub.new_link(),
            place,
            up,
            down: reply.into_inner(),
            sent: Sequence::default(),
            stood: false,
        })
    }

    async fn run(&mut self, hub: &Hub) -> End {
        let mut members = hub.table.members().subscribe();
        let mut counted = hub.counted.subscribe();
        let mut versions = hub.table.subscribe();
        let mut heartbeat = interval(hub.settings.beacon.duration());
        let mut silent_at = Instant::now() + hub.settings.silence.duration();
        loop {
            tokio::select! {
                down = timeout_at(silent_at, self.down.next()) => match down {
                    Err(_) => return self.lost("no beacon in time"),
                    Ok(None) => return self.lost("closed by the parent"),
                    Ok(Some(Err(status))) => return self.lost(status.message()),
                    Ok(Some(Ok(down))) => {
                        if down.beacon.is_some() {
                            silent_at = Instant::now() + hub.settings.silence.duration();
                        }
                        if let Some(end) = self.receive(hub, down) {
                            return end;
                        }
                    }
                },
                _ = heartbeat.tick() => if !self.report(hub) {
                    return self.lost("the parent does not read");
                },
                _ = members.changed(), if self.stood => if !self.report(hub) {
                    return self.lost("the parent does not read");
                },
                _ = counted.changed(), if self.stood => { self.report(hub); }
                _ = versions.changed(), if self.stood => { self.report(hub); }
                () = hub.stop.cancelled() => return self.lost("this daemon stops"),
            }
        }
    }

    /// Puts a message of the parent in force; returns the end of the link if it is one.
    fn receive(&mut self, hub: &Hub, down: Down) -> Option<End> {
        if let Some(busy) = down.busy {
            return Some(End::Busy(busy.others));
        }
        self.stood = true;
        let update = Update {
            changes: down.changes,
            state: down.state,
        };
        if let Err(error) = update.apply(&hub.table) {
            warn!(hub.log, "version not put in force"; "error" => %error);
            return Some(self.lost("an update could not be applied"));
        }
        let records = codec::records(&hub.log, down.records);
        if !records.is_empty() {
            hub.table.merge(records, self.id);
        }
        let beacon = down.beacon?;
        self.follow_path(hub, beacon)
    }

    /// Takes over the path to the relay; returns the end of the link if the path is a cycle.
    fn follow_path(&self, hub: &Hub, beacon: Beacon) -> Option<End> {
        if self.place == Place::Mesh {
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

    /// Sends what changed at and below this daemon; returns whether the parent keeps up.
    fn report(&mut self, hub: &Hub) -> bool {
        let (records, sequence) = match self.stood {
            true => hub.table.members().since(self.sent, self.id),
            false => (Vec::new(), self.sent),
        };
        let up = Up {
            hello: None,
            records: codec::to_wire(&records),
            counts: hub.counts().to_wire(),
        };
        match self.up.try_send(up) {
            Ok(()) => {
                self.sent = sequence;
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

fn greeting(hub: &Hub, place: Place) -> Up {
    let snapshot = hub.table.snapshot();
    let own = hub.table.members().own();
    debug!(hub.log, "greeting"; "version" => %snapshot.version);
    Up {
        hello: Some(Hello {
            vm: own.vm.to_string(),
            incarnation: own.incarnation.get(),
            address: hub.address.to_string(),
            domain: own.domain.to_string(),
            version: snapshot.version.get(),
            digest: snapshot.digest.as_bytes().to_vec(),
            mesh: place == Place::Mesh,
        }),
        records: Vec::new(),
        counts: hub.counts().to_wire(),
    }
}
