//! The running distribution of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ledger::Ledger;
use model::{Version, VmId};
use prometheus::Registry;
use slog::{Logger, info};
use store::Store;
use table::Table;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tonic::transport::Server as GrpcServer;
use tonic::transport::server::TcpIncoming;
use wire::KeyCheck;
use wire::fleet::DrainRequest;
use wire::fleet::fleet_server::FleetServer;

use crate::hub::{Hub, MAX_MESSAGE_BYTES};
use crate::server::Server;
use crate::traffic::Traffic;
use crate::{Counts, Lag, Settings, Summary, follow, repair};

/// Longest wait until the duty is handed over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the daemon that is asked to drain its upstream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Most relays of the whole fleet.
const MAX_SUMMARIES: u32 = 256;

/// The distribution could not start.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The listener has no address.
    #[error("the fleet port has no address ({0}); check `listen.fleet`")]
    Address(#[from] std::io::Error),
    /// The metrics are not valid.
    #[error("the metrics are not valid ({0}); this is a fault of the program")]
    Metrics(#[from] prometheus::Error),
}

/// What the rest of the daemon does when another daemon asks for it.
pub trait Local: std::fmt::Debug + Send + Sync {
    /// Drains the upstream beside this daemon; returns whether there is one.
    fn drain(&self) -> bool;
}

/// Another daemon could not be asked to drain its upstream.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    /// No daemon of this VM is known.
    #[error("no daemon on VM `{0}` is known; see `sardinestall status`")]
    NoVm(VmId),
    /// The daemon did not answer.
    #[error("the daemon on VM `{0}` did not answer ({1}); try again")]
    Unreachable(VmId, String),
    /// The daemon has no upstream.
    #[error("VM `{0}` has no upstream to drain")]
    NoUpstream(VmId),
}

/// The running distribution of one daemon.
#[derive(Debug)]
pub struct Node {
    hub: Arc<Hub>,
    local: Arc<dyn Local>,
    tasks: Mutex<JoinSet<()>>,
}

impl Node {
    /// Starts the distribution on `listener` and returns its handle.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(
        settings: Settings,
        listener: TcpListener,
        table: Arc<Table>,
        ledger: Arc<Ledger>,
        store: Arc<dyn Store>,
        local: Arc<dyn Local>,
        log: Logger,
    ) -> Result<Self, SpawnError> {
        let address = table.members().own().fleet;
        let key = KeyCheck::new(settings.key.clone());
        let traffic = Traffic::open()?;
        let hub = Hub::new(settings, address, table, ledger, store, traffic, log);
        let hub = Arc::new(hub);
        let service = FleetServer::new(Server {
            hub: Arc::clone(&hub),
            local: Arc::clone(&local),
        })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let service = tonic::service::interceptor::InterceptedService::new(service, key);
        let stop = hub.stop.clone();
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let server = GrpcServer::builder().add_service(service);
            // The links end on the same signal, so nothing keeps the server open.
            let _ = server
                .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
                .await;
        });
        tasks.spawn(follow::run(Arc::clone(&hub)));
        tasks.spawn(repair::run(Arc::clone(&hub)));
        tasks.spawn(note_versions(Arc::clone(&hub), hub.table.subscribe()));
        let tasks = Mutex::new(tasks);
        Ok(Self { hub, local, tasks })
    }

    /// Returns the fleet address.
    pub fn address(&self) -> SocketAddr {
        self.hub.address
    }

    /// Returns the daemons by version at and below this one.
    pub fn counts(&self) -> Counts {
        self.hub.report().counts
    }

    /// Returns some of the daemons at and below this one that lag, and why.
    pub fn lags(&self) -> Vec<Lag> {
        self.hub.report().lags
    }

    /// Returns whether this daemon is below a relay or one itself.
    pub fn is_rooted(&self) -> bool {
        !self.hub.path.borrow().is_empty()
    }

    /// Returns whether this daemon has a relay's duty.
    pub fn is_relay(&self) -> bool {
        self.hub.is_relay()
    }

    /// Returns whether this daemon has reached its version floor since its start.
    ///
    /// Until then it has no version in force.
    pub fn is_ready(&self) -> bool {
        self.hub.is_ready()
    }

    /// Registers the metrics of the distribution.
    ///
    /// # Errors
    ///
    /// Fails if `registry` has them already.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.hub.traffic.register(registry)
    }

    /// Returns the daemons by version over the whole fleet, as the relays last reported them.
    ///
    /// # Errors
    ///
    /// Fails if the store does.
    pub async fn fleet_counts(&self) -> Result<Counts, store::Error> {
        let mut sum = Counts::default();
        for summary in self.summaries().await? {
            sum.merge(&Counts(summary.versions));
        }
        Ok(sum)
    }

    /// Returns some of the daemons of the whole fleet that lag, and why.
    ///
    /// # Errors
    ///
    /// Fails if the store does.
    pub async fn fleet_lags(&self) -> Result<Vec<Lag>, store::Error> {
        let summaries = self.summaries().await?;
        Ok(summaries
            .into_iter()
            .flat_map(|summary| summary.lags)
            .collect())
    }

    async fn summaries(&self) -> Result<Vec<Summary>, store::Error> {
        let entries = self.hub.store.list("summary/", "", MAX_SUMMARIES).await?;
        let summaries = entries.iter();
        Ok(summaries
            .filter_map(|entry| serde_json::from_slice(&entry.value).ok())
            .collect())
    }

    /// Asks the daemon on `vm` to drain the upstream beside it.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is not known, does not answer, or has no upstream.
    pub async fn drain(&self, vm: &VmId) -> Result<(), DrainError> {
        if *vm == self.hub.settings.vm {
            return match self.local.drain() {
                true => Ok(()),
                false => Err(DrainError::NoUpstream(vm.clone())),
            };
        }
        let record = self.hub.table.members().get(vm);
        let record = record.ok_or_else(|| DrainError::NoVm(vm.clone()))?;
        let fail =
            |status: tonic::Status| DrainError::Unreachable(vm.clone(), status.message().into());
        let mut client = self.hub.client(&record.fleet.to_string()).map_err(fail)?;
        let message = DrainRequest { vm: vm.to_string() };
        let request = self.hub.request(message).map_err(fail)?;
        let reply = timeout(DRAIN_TIMEOUT, client.drain(request))
            .await
            .map_err(|_| fail(tonic::Status::deadline_exceeded("no answer in time")))?
            .map_err(fail)?;
        if reply.into_inner().draining {
            return Ok(());
        }
        Err(DrainError::NoUpstream(vm.clone()))
    }

    /// Hands over the duty, ends the links and stops.
    pub async fn stop(&self) {
        self.hub.retire.cancel();
        let mut duty = self.hub.duty.subscribe();
        let handed_over = duty.wait_for(Option::is_none);
        let _ = timeout(HAND_OVER_TIMEOUT, handed_over).await;
        self.hub.stop.cancel();
        let mut tasks = self.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
    }
}

/// Ends the links at once, as a crash does; a planned stop calls [`Node::stop`] before.
impl Drop for Node {
    fn drop(&mut self) {
        self.hub.stop.cancel();
    }
}

/// Logs each version that comes in force, and when it did.
async fn note_versions(hub: Arc<Hub>, mut versions: Receiver<Version>) {
    loop {
        tokio::select! {
            changed = versions.changed() => if changed.is_err() {
                return;
            },
            () = hub.stop.cancelled() => return,
        }
        let version = *versions.borrow_and_update();
        hub.clear_trouble();
        hub.traffic.version.set(version.get() as i64);
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since.unwrap_or_default().as_micros() as u64;
        info!(hub.log, "version in force"; "version" => version.get(), "at_us" => at);
    }
}
