//! Exchanges configuration versions and membership records with peers, and serves polls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use member::{Buckets, Record, departures_from_wire, departures_to_wire};
use model::{UnixMillis, Version, VmId};
use rand::seq::IndexedRandom;
use slog::{Logger, debug, warn};
use store::{Era, Revision};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Server};
use tonic::{Request, Response, Status};
use wire::fleet::peers_client::PeersClient;
use wire::fleet::peers_server::{Peers, PeersServer};
use wire::fleet::{
    self, Entry, ExchangeReply, ExchangeRequest, Records, Topic, WatchReply, WatchRequest,
};
use wire::{FleetKey, endpoint};

use crate::config::Installer;
use crate::confirmation::{CONFIG_TERMS, MEMBERS_TERMS, Terms, offset_ms};
use crate::members::Directory;
use crate::relay_client::{MAX_HOLD, has_changes};
use crate::topic_state::TopicState;

/// Time limit of one exchange, including the connection set-up.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a daemon that ended is still contacted, because it may have restarted. Covers several
/// restarts and the skew between clocks.
const RESTART_WINDOW: Duration = Duration::from_secs(30);

/// Message size limit: one value of the store's largest size, plus records.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Maximum number of records sent in one exchange; the rest follow in the next one.
const MAX_RECORDS_PER_EXCHANGE: usize = 2_000;

/// Client and server of the peer exchanges.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) directory: Arc<Directory>,
    pub(crate) installer: Arc<Installer>,
    /// State of each topic, served to daemons that poll this one.
    pub(crate) topics: Arc<[TopicState; 2]>,
    pub(crate) key: FleetKey,
    /// Triggers an exchange when a caller has a newer version.
    pub(crate) newer_offered: Arc<Notify>,
    /// Whether the membership has been read, from the store, a relay or a peer.
    pub(crate) members_known: Arc<watch::Sender<bool>>,
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
        if !request.departures_of.is_empty() {
            self.take_over(request.caller);
            return Ok(Response::new(self.departures_of(&request.departures_of)));
        }
        let differing = Buckets::from_wire(request.digests)
            .map(|digests| members.buckets().differing(&digests))
            .unwrap_or_default();
        let records = members.in_buckets(&differing.into_iter().collect());
        let config = self.installer.newer(theirs);
        if theirs > self.installer.version() {
            self.newer_offered.notify_one();
        }
        let caller = self.take_over(request.caller);
        let caller = caller.as_ref().map_or("", VmId::as_str);
        Ok(Response::new(ExchangeReply {
            config,
            records: Some(to_wire(&records)),
            ..self.departures_of(caller)
        }))
    }

    async fn watch(&self, request: Request<WatchRequest>) -> Result<Response<WatchReply>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_HOLD);
        let arrival = Instant::now();
        let deadline = arrival + wait;
        let state = self.topic_state(request.topic());
        let mut reads = state.subscribe();
        loop {
            reads.mark_unchanged();
            let reply = self.changes_since(&request, arrival);
            if !reply.follows || has_changes(&reply) || Instant::now() >= deadline {
                return Ok(Response::new(reply));
            }
            // The poll ends when this daemon may no longer answer for the store, unless it is confirmed until then.
            let valid_until = terms(request.topic()).valid_until(state.confirmed());
            let until = valid_until.map_or(deadline, |until| until.min(deadline));
            if let Ok(Err(_)) = timeout_at(until, reads.changed()).await {
                return Err(Status::unavailable("the daemon stops"));
            }
        }
    }
}

/// Returns the terms of confirmations of `topic`.
pub(crate) fn terms(topic: Topic) -> Terms {
    match topic {
        Topic::Config => CONFIG_TERMS,
        Topic::Members => MEMBERS_TERMS,
    }
}

fn to_wire_entry(entry: store::Entry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        revision: entry.revision.number,
    }
}

fn to_wire(records: &[Record]) -> Records {
    Records {
        plain: records
            .iter()
            .take(MAX_RECORDS_PER_EXCHANGE)
            .map(Into::into)
            .collect(),
        packed: Vec::new(),
    }
}

impl Exchange {
    /// Merges the record of a caller, and returns the VM of the caller.
    fn take_over(&self, caller: Option<fleet::Record>) -> Option<VmId> {
        let caller = Record::try_from(caller?).ok()?;
        let vm = caller.vm.clone();
        self.directory.merge(vec![caller]);
        Some(vm)
    }

    /// Returns a reply with the departures known of `vm`.
    fn departures_of(&self, vm: &str) -> ExchangeReply {
        let members = self.directory.table().members();
        let known = vm.parse().ok().and_then(|vm| members.get(&vm));
        let departures = known.map(|known| departures_to_wire(&known.departures));
        ExchangeReply {
            version: self.installer.version().get(),
            departures: departures.unwrap_or_default(),
            ..ExchangeReply::default()
        }
    }

    /// Returns the state of `topic`.
    pub(crate) fn topic_state(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Config => &self.topics[0],
            Topic::Members => &self.topics[1],
        }
    }

    /// Returns the changes since the revision and version stated in `request`.
    fn changes_since(&self, request: &WatchRequest, arrival: Instant) -> WatchReply {
        let topic_state = self.topic_state(request.topic());
        // Read before the version, which may be installed meanwhile.
        let confirmed = topic_state.confirmed();
        let seen = self.installer.seen();
        let is_valid = terms(request.topic()).is_valid(confirmed, Instant::now());
        let after = Revision {
            era: Era(request.era),
            number: request.after,
        };
        let read = topic_state.revision();
        let mut reply = WatchReply {
            // The caller may know that the store was restored before this daemon does.
            follows: topic_state.follows_store() && is_valid && read.era >= after.era,
            confirmed_ms: confirmed.map(|confirmed| offset_ms(confirmed, arrival)),
            ..WatchReply::default()
        };
        let mut revision = read.max(after);
        match request.topic() {
            Topic::Config => {
                reply.config = self.installer.newer(Version::new(request.version));
                reply.config_revision = if seen.era == revision.era {
                    seen.number
                } else {
                    0
                };
                reply.version = self.installer.version().get();
            }
            Topic::Members => {
                if let Some(changes) = topic_state.since(after) {
                    reply.written = changes.entries.into_iter().map(to_wire_entry).collect();
                    reply.deleted = changes.deleted;
                    revision = changes.revision;
                } else if let Some(all) = topic_state.snapshot().filter(|_| reply.follows) {
                    reply.written = all.entries.into_iter().map(to_wire_entry).collect();
                    reply.snapshot = true;
                    revision = all.revision;
                } else {
                    reply.follows = false;
                    reply.confirmed_ms = None;
                }
            }
        }
        reply.revision = revision.number;
        reply.era = revision.era.0;
        reply
    }

    /// Starts serving peers on `listener`.
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
                slog::error!(log, "fleet listener failed, peers are not served; restart the daemon"; "error" => %error);
            }
        })
    }

    /// Exchanges with the daemon at `address`; returns whether it responded.
    pub(crate) async fn exchange_with(&self, address: SocketAddr) -> bool {
        self.exchange_by(address, Self::whole_request).await
    }

    /// Sends the local record to the daemon at `address`; returns whether it has taken it over.
    pub(crate) async fn replicate_to(&self, address: SocketAddr) -> bool {
        self.exchange_by(address, Self::replication_request).await
    }

    /// Queries the daemon at `address` for the departures that it knows of this VM; returns whether it responded.
    ///
    /// The local record is not sent: as long as the others hold that of the predecessor, they use the upstream as soon as
    /// this daemon does.
    pub(crate) async fn query_departures(&self, address: SocketAddr) -> bool {
        self.exchange_by(address, Self::departures_query).await
    }

    async fn exchange_by(
        &self,
        address: SocketAddr,
        request: impl FnOnce(&Self) -> ExchangeRequest,
    ) -> bool {
        match timeout(EXCHANGE_TIMEOUT, self.call(address, request)).await {
            Ok(Ok(reply)) => {
                self.apply_reply(address, reply);
                true
            }
            Ok(Err(status)) => {
                debug!(self.log, "peer not reached"; "peer" => %address, "error" => status.message());
                false
            }
            Err(_) => {
                debug!(self.log, "peer not reached"; "peer" => %address, "error" => "no response within the time limit");
                false
            }
        }
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: impl FnOnce(&Self) -> ExchangeRequest,
    ) -> Result<ExchangeReply, Status> {
        let mut client = client(address).await?;
        // The request states the local record as it is once the connection is there.
        let request = self.key.authorized(request(self));
        Ok(client.exchange(request).await?.into_inner())
    }

    fn whole_request(&self) -> ExchangeRequest {
        let members = self.directory.table().members();
        ExchangeRequest {
            caller: Some((&members.own()).into()),
            version: self.installer.version().get(),
            digests: members.buckets().as_slice().to_vec(),
            departures_of: String::new(),
        }
    }

    fn replication_request(&self) -> ExchangeRequest {
        ExchangeRequest {
            caller: Some((&self.directory.table().members().own()).into()),
            ..self.departures_query()
        }
    }

    fn departures_query(&self) -> ExchangeRequest {
        ExchangeRequest {
            departures_of: self.directory.table().members().own().vm.to_string(),
            ..ExchangeRequest::default()
        }
    }

    fn apply_reply(&self, address: SocketAddr, reply: ExchangeReply) {
        match departures_from_wire(&reply.departures) {
            Some(departures) => self.directory.table().add_departures(&departures),
            None => {
                warn!(self.log, "departures of this VM skipped: they cannot be read; check that both daemons run one release";
                "peer" => %address)
            }
        }
        let is_whole = reply.records.is_some();
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
                    debug!(self.log, "record skipped"; "peer" => %address, "error" => %error);
                }
            }
        }
        self.directory.merge(records);
        if is_whole {
            self.members_known.send_replace(true);
        }
    }

    /// Returns the address of a random peer that is alive or ended recently and may have restarted.
    ///
    /// A daemon that starts while the store is unavailable has no peers; peers that know its previous
    /// incarnation contact it.
    pub(crate) fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.directory.table().members();
        let now = UnixMillis::now();
        let peers = members.addresses(|record| may_be_running(record, now));
        peers.choose(&mut rand::rng()).copied()
    }

    /// Probes members whose entry in the store is gone, until the daemon stops.
    pub(crate) async fn probe_suspects(self) {
        loop {
            let (due, next) = self.directory.probes();
            for record in &due {
                let responded = self.exchange_with(record.fleet).await;
                self.directory.probe_finished(&record.vm, responded);
            }
            if !due.is_empty() {
                continue;
            }
            tokio::select! {
                () = self.directory.probe_due.notified() => {}
                () = sleep_until_or_forever(next) => {}
            }
        }
    }
}

/// Returns whether the daemon of `record` is alive or may have restarted.
pub(crate) fn may_be_running(record: &Record, now: UnixMillis) -> bool {
    let ended = record.ended.filter(|_| !record.is_alive());
    ended.is_none_or(|at| now.get().abs_diff(at.get()) < RESTART_WINDOW.as_millis() as u64)
}

/// Sleeps until `instant`, or forever if it is `None`.
async fn sleep_until_or_forever(instant: Option<tokio::time::Instant>) {
    match instant {
        Some(instant) => sleep_until(instant).await,
        None => std::future::pending().await,
    }
}

/// Connects to the daemon at `address`. Exchanges are rare, and a new connection for each avoids
/// waiting on a dead one.
async fn client(address: SocketAddr) -> Result<PeersClient<Channel>, Status> {
    let channel = endpoint(address)?
        .connect()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(PeersClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}
