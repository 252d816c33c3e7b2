//! Distribution node of one daemon.

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
use crate::metrics::NodeMetrics;
use crate::server::Server;
use crate::{Counts, Lag, Settings, Summary, follow, repair};

/// Time-out for handing over the relay role on shutdown.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-out of a drain request to another daemon.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of relay summaries to read from the store, one for each relay of the fleet.
const MAX_SUMMARIES: u32 = 256;

/// Error starting a node.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// The listener has no local address.
    #[error("cannot get the address of the fleet port ({0}); check `listen.fleet`")]
    Address(#[from] std::io::Error),
    /// The metrics could not be created.
    #[error("cannot create the fleet metrics ({0}); this is a bug")]
    Metrics(#[from] prometheus::Error),
}

/// Handler for drain requests from other daemons.
pub trait DrainHandler: std::fmt::Debug + Send + Sync {
    /// Drains the upstream on this VM; returns whether there is one.
    fn drain(&self) -> bool;
}

/// Error requesting a drain.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    /// No daemon on this VM is known.
    #[error("no daemon on VM `{0}` is known; see `sardinestall status`")]
    NoVm(VmId),
    /// The daemon could not be reached.
    #[error("the daemon on VM `{0}` did not answer ({1}); try again")]
    Unreachable(VmId, String),
    /// The daemon has no upstream.
    #[error("VM `{0}` has no upstream to drain")]
    NoUpstream(VmId),
}

/// Running distribution node of one daemon.
#[derive(Debug)]
pub struct Node {
    hub: Arc<Hub>,
    drain_handler: Arc<dyn DrainHandler>,
    tasks: Mutex<JoinSet<()>>,
}

impl Node {
    /// Starts a node that accepts links on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be created.
    pub fn spawn(
        settings: Settings,
        listener: TcpListener,
        table: Arc<Table>,
        ledger: Arc<Ledger>,
        store: Arc<dyn Store>,
        drain_handler: Arc<dyn DrainHandler>,
        log: Logger,
    ) -> Result<Self, SpawnError> {
        let address = table.members().own().fleet;
        let key = KeyCheck::new(settings.key.clone());
        let metrics = NodeMetrics::open()?;
        let hub = Hub::new(settings, address, table, ledger, store, metrics, log);
        let hub = Arc::new(hub);
        let service = FleetServer::new(Server {
            hub: Arc::clone(&hub),
            drain_handler: Arc::clone(&drain_handler),
        })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let service = tonic::service::interceptor::InterceptedService::new(service, key);
        let stop = hub.stop.clone();
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let server = GrpcServer::builder().add_service(service);
            // The links close on the same signal, so the graceful shutdown completes.
            let _ = server
                .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
                .await;
        });
        tasks.spawn(follow::run(Arc::clone(&hub)));
        tasks.spawn(repair::run(Arc::clone(&hub)));
        tasks.spawn(log_versions(Arc::clone(&hub), hub.table.subscribe()));
        let tasks = Mutex::new(tasks);
        Ok(Self {
            hub,
            drain_handler,
            tasks,
        })
    }

    /// Returns the fleet address.
    pub fn address(&self) -> SocketAddr {
        self.hub.address
    }

    /// Returns the number of daemons that serve each version in this daemon's subtree.
    pub fn counts(&self) -> Counts {
        self.hub.report().counts
    }

    /// Returns lagging daemons in this daemon's subtree with the reasons; the list is capped.
    pub fn lags(&self) -> Vec<Lag> {
        self.hub.report().lags
    }

    /// Returns whether this daemon is a relay or connected to one through its ancestors.
    pub fn is_connected(&self) -> bool {
        !self.hub.path.borrow().is_empty()
    }

    /// Returns whether this daemon is a relay.
    pub fn is_relay(&self) -> bool {
        self.hub.is_relay()
    }

    /// Returns whether this daemon has reached its version floor; no version is in force before.
    pub fn is_ready(&self) -> bool {
        self.hub.is_ready()
    }

    /// Registers the metrics of the node.
    ///
    /// # Errors
    ///
    /// Fails if the metrics are already registered.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.hub.metrics.register(registry)
    }

    /// Returns the number of daemons of the fleet that serve each version, from the relays' last
    /// summaries.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read.
    pub async fn fleet_counts(&self) -> Result<Counts, store::Error> {
        let mut sum = Counts::default();
        for summary in self.summaries().await? {
            sum.merge(&Counts(summary.versions));
        }
        Ok(sum)
    }

    /// Returns lagging daemons of the fleet with the reasons; each relay's list is capped.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be read.
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

    /// Requests the daemon on `vm` to drain its upstream.
    ///
    /// # Errors
    ///
    /// Fails if the daemon is unknown or unreachable, or has no upstream.
    pub async fn drain(&self, vm: &VmId) -> Result<(), DrainError> {
        if *vm == self.hub.settings.vm {
            return match self.drain_handler.drain() {
                true => Ok(()),
                false => Err(DrainError::NoUpstream(vm.clone())),
            };
        }
        let record = self.hub.table.members().get(vm);
        let record = record.ok_or_else(|| DrainError::NoVm(vm.clone()))?;
        let unreachable =
            |status: tonic::Status| DrainError::Unreachable(vm.clone(), status.message().into());
        let mut client = self
            .hub
            .client(&record.fleet.to_string())
            .map_err(unreachable)?;
        let message = DrainRequest { vm: vm.to_string() };
        let request = self.hub.request(message).map_err(unreachable)?;
        let reply = timeout(DRAIN_TIMEOUT, client.drain(request))
            .await
            .map_err(|_| unreachable(tonic::Status::deadline_exceeded("no answer in time")))?
            .map_err(unreachable)?;
        if reply.into_inner().draining {
            return Ok(());
        }
        Err(DrainError::NoUpstream(vm.clone()))
    }

    /// Hands over the relay role, closes the links and waits for all tasks.
    pub async fn stop(&self) {
        self.hub.shutdown.cancel();
        let mut lease_until = self.hub.lease_until.subscribe();
        let handed_over = lease_until.wait_for(Option::is_none);
        let _ = timeout(HANDOVER_TIMEOUT, handed_over).await;
        self.hub.stop.cancel();
        let mut tasks = self.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
    }
}

/// Closes the links without handing over the relay role, as a crash does; a graceful shutdown calls
/// [`Node::stop`] first.
impl Drop for Node {
    fn drop(&mut self) {
        self.hub.stop.cancel();
    }
}

/// Logs each version that is put in force with its time.
async fn log_versions(hub: Arc<Hub>, mut versions: Receiver<Version>) {
    loop {
        tokio::select! {
            changed = versions.changed() => if changed.is_err() {
                return;
            },
            () = hub.stop.cancelled() => return,
        }
        let version = *versions.borrow_and_update();
        hub.clear_lag_reason();
        hub.metrics.version.set(version.get() as i64);
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = since.unwrap_or_default().as_micros() as u64;
        info!(hub.log, "version in force"; "version" => version.get(), "at_us" => at);
    }
}
