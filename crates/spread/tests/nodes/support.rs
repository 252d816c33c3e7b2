//! Runs a fleet of nodes in one process, on loopback ports with an in-memory store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ledger::{Ledger, Request};
use member::{LinkId, Members, Record, UpstreamState};
use model::{Config, Incarnation, Millis, Secret, UnixMillis, Version};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use spread::{DrainHandler, Node, Settings};
use standin::Kv;
use table::Table;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Time-out for a condition that must become true.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of a condition.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a condition must stay true.
pub(crate) const HOLD_DURATION: Duration = Duration::from_secs(2);

/// Drain handler of a daemon without upstream.
#[derive(Debug)]
struct NoUpstream;

impl DrainHandler for NoUpstream {
    fn drain(&self) -> bool {
        false
    }
}

/// Node with its table and metrics.
pub(crate) struct TestNode {
    pub(crate) node: Node,
    pub(crate) table: Arc<Table>,
    pub(crate) address: SocketAddr,
    pub(crate) registry: Registry,
}

impl TestNode {
    /// Starts a node of a fleet with one relay in each failure domain.
    pub(crate) async fn spawn(kv: &Kv, vm: &str, domain: &str, seeds: &[SocketAddr]) -> Self {
        Self::spawn_with_relays(kv, vm, domain, seeds, 1).await
    }

    /// Starts a node of a fleet with `relays` relays in each failure domain.
    pub(crate) async fn spawn_with_relays(
        kv: &Kv,
        vm: &str,
        domain: &str,
        seeds: &[SocketAddr],
        relays: u32,
    ) -> Self {
        Self::spawn_with_members(kv, vm, domain, seeds, relays, &[]).await
    }

    /// Starts a node whose membership initially contains the VMs `known` in its failure domain.
    pub(crate) async fn spawn_with_members(
        kv: &Kv,
        vm: &str,
        domain: &str,
        seeds: &[SocketAddr],
        relays: u32,
        known: &[String],
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("an address");
        let record = Record {
            vm: vm.parse().expect("a valid id"),
            incarnation: Incarnation::new(UnixMillis::now().get()),
            counter: 0,
            state: UpstreamState::Ready,
            service: Some("proofdesk".parse().expect("a valid name")),
            gate: address,
            fleet: address,
            domain: domain.parse().expect("a valid name"),
            region: "cz-morava".parse().expect("a valid name"),
            slots: 12,
            link: None,
            expired: false,
            ended: None,
            crashes: Vec::new(),
            departures: Default::default(),
        };
        let settings = Settings {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
            seeds: seeds.to_vec(),
            key: Secret::new("test-fleet"),
            fanout: 3,
            relays,
            lease: Millis::new(4_000),
            beacon: Millis::new(200),
            silence: Millis::new(1_500),
            grace: Millis::new(400),
            compare: Millis::new(300),
        };
        let store = Arc::new(kv.clone());
        let members = Members::open(record.clone());
        let known = known.iter().map(|vm| Record {
            vm: vm.parse().expect("a valid id"),
            ..record.clone()
        });
        members.merge(known.collect(), LinkId::default());
        let table = Arc::new(Table::open(Arc::new(members)));
        let ledger = Arc::new(Ledger::open(store.clone()));
        let log = Logger::root(Discard, o!());
        let spawned = Node::spawn(
            settings,
            listener,
            Arc::clone(&table),
            ledger,
            store,
            Arc::new(NoUpstream),
            log,
        );
        let node = spawned.expect("a node");
        let registry = Registry::new();
        node.register(&registry).expect("valid metrics");
        Self {
            node,
            table,
            address,
            registry,
        }
    }

    /// Stops the node without handover, as a crash does, and waits until its port is closed.
    pub(crate) async fn kill(self) {
        drop(self.node);
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> u64 {
        self.table.snapshot().version.get()
    }

    /// Returns the VMs that this node considers live, in order.
    pub(crate) fn live(&self) -> Vec<String> {
        let records = self.table.members().all();
        let live = records.iter().filter(|record| record.is_alive());
        live.map(|record| record.vm.to_string()).collect()
    }
}

/// Accepts the example configuration with a route time-out that depends on `change`; returns the
/// version.
pub(crate) async fn accept(kv: &Kv, change: u64) -> Version {
    let plan = plan::brno().expect("the example is valid");
    let mut config: Config = plan.config().clone();
    config.routes[0].rules.timeout = Millis::new(5_000 + change);
    accept_config(kv, config, &format!("change-{change}")).await
}

/// Accepts a configuration with many services; returns its size in bytes.
pub(crate) async fn accept_large(kv: &Kv) -> usize {
    let mut plan = plan::Plan::new("redakce").expect("a valid name");
    for i in 0..300 {
        let service = plan.service(&format!("service-{i}")).expect("a valid name");
        service.add();
    }
    let json = plan.to_json().expect("JSON");
    accept_config(kv, plan.config().clone(), "large").await;
    json.len()
}

async fn accept_config(kv: &Kv, config: Config, id: &str) -> Version {
    let request = Request {
        config,
        accept_id: id.parse().expect("a valid id"),
        operator: "test".parse().expect("a valid name"),
        reason: "test".into(),
    };
    let ledger = Ledger::open(Arc::new(kv.clone()));
    let accepted = ledger
        .accept(&request)
        .await
        .expect("the configuration is accepted");
    accepted.version
}

/// Makes the store unavailable, or available again.
pub(crate) fn set_store_down(kv: &Kv, down: bool) {
    let mut faults = kv.faults();
    faults.down = down;
    kv.set_faults(faults);
}

/// Keeps the store's watches from reporting changes.
pub(crate) fn deafen_watches(kv: &Kv) {
    let mut faults = kv.faults();
    faults.deaf_watches = true;
    kv.set_faults(faults);
}

/// Waits until `condition` is true.
///
/// # Panics
///
/// Panics if it is not true within [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Checks that `condition` stays true for [`HOLD_DURATION`].
///
/// # Panics
///
/// Panics if it becomes false.
pub(crate) async fn assert_holds(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + HOLD_DURATION;
    while Instant::now() < deadline {
        assert!(condition(), "condition became false: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until every node has `version` in force.
pub(crate) async fn wait_for_version(nodes: &[TestNode], version: u64) {
    wait_until("the version is in force everywhere", || {
        nodes.iter().all(|node| node.version() == version)
    })
    .await;
}
