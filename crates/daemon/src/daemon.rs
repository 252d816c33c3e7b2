//! The daemon of a fleet that distributes versions through relays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::{Api, HttpServer, Operator, Operators};
use call::{
    Announcement, Backend, Crashes, DefaultDialect, Dialect, Gate, Ingress, IngressSettings,
    Metrics, Readiness, Server,
};
use ledger::Ledger;
use member::{Members, Record, UpstreamState};
use model::{Incarnation, UnixMillis};
use prometheus::Registry;
use slog::{Logger, info, o};
use spread::{DrainHandler, Node};
use store::{GrpcStore, Store};
use table::Table;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep, timeout};

use crate::counted::CountedStore;
use crate::crashes::share_crashes;
use crate::departures::{adopt_departures, keep_departures};
use crate::{Settings, SpawnError};

/// Time between the announcement of the departure and the refusal of calls, so that other daemons
/// learn of the departure first.
const DEPARTURE_NOTICE: Duration = Duration::from_millis(500);

/// Shortest time limit for the node to hand over its duties and stop, even if the calls in flight
/// used up the limit of the whole stop.
const MIN_NODE_STOP: Duration = Duration::from_secs(2);

/// Listen addresses of a running daemon.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Calls of local callers.
    pub caller: SocketAddr,
    /// Calls from other daemons.
    pub gate: SocketAddr,
    /// Distribution between daemons.
    pub fleet: SocketAddr,
    /// Administration, health and metrics.
    pub admin: SocketAddr,
    /// Announcements of the upstream.
    pub announce: SocketAddr,
    /// Readiness checks, if they have a separate address.
    pub ready: Option<SocketAddr>,
}

/// Outcome of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StopReport {
    /// Connections that were closed because they did not end before the time limit.
    pub cut: usize,
}

/// A running daemon that distributes versions through relays.
#[derive(Debug)]
pub struct Daemon {
    addresses: Addresses,
    stop_limit: Duration,
    table: Arc<Table>,
    node: Arc<Node>,
    ingress: Server,
    gate: Server,
    admin: HttpServer,
    announce: HttpServer,
    watcher: JoinHandle<()>,
    sharing: [AbortHandle; 3],
    log: Logger,
}

/// Listeners of a daemon, bound before any other component starts.
pub(crate) struct Listeners {
    pub(crate) caller: TcpListener,
    pub(crate) gate: TcpListener,
    pub(crate) fleet: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) announce: TcpListener,
    /// Bound only if the settings have an address for it.
    pub(crate) ready: Option<TcpListener>,
}

impl Listeners {
    pub(crate) async fn bind(settings: &Settings) -> Result<Self, SpawnError> {
        let listen = &settings.listen;
        Ok(Self {
            caller: bind("caller", listen.caller).await?,
            gate: bind("gate", listen.gate).await?,
            fleet: bind("fleet", listen.fleet).await?,
            admin: bind("admin", listen.admin).await?,
            announce: bind("announce", listen.announce).await?,
            ready: match listen.ready {
                Some(ready) => Some(bind("ready", ready).await?),
                None => None,
            },
        })
    }

    pub(crate) fn addresses(&self) -> Result<Addresses, SpawnError> {
        Ok(Addresses {
            caller: self.caller.local_addr()?,
            gate: self.gate.local_addr()?,
            fleet: self.fleet.local_addr()?,
            admin: self.admin.local_addr()?,
            announce: self.announce.local_addr()?,
            ready: match &self.ready {
                Some(ready) => Some(ready.local_addr()?),
                None => None,
            },
        })
    }
}

async fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, SpawnError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| SpawnError::Bind {
            key,
            address,
            error,
        })
}

/// Drains the local upstream on request of another daemon.
#[derive(Debug)]
struct LocalUpstream {
    backend: Arc<Backend>,
}

impl DrainHandler for LocalUpstream {
    fn drain(&self) -> bool {
        self.backend.drain()
    }
}

impl Daemon {
    /// Starts a daemon that uses the store named in its settings.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use; the error names the key and the remedy.
    pub async fn spawn(settings: Settings, log: Logger) -> Result<Self, SpawnError> {
        let store = Arc::new(GrpcStore::open(settings.store.address));
        Self::spawn_on(settings, store, log).await
    }

    /// Starts a daemon that uses `store`.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use; the error names the key and the remedy.
    pub async fn spawn_on(
        settings: Settings,
        store: Arc<dyn Store>,
        log: Logger,
    ) -> Result<Self, SpawnError> {
        let log = log.new(o!("vm" => settings.vm.id.to_string()));
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let registry = Registry::new();
        let metrics = Metrics::open(&registry)?;
        let store: Arc<dyn Store> = Arc::new(CountedStore::open(store, &registry)?);
        let members = Arc::new(Members::open(local_record(&settings, &addresses)));
        let table = Arc::new(Table::open(members));
        let ledger = Arc::new(Ledger::open(Arc::clone(&store)));
        let backend = Backend::open(settings.upstream.silence);
        let node = Arc::new(Node::spawn(
            spread_settings(&settings),
            listeners.fleet,
            Arc::clone(&table),
            Arc::clone(&ledger),
            store,
            Arc::new(LocalUpstream {
                backend: Arc::clone(&backend),
            }),
            log.clone(),
        )?);
        node.register(&registry)?;
        let key = settings.fleet.key.clone();
        let dialect = Arc::new(DefaultDialect);
        let crashes = Arc::<Crashes>::default();
        let gate = Gate::open(
            Arc::clone(&backend),
            key.clone(),
            settings.vm.link,
            dialect.clone(),
            Arc::clone(&crashes),
            metrics.clone(),
            log.clone(),
        );
        let ingress = Ingress::open(
            Arc::clone(&table),
            ingress_settings(&settings, None, dialect),
            Arc::clone(&crashes),
            metrics,
            log.clone(),
        );
        let operators = settings.operators.iter().map(Operator::from).collect();
        let api = Api {
            ledger,
            table: Arc::clone(&table),
            node: Arc::clone(&node),
            operators: Arc::new(Operators(operators)),
            metrics: admin::Metrics::open(&registry)?,
            registry,
            log: log.clone(),
        };
        let watcher = tokio::spawn(watch_backend(Arc::clone(&backend), Arc::clone(&table)));
        // The membership record reaches the relays, which is all that is known of its being kept here.
        let kept = keep_departures(Arc::clone(&backend), Arc::clone(&table), async |_| ());
        let adopted = adopt_departures(Arc::clone(&backend), Arc::clone(&table));
        let sharing = [
            tokio::spawn(share_crashes(crashes, Arc::clone(&table))).abort_handle(),
            tokio::spawn(kept).abort_handle(),
            tokio::spawn(adopted).abort_handle(),
        ];
        info!(log, "daemon started";
            "caller" => %addresses.caller, "gate" => %addresses.gate, "fleet" => %addresses.fleet,
            "admin" => %addresses.admin, "announce" => %addresses.announce);
        Ok(Self {
            addresses,
            stop_limit: settings.upstream.stop_limit.duration(),
            ingress: ingress.spawn(listeners.caller)?,
            gate: gate.spawn(listeners.gate)?,
            admin: api.spawn(listeners.admin)?,
            announce: admin::spawn_announce(backend, listeners.announce)?,
            table,
            node,
            watcher,
            sharing,
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

    /// Returns the daemon's distribution node.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Performs a planned stop: announces the departure, finishes the calls in flight, and gives up
    /// the relay duty.
    pub async fn stop(self) -> StopReport {
        info!(self.log, "daemon stops");
        self.watcher.abort();
        for task in &self.sharing {
            task.abort();
        }
        self.table
            .announce(|record| record.state = UpstreamState::Left);
        sleep(DEPARTURE_NOTICE).await;
        let deadline = Instant::now() + self.stop_limit;
        let remaining = || deadline.saturating_duration_since(Instant::now());
        self.announce.stop(remaining()).await;
        let mut cut = self.ingress.stop(remaining()).await;
        cut += self.gate.stop(remaining()).await;
        // An accept in flight must complete before the distribution stops.
        self.admin.stop(remaining()).await;
        // Without a time limit, a peer that hangs would keep its link open and block the stop
        // forever.
        let _ = timeout(remaining().max(MIN_NODE_STOP), self.node.stop()).await;
        info!(self.log, "daemon stopped"; "cut" => cut);
        StopReport { cut }
    }
}

/// Publishes the state of the local upstream to the membership whenever it changes.
pub(crate) async fn watch_backend(backend: Arc<Backend>, table: Arc<Table>) {
    loop {
        let announced = backend.current();
        let mut record = table.members().own();
        update_record(&mut record, announced.as_ref());
        // Most announcements are heartbeats, which change nothing in the record.
        if record != table.members().own() {
            table.announce(|record| update_record(record, announced.as_ref()));
        }
        backend.changed(announced.as_ref()).await;
    }
}

/// Updates the local membership record from the upstream's latest announcement.
fn update_record(record: &mut Record, announced: Option<&Announcement>) {
    let Some(announced) = announced else {
        record.state = UpstreamState::Absent;
        return;
    };
    let same_service = record.service.as_ref() == Some(&announced.service);
    record.service = Some(announced.service.clone());
    record.slots = announced.slots;
    // Each of the other daemons times the slow start of a warming upstream itself, so its end is
    // not published.
    if same_service && record.state == UpstreamState::Warming && announced.state == Readiness::Ready
    {
        return;
    }
    record.state = match announced.state {
        Readiness::Warming => UpstreamState::Warming,
        Readiness::Ready => UpstreamState::Ready,
        Readiness::Draining => UpstreamState::Draining,
    };
}

/// Returns the settings of the ingress. `retry_slack` is the burst of retries that all daemons of the
/// fleet share; if absent, each daemon has a fixed allowance.
pub(crate) fn ingress_settings(
    settings: &Settings,
    retry_slack: Option<u32>,
    dialect: Arc<dyn Dialect>,
) -> IngressSettings {
    IngressSettings {
        domain: settings.vm.failure_domain.clone(),
        region: settings.vm.region.clone(),
        service: settings.vm.service.clone(),
        key: settings.fleet.key.clone(),
        retry_slack,
        dialect,
    }
}

/// Returns the membership record that a starting daemon publishes.
pub(crate) fn local_record(settings: &Settings, addresses: &Addresses) -> Record {
    Record {
        vm: settings.vm.id.clone(),
        incarnation: Incarnation::new(UnixMillis::now().get()),
        counter: 0,
        state: UpstreamState::Absent,
        service: None,
        gate: settings.listen.advertise_gate.unwrap_or(addresses.gate),
        fleet: settings.listen.advertise_fleet.unwrap_or(addresses.fleet),
        domain: settings.vm.failure_domain.clone(),
        region: settings.vm.region.clone(),
        slots: 0,
        link: settings.vm.link,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

fn spread_settings(settings: &Settings) -> spread::Settings {
    let fleet = &settings.fleet;
    spread::Settings {
        vm: settings.vm.id.clone(),
        domain: settings.vm.failure_domain.clone(),
        seeds: fleet.seeds.clone(),
        key: fleet.key.clone(),
        fanout: fleet.fanout,
        relays: fleet.relays,
        lease: fleet.lease,
        beacon: fleet.beacon,
        silence: fleet.silence,
        grace: fleet.grace,
        compare: fleet.compare,
    }
}
