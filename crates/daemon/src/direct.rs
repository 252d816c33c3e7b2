//! The daemon of a fleet whose store holds the newest configuration itself rather than a chain of
//! versions. Relays watch the store; the other daemons poll relays, or read the store while too few
//! relays respond.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use call::{Backend, Crashes, Dialect, Gate, Ingress, Metrics, Server};
use follow::{ConfigFormat, Follower};
use member::{Members, UpstreamState};
use model::Millis;
use prometheus::Registry;
use slog::{Logger, info, o};
use store::Store;
use table::Table;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

use crate::counted::CountedStore;
use crate::crashes::share_crashes;
use crate::daemon::{Addresses, Listeners, ingress_settings, local_record, watch_backend};
use crate::departures::{adopt_departures, keep_departures};
use crate::{Settings, SpawnError, StopReport};

/// Time after the stop signal for callers to find the daemon not ready and move to another one.
/// They check readiness once a second and move after two failed checks.
const CALLER_DEPARTURE: Duration = Duration::from_millis(2_200);

/// Time after the stop signal from which on new calls are refused. The platform excuses that a call is cut at the end of a stop only
/// if it was sent within 3 s of the signal.
const TAKING_TIME: Duration = Duration::from_millis(2_800);

/// Time before the end of a stop at which calls in flight are answered with a refusal, so that none ends without an
/// answer.
const REFUSAL_MARGIN: Duration = Duration::from_millis(200);

/// Time for the announcement of the departure to reach the other daemons.
const DEPARTURE_NOTICE: Duration = Duration::from_millis(900);

/// Margin by which a stop ends before its limit, so that the platform does not kill the process
/// while it stops.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Returns whether a daemon accepts new callers.
pub type ReadyCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// HTTP endpoints of a daemon whose protocol the platform defines.
pub trait PlatformEndpoints: fmt::Debug + Send + Sync {
    /// Starts to serve the announcements of the local upstream.
    fn serve_announcements(
        &self,
        listener: TcpListener,
        backend: Arc<Backend>,
        log: Logger,
    ) -> AbortHandle;

    /// Starts to serve readiness checks, which succeed while the daemon accepts new callers.
    fn serve_readiness(&self, listener: TcpListener, ready: ReadyCheck) -> AbortHandle;
}

/// Adapters to the platform that a daemon runs on.
#[derive(Debug, Clone)]
pub struct PlatformAdapters {
    /// Key-value service.
    pub store: Arc<dyn Store>,
    /// Format of the configuration in the key-value service.
    pub format: Arc<dyn ConfigFormat>,
    /// HTTP dialect of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// Endpoints for the platform.
    pub endpoints: Arc<dyn PlatformEndpoints>,
}

/// A running daemon that reads the newest configuration from the store or from relays.
#[derive(Debug)]
pub struct DirectDaemon {
    addresses: Addresses,
    stop_limit: Millis,
    table: Arc<Table>,
    follower: Arc<Follower>,
    stopping: Arc<AtomicBool>,
    ingress: Arc<Ingress>,
    gate: Arc<Gate>,
    ingress_server: Server,
    gate_server: Server,
    tasks: Vec<AbortHandle>,
    watcher: JoinHandle<()>,
    log: Logger,
}

impl DirectDaemon {
    /// Starts a daemon on the platform that `adapters` connect to.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use; the error names the key and the remedy.
    pub async fn spawn(
        settings: Settings,
        adapters: PlatformAdapters,
        log: Logger,
    ) -> Result<Self, SpawnError> {
        let log = log.new(o!("vm" => settings.vm.id.to_string()));
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let registry = Registry::new();
        let metrics = Metrics::open(&registry)?;
        let store: Arc<dyn Store> = Arc::new(CountedStore::open(adapters.store, &registry)?);
        let members = Arc::new(Members::open(local_record(&settings, &addresses)));
        let table = Arc::new(Table::open(members));
        let backend = Backend::open_recovering(settings.upstream.silence, Arc::clone(&table));
        let follower = Follower::spawn(
            follow::Settings {
                key: settings.fleet.key.clone(),
                lease: settings.store.lease,
                exchange: settings.fleet.compare,
            },
            listeners.fleet,
            Arc::clone(&table),
            store,
            adapters.format,
            log.clone(),
        )?;
        follower.register(&registry)?;
        let follower = Arc::new(follower);
        let crashes = Arc::<Crashes>::default();
        let gate = Gate::open(
            Arc::clone(&backend),
            settings.fleet.key.clone(),
            settings.vm.link,
            Arc::clone(&adapters.dialect),
            Arc::clone(&crashes),
            metrics.clone(),
            log.clone(),
        );
        let ingress = Ingress::open(
            Arc::clone(&table),
            ingress_settings(
                &settings,
                Some(settings.fleet.retry_slack),
                adapters.dialect,
            ),
            Arc::clone(&crashes),
            metrics,
            log.clone(),
        );
        let stopping = Arc::new(AtomicBool::new(false));
        let ready = ready_check(&follower, &stopping);
        let endpoints = adapters.endpoints;
        let watcher = tokio::spawn(watch_backend(Arc::clone(&backend), Arc::clone(&table)));
        let adopting = adopt_departures(Arc::clone(&backend), Arc::clone(&table));
        let mut tasks = vec![
            tokio::spawn(use_once_recovered(
                Arc::clone(&backend),
                Arc::clone(&table),
                Arc::clone(&follower),
            ))
            .abort_handle(),
            tokio::spawn(adopting).abort_handle(),
            spawn_keeper(&backend, &table, &follower),
            endpoints.serve_announcements(listeners.announce, backend, log.clone()),
        ];
        if let Some(listener) = listeners.ready {
            tasks.push(endpoints.serve_readiness(listener, ready));
        }
        tasks.push(tokio::spawn(share_crashes(crashes, Arc::clone(&table))).abort_handle());
        tasks.push(admin::spawn_metrics(registry, listeners.admin));
        info!(log, "daemon started";
            "caller" => %addresses.caller, "gate" => %addresses.gate, "fleet" => %addresses.fleet,
            "admin" => %addresses.admin, "announce" => %addresses.announce);
        Ok(Self {
            addresses,
            stop_limit: settings.upstream.stop_limit,
            ingress_server: ingress.spawn(listeners.caller)?,
            gate_server: gate.spawn(listeners.gate)?,
            ingress,
            gate,
            table,
            follower,
            stopping,
            tasks,
            watcher,
            log,
        })
    }

    /// Returns the daemon's addresses.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the table of the versions and members that the daemon serves.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Performs a planned stop: reports not ready, gives callers and then other daemons time to
    /// move elsewhere, refuses what comes too late to be answered, and finishes the calls in flight.
    pub async fn stop(self) -> StopReport {
        let limit = self.stop_limit.duration().saturating_sub(STOP_MARGIN);
        let begun = Instant::now();
        let deadline = begun + limit;
        info!(self.log, "daemon stops"; "limit" => %self.stop_limit);
        self.stopping.store(true, Ordering::Relaxed);
        self.ingress_server.disable_keep_alive();
        sleep_until(begun + CALLER_DEPARTURE.min(limit / 2)).await;
        self.watcher.abort();
        self.table
            .announce(|record| record.state = UpstreamState::Left);
        self.follower.leave();
        let left_at = Instant::now();
        sleep_until(begun + TAKING_TIME.min(limit / 2)).await;
        self.ingress.refuse_calls(deadline);
        let ingress = Arc::clone(&self.ingress);
        let ending = tokio::spawn(async move {
            sleep_until(deadline - REFUSAL_MARGIN.min(limit / 10)).await;
            ingress.end_calls();
        });
        sleep_until(left_at + DEPARTURE_NOTICE.min(limit / 5)).await;
        self.gate.refuse_calls();
        let remaining = || deadline.saturating_duration_since(Instant::now());
        let (ingress_cut, gate_cut) = tokio::join!(
            self.ingress_server.stop(remaining()),
            self.gate_server.stop(remaining())
        );
        ending.abort();
        for task in self.tasks {
            task.abort();
        }
        self.follower.close();
        let cut = ingress_cut + gate_cut;
        info!(self.log, "daemon stopped"; "cut" => cut);
        StopReport { cut }
    }
}

/// Lets the upstream be used once the departures that earlier daemons on this VM acknowledged are known.
async fn use_once_recovered(backend: Arc<Backend>, table: Arc<Table>, follower: Arc<Follower>) {
    follower.recovered().await;
    backend.adopt(&table.members().own().departures);
    backend.recovered();
}

/// Starts to keep the departures of the upstream in the store or at peers.
fn spawn_keeper(
    backend: &Arc<Backend>,
    table: &Arc<Table>,
    follower: &Arc<Follower>,
) -> AbortHandle {
    let follower = Arc::clone(follower);
    let keep = async move |counter| follower.keep(counter).await;
    let kept = keep_departures(Arc::clone(backend), Arc::clone(table), keep);
    tokio::spawn(kept).abort_handle()
}

fn ready_check(follower: &Arc<Follower>, stopping: &Arc<AtomicBool>) -> ReadyCheck {
    let follower = Arc::clone(follower);
    let stopping = Arc::clone(stopping);
    Arc::new(move || follower.is_ready() && !stopping.load(Ordering::Relaxed))
}
