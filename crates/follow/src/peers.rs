//! Exchange of versions and records between daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use member::{Buckets, Record};
use model::{UnixMillis, Version};
use rand::seq::IndexedRandom;
use slog::{Logger, debug};
use store::Revision;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Server};
use tonic::{Request, Response, Status};
use wire::fleet::peers_client::PeersClient;
use wire::fleet::peers_server::{Peers, PeersServer};
use wire::fleet::{
    Entry, ExchangeReply, ExchangeRequest, Records, Topic, WatchReply, WatchRequest,
};
use wire::{FleetKey, endpoint};

use crate::config::Installer;
use crate::followed::Followed;
use crate::members::Directory;
use crate::polls::{HOLD, has_news};

/// Longest wait for a peer, connection and answer together.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after its end in which a daemon is expected back: several restarts, and clocks that differ.
const RETURN_LIMIT: Duration = Duration::from_secs(30);

/// Largest message, in bytes: a configuration as large as the store's values, and records.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Records sent in one exchange; the rest waits for the next one.
const MAX_RECORDS: usize = 2_000;

/// This daemon's side of the exchanges.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) directory: Arc<Directory>,
    pub(crate) installer: Arc<Installer>,
    /// What is read of each topic, for daemons that follow this one.
    pub(crate) followed: Arc<[Followed; 2]>,
    pub(crate) key: FleetKey,
    /// Wakes an exchange when a caller turns out to have a newer version.
    pub(crate) behind: Arc<Notify>,
    pub(crate) log: Logger,
}

#[tonic::async_trait]
impl Peers for Exchange {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let request = request.into_inner();
        let theirs = Version::new(request.version);
        let members = self.directory.table().members();
        let differing = Buckets::from_wire(request.digests)
            .map(|digests| members.buckets().differing(&digests))
            .unwrap_or_default();
        let records = members.in_buckets(&differing.into_iter().collect());
        let config = self.installer.newer(theirs);
        if theirs > self.installer.version() {
            self.behind.notify_one();
        }
        if let Some(caller) = request
            .caller
            .and_then(|record| Record::try_from(record).ok())
        {
            self.directory.merge(vec![caller]);
        }
        Ok(Response::new(ExchangeReply {
            version: self.installer.version().get(),
            config,
            records: Some(to_wire(&records)),
        }))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> Result<Response<WatchReply>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(HOLD);
        let deadline = Instant::now() + wait;
        let mut reads = self.followed(request.topic()).subscribe();
        loop {
            reads.mark_unchanged();
            let reply = self.news(&request);
            if !reply.follows || has_news(&reply) {
                return Ok(Response::new(reply));
            }
            if timeout_at(deadline, reads.changed()).await.is_err() {
                return Ok(Response::new(reply));
            }
        }
    }
}

fn to_wire_entry(entry: store::Entry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        revision: entry.revision.0,
    }
}

fn to_wire(records: &[Record]) -> Records {
    Records {
        plain: records.iter().take(MAX_RECORDS).map(Into::into).collect(),
        packed: Vec::new(),
    }
}

impl Exchange {
    /// Returns what is read of `topic`.
    pub(crate) fn followed(&self, topic: Topic) -> &Followed {
        match topic {
            Topic::Config => &self.followed[0],
            Topic::Members => &self.followed[1],
        }
    }

    /// Returns what was read since the revision and version that `request` names.
    fn news(&self, request: &WatchRequest) -> WatchReply {
        let followed = self.followed(request.topic());
        let after = Revision(request.after);
        let mut reply = WatchReply {
            follows: followed.follows(),
            revision: followed.at().max(after).0,
            ..WatchReply::default()
        };
        match request.topic() {
            Topic::Config => reply.config = self.installer.newer(Version::new(request.version)),
            Topic::Members => match followed.since(after) {
                Some(changes) => {
                    reply.written = changes.entries.into_iter().map(to_wire_entry).collect();
                    reply.deleted = changes.deleted;
                    reply.revision = changes.revision.0;
                }
                // The caller has to read every key.
                None => reply.follows = false,
            },
        }
        reply
    }

    /// Starts to answer exchanges on `listener`.
    pub(crate) fn serve(&self, listener: TcpListener) -> JoinHandle<()> {
        let service = PeersServer::new(self.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let service = InterceptedService::new(service, self.key.check());
        let log = self.log.clone();
        tokio::spawn(async move {
            let incoming = TcpListenerStream::new(listener);
            let served = Server::builder()
                .add_service(service)
                .serve_with_incoming(incoming);
            if let Err(error) = served.await {
                slog::error!(log, "peers are no longer answered; restart the daemon"; "error" => %error);
            }
        })
    }

    /// Exchanges with the daemon at `address`; returns whether it answered.
    pub(crate) async fn with(&self, address: SocketAddr) -> bool {
        match timeout(EXCHANGE_TIMEOUT, self.call(address)).await {
            Ok(Ok(reply)) => {
                self.take(address, reply);
                true
            }
            Ok(Err(status)) => {
                debug!(self.log, "peer not reached"; "peer" => %address, "error" => status.message());
                false
            }
            Err(_) => {
                debug!(self.log, "peer not reached"; "peer" => %address, "error" => "no answer in time");
                false
            }
        }
    }

    async fn call(&self, address: SocketAddr) -> Result<ExchangeReply, Status> {
        let members = self.directory.table().members();
        let request = self.key.authorized(ExchangeRequest {
            caller: Some((&members.own()).into()),
            version: self.installer.version().get(),
            digests: members.buckets().as_slice().to_vec(),
        });
        let reply = client(address).await?.exchange(request).await?;
        Ok(reply.into_inner())
    }

    fn take(&self, address: SocketAddr, reply: ExchangeReply) {
        if let Some(config) = &reply.config {
            self.installer.offer_packed(config, "peer");
        }
        let mut records = Vec::new();
        for record in reply
            .records
            .map(|records| records.plain)
            .unwrap_or_default()
        {
            match Record::try_from(record) {
                Ok(record) => records.push(record),
                Err(error) => {
                    debug!(self.log, "record passed over"; "peer" => %address, "error" => %error);
                }
            }
        }
        self.directory.merge(records);
    }

    /// Returns the address of a random peer: one that lives, or ended a moment ago and may be back.
    ///
    /// A daemon that starts while the store is away knows nobody, and is found by those that knew it.
    pub(crate) fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.directory.table().members();
        let now = UnixMillis::now();
        let peers = members.addresses(|record| may_be_back(record, now));
        peers.choose(&mut rand::rng()).copied()
    }

    /// Probes lapsed members until the daemon stops.
    pub(crate) async fn probe_lapsed(self) {
        loop {
            let (due, next) = self.directory.probes();
            for record in &due {
                let answered = self.with(record.fleet).await;
                self.directory.probed(&record.vm, answered);
            }
            if !due.is_empty() {
                continue;
            }
            tokio::select! {
                () = self.directory.lapsed.notified() => {}
                () = until(next) => {}
            }
        }
    }
}

/// Returns whether the daemon that wrote `record` lives or may have started again.
fn may_be_back(record: &Record, now: UnixMillis) -> bool {
    let gone = record.ended.filter(|_| !record.is_alive());
    gone.is_none_or(|at| now.get().abs_diff(at.get()) < RETURN_LIMIT.as_millis() as u64)
}

/// Waits until `instant`, for ever if there is none.
async fn until(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// Connects to the daemon at `address`. Exchanges are rare, and a connection of its own for each
/// never meets one that has gone silent.
async fn client(address: SocketAddr) -> Result<PeersClient<Channel>, Status> {
    let channel = endpoint(address)?
        .connect()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(PeersClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}
