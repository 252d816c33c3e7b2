//! The upper end of a link: serves the daemons that follow this one.

use std::pin::Pin;
use std::sync::Arc;

use async_trait::async_trait;
use futures_util::{Stream, StreamExt};
use member::{LinkId, Sequence};
use model::{Digest, Secret, Version, VmId};
use slog::{debug, info};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::service::Interceptor;
use tonic::{Request, Response, Status, Streaming};
use wire::fleet::fleet_server::Fleet;
use wire::fleet::{
    Beacon, Busy, CompareReply, CompareRequest, Down, DrainReply, DrainRequest, Hello, Up,
};

use crate::codec::{self, Update};
use crate::hub::{Child, Hub};
use crate::{Counts, Local};

/// Messages that may wait for a slow child; versions beyond it coalesce.
const DOWN_QUEUE: usize = 4;

/// When a daemon that was turned away may come back, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Refuses calls without the fleet's key.
#[derive(Debug, Clone)]
pub(crate) struct KeyCheck {
    pub(crate) key: Secret,
}

impl Interceptor for KeyCheck {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let header = request.metadata().get("authorization");
        let bearer = header.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        if bearer.is_some_and(|key| self.key.matches(key)) {
            return Ok(request);
        }
        Err(Status::unauthenticated(
            "this process has not the fleet's key; set `fleet.key` to the same on every daemon",
        ))
    }
}

/// The service that other daemons call.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) hub: Arc<Hub>,
    pub(crate) local: Arc<dyn Local>,
}

#[async_trait]
impl Fleet for Server {
    type FollowStream = Pin<Box<dyn Stream<Item = Result<Down, Status>> + Send>>;

    async fn follow(
        &self,
        request: Request<Streaming<Up>>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let mut ups = request.into_inner();
        let limit = Instant::now() + self.hub.settings.silence.duration();
        let first = timeout_at(limit, ups.next())
            .await
            .map_err(|_| Status::deadline_exceeded("no greeting in time"))?;
        let hello = match first {
            Some(Ok(Up {
                hello: Some(hello), ..
            })) => hello,
            _ => return Err(Status::invalid_argument("the first message is no greeting")),
        };
        let (sender, receiver) = mpsc::channel(DOWN_QUEUE);
        match Upper::admit(&self.hub, hello, sender.clone())? {
            Ok(upper) => {
                tokio::spawn(upper.run(ups));
            }
            Err(busy) => {
                let down = Down {
                    busy: Some(busy),
                    ..Down::default()
                };
                // The queue is empty, so the message always fits.
                let _ = sender.try_send(Ok(down));
            }
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }

    async fn compare(
        &self,
        request: Request<CompareRequest>,
    ) -> Result<Response<CompareReply>, Status> {
        let theirs = request.into_inner();
        let table = &self.hub.table;
        let digest = Digest::from_slice(&theirs.digest).unwrap_or(Digest::ZERO);
        let update = Update::after(table, Version::new(theirs.version), digest);
        Ok(Response::new(CompareReply {
            version: table.snapshot().version.get(),
            changes: update.changes,
            state: update.state,
            records: codec::to_wire(&table.members().all()),
        }))
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let vm = &self.hub.settings.vm;
        if request.get_ref().vm != vm.as_str() {
            return Err(Status::not_found(format!("this daemon runs on VM `{vm}`")));
        }
        let draining = self.local.drain();
        Ok(Response::new(DrainReply { draining }))
    }
}

/// The upper end of one link.
struct Upper {
    hub: Arc<Hub>,
    id: LinkId,
    vm: VmId,
    mesh: bool,
    sender: mpsc::Sender<Result<Down, Status>>,
    version: Version,
    digest: Digest,
    sent: Sequence,
}

impl Upper {
    /// Takes a child in, or says where it should go instead.
    fn admit(
        hub: &Arc<Hub>,
        hello: Hello,
        sender: mpsc::Sender<Result<Down, Status>>,
    ) -> Result<Result<Self, Busy>, Status> {
        let vm: VmId = hello
            .vm
            .parse()
            .map_err(|_| Status::invalid_argument("the greeting has no valid VM id"))?;
        let id = hub.new_link();
        if !hello.mesh {
            let path = hub.path.borrow().clone();
            if path.is_empty() || path.contains(&vm) {
                return Ok(Err(Busy {
                    others: Vec::new(),
                    retry_ms: RETRY_MS,
                }));
            }
            let mut counts = Counts::default();
            counts.add(Version::new(hello.version), 1);
            let child = Child {
                address: hello.address,
                counts,
            };
            if let Err(others) = hub.admit(id, child) {
                return Ok(Err(Busy {
                    others,
                    retry_ms: RETRY_MS,
                }));
            }
        }
        debug!(hub.log, "child admitted"; "vm" => %vm, "mesh" => hello.mesh);
        Ok(Ok(Self {
            hub: Arc::clone(hub),
            id,
            vm,
            mesh: hello.mesh,
            sender,
            version: Version::new(hello.version),
            digest: Digest::from_slice(&hello.digest).unwrap_or(Digest::ZERO),
            sent: Sequence::default(),
        }))
    }

    async fn run(mut self, ups: Streaming<Up>) {
        let reason = self.serve(ups).await;
        self.hub.dismiss(self.id);
        if self.mesh || self.hub.stop.is_cancelled() {
            return;
        }
        info!(self.hub.log, "child lost"; "vm" => %self.vm, "reason" => reason);
        let last = self.hub.table.members().get(&self.vm);
        sleep(self.hub.settings.grace.duration()).await;
        let now = self.hub.table.members().get(&self.vm);
        // A child that found another parent has announced itself anew.
        if last.is_some() && now == last {
            info!(self.hub.log, "daemon expired"; "vm" => %self.vm);
            self.hub.table.expire(&self.vm);
        }
    }

    /// Serves the child until the link ends; returns why it did.
    async fn serve(&mut self, mut ups: Streaming<Up>) -> &'static str {
        let hub = Arc::clone(&self.hub);
        let mut versions = hub.table.subscribe();
        let mut members = hub.table.members().subscribe();
        let mut paths = hub.path.subscribe();
        let mut beacon = interval(hub.settings.beacon.duration());
        let mut silent_at = Instant::now() + hub.settings.silence.duration();
        loop {
            let sent = tokio::select! {
                up = timeout_at(silent_at, ups.next()) => match up {
                    Err(_) => return "no heartbeat in time",
                    Ok(None) => return "closed by the child",
                    Ok(Some(Err(_))) => return "broken",
                    Ok(Some(Ok(up))) => {
                        silent_at = Instant::now() + hub.settings.silence.duration();
                        self.receive(up);
                        true
                    }
                },
                _ = beacon.tick() => self.send(true).await,
                _ = paths.changed() => self.send(true).await,
                _ = versions.changed() => self.send(false).await,
                _ = members.changed() => self.send(false).await,
                () = hub.stop.cancelled() => return "this daemon stops",
            };
            if !sent {
                return "the child does not read";
            }
        }
    }

    fn receive(&mut self, up: Up) {
        let records = codec::records(&self.hub.log, up.records);
        if !records.is_empty() {
            self.hub.table.merge(records, self.id);
        }
        if !self.mesh {
            self.hub.count(self.id, Counts::from_wire(&up.counts));
        }
    }

    /// Sends what the child lacks; returns whether it keeps up.
    async fn send(&mut self, beacon: bool) -> bool {
        let path = self.hub.path.borrow().clone();
        let rooted = self.mesh || !path.is_empty();
        let snapshot = self.hub.table.snapshot();
        let update = Update::after(&self.hub.table, self.version, self.digest);
        let (records, sequence) = self.hub.table.members().since(self.sent, self.id);
        let news = !update.changes.is_empty() || update.state.is_some() || !records.is_empty();
        let beacon = beacon && rooted;
        if !news && !beacon {
            return true;
        }
        let down = Down {
            busy: None,
            changes: update.changes,
            state: update.state,
            records: codec::to_wire(&records),
            beacon: beacon.then(|| Beacon {
                path: path.iter().map(ToString::to_string).collect(),
            }),
        };
        let limit = Instant::now() + self.hub.settings.silence.duration();
        if !matches!(
            timeout_at(limit, self.sender.send(Ok(down))).await,
            Ok(Ok(()))
        ) {
            return false;
        }
        self.sent = sequence;
        if snapshot.version > self.version {
            self.version = snapshot.version;
            self.digest = snapshot.digest;
        }
        true
    }
}
