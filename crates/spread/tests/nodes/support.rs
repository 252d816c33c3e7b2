//! A fleet of nodes in one process, on loopback ports and a store in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ledger::{Ledger, Request};
use member::{LinkId, Members, Record, UpstreamState};
use model::{Config, Incarnation, Millis, Secret, UnixMillis, Version};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use spread::{Local, Node, Settings};
use standin::Kv;
use table::Table;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Longest wait for a condition that must come about.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks at a condition.
pub(crate) const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Time for which a condition that must not come about is looked for.
pub(crate) const WHILE: Duration = Duration::from_secs(2);

/// An upstream that cannot be drained.
#[derive(Debug)]
struct NoUpstream;

impl Local for NoUpstream {
    fn drain(&self) -> bool {
        false
    }
}

/// One node with its table.
pub(crate) struct TestNode {
    pub(crate) node: Node,
    pub(crate) table: Arc<Table>,
    pub(crate) address: SocketAddr,
    pub(crate) registry: Registry,
}

impl TestNode {
    /// Starts a node of a fleet with one relay in each failure domain.
    pub(crate) async fn spawn(kv: &Kv, vm: &str, domain: &str, seeds: &[SocketAddr]) -> Self {
        Self::spawn_with(kv, vm, domain, seeds, 1).await
    }

    /// Starts a node of a fleet with `relays` relays in each failure domain.
    pub(crate) async fn spawn_with(
        kv: &Kv,
        vm: &str,
        domain: &str,
        seeds: &[SocketAddr],
        relays: u32,
    ) -> Self {
        Self::spawn_among(kv, vm, domain, seeds, relays, &[]).await
    }

    /// Starts a node that knows some VMs of its failure domain from the beginning.
    pub(crate) async fn spawn_among(
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

    /// Ends the node without a word, as a crash does, and waits until its port is closed.
    pub(crate) async fn kill(self) {
        drop(self.node);
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(LOOK_PAUSE).await;
        }
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> u64 {
        self.table.snapshot().version.get()
    }

    /// Returns the VMs that this node holds for live, in order.
    pub(crate) fn live(&self) -> Vec<String> {
        let records = self.table.members().all();
        let live = records.iter().filter(|record| record.is_alive());
        live.map(|record| record.vm.to_string()).collect()
    }
}

/// Accepts the example with a time-out that differs by `change`; returns its version.
pub(crate) async fn accept(kv: &Kv, change: u64) -> Version {
    let plan = plan::brno().expect("the example is valid");
    let mut config: Config = plan.config().clone();
    config.routes[0].rules.timeout = Millis::new(5_000 + change);
    accept_config(kv, config, &format!("change-{change}")).await
}

/// Accepts many services at once; returns the size of the configuration in bytes.
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
    let accepted = ledger.accept(&request).await.expect("it is accepted");
    accepted.version
}

/// Takes the store out, or back in.
pub(crate) fn set_down(kv: &Kv, down: bool) {
    let mut faults = kv.faults();
    faults.down = down;
    kv.set_faults(faults);
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// Panics if it does not in time.
pub(crate) async fn wait(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "never came about: {what}");
        sleep(LOOK_PAUSE).await;
    }
}

/// Panics if `condition` ceases to hold for some time.
pub(crate) async fn hold(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WHILE;
    while Instant::now() < deadline {
        assert!(condition(), "ceased to hold: {what}");
        sleep(LOOK_PAUSE).await;
    }
}

/// Waits until every node has `version` in force.
pub(crate) async fn serving(nodes: &[TestNode], version: u64) {
    wait("the version is in force everywhere", || {
        nodes.iter().all(|node| node.version() == version)
    })
    .await;
}
