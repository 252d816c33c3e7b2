//! Parent for the daemon of the `fullsize` benchmark: a relay in this process that holds the
//! full-size state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use harness::Error;
use ledger::{Ledger, Request};
use member::{LinkId, Members, Record, UpstreamState};
use model::{Incarnation, Millis, Secret, UnixMillis, Version};
use slog::{Discard, Logger, o};
use spread::{DrainHandler, Node, Settings};
use store::GrpcStore;
use table::Table;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use super::design::{SERVICES, config};

/// Number of teams that share the services.
const TEAMS: usize = 64;

/// Number of failure domains at the design size.
const DOMAINS: usize = 14;

/// Number of regions at the design size.
const REGIONS: usize = 4;

/// Index of the parent's VM, above those of the upstreams.
const PARENT_INDEX: usize = 99_999;

/// Failure domain of the parent and the daemon.
pub(crate) const DOMAIN: &str = "domain-0";

/// Buffer size of the counting proxy, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// Bytes on the links between the daemon and its parent.
#[derive(Debug, Default)]
pub(crate) struct LinkBytes {
    /// From the parent to the daemon.
    pub(crate) received: AtomicU64,
    /// From the daemon to the parent.
    pub(crate) sent: AtomicU64,
}

/// Drain handler of the parent, which has no upstream.
#[derive(Debug)]
struct NoUpstream;

impl DrainHandler for NoUpstream {
    fn drain(&self) -> bool {
        false
    }
}

/// A relay in this process.
pub(crate) struct Parent {
    /// Membership and configuration that the parent serves.
    pub(crate) table: Arc<Table>,
    /// Ledger of the accepted versions.
    pub(crate) ledger: Arc<Ledger>,
    /// Bytes on the links to the parent.
    pub(crate) bytes: Arc<LinkBytes>,
    /// Address of the counting proxy in front of the fleet listener.
    fleet: SocketAddr,
    incarnation: u64,
    _node: Node,
}

impl Parent {
    /// Starts the parent, with the store at `address`.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, Error> {
        let store = Arc::new(GrpcStore::open(address));
        let ledger = Arc::new(Ledger::open(store.clone()));
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let bytes = Arc::new(LinkBytes::default());
        let fleet = spawn_counting_proxy(listener.local_addr()?, Arc::clone(&bytes)).await?;
        let incarnation = UnixMillis::now().get();
        let own = record(PARENT_INDEX, 0, fleet, incarnation, UpstreamState::Absent);
        let table = Arc::new(Table::open(Arc::new(Members::open(own))));
        let node = Node::spawn(
            settings(),
            listener,
            Arc::clone(&table),
            Arc::clone(&ledger),
            store,
            Arc::new(NoUpstream),
            Logger::root(Discard, o!()),
        );
        let node = node.map_err(|error| Error::Call(error.to_string()))?;
        Ok(Self {
            table,
            ledger,
            bytes,
            fleet,
            incarnation,
            _node: node,
        })
    }

    /// Accepts the configuration of every team at the design size; returns the last version.
    pub(crate) async fn accept_all(&self) -> Result<Version, Error> {
        let mut last = Version::default();
        for team in 0..TEAMS {
            last = self.accept(team, 0, &format!("first-{team}")).await?;
        }
        Ok(last)
    }

    /// Accepts change `change` of the team's configuration; returns the version.
    pub(crate) async fn accept(
        &self,
        team: usize,
        change: u64,
        id: &str,
    ) -> Result<Version, Error> {
        let request = Request {
            config: config(team % TEAMS, TEAMS, change),
            accept_id: id.parse().expect("a valid id"),
            operator: "bench".parse().expect("a valid name"),
            reason: "benchmark".into(),
        };
        let accepted = self.ledger.accept(&request).await;
        accepted
            .map(|accepted| accepted.version)
            .map_err(|error| Error::Call(error.to_string()))
    }

    /// Adds the records of `upstreams` upstreams, all ready.
    pub(crate) fn add_upstreams(&self, upstreams: usize) {
        let records = (0..upstreams)
            .map(|i| record(i, 1, self.fleet, self.incarnation, UpstreamState::Ready));
        self.table.merge(records.collect(), LinkId(u64::MAX));
    }

    /// Updates the record of upstream `i`: draining for an even `counter`, ready for an odd one.
    pub(crate) fn update_upstream(&self, i: usize, counter: u64) {
        let state = match counter.is_multiple_of(2) {
            true => UpstreamState::Draining,
            false => UpstreamState::Ready,
        };
        let record = record(i, counter, self.fleet, self.incarnation, state);
        self.table.merge(vec![record], LinkId(u64::MAX));
    }
}

/// Returns the record of VM `i`. The fleet address is the parent's for all VMs.
///
/// # Panics
///
/// Never: the names are valid.
pub(crate) fn record(
    i: usize,
    counter: u64,
    fleet: SocketAddr,
    incarnation: u64,
    state: UpstreamState,
) -> Record {
    let domain = i % DOMAINS;
    Record {
        vm: format!("vm-{i:05}").parse().expect("a valid id"),
        incarnation: Incarnation::new(incarnation),
        counter,
        state,
        service: Some(
            format!("service-{}", i % SERVICES)
                .parse()
                .expect("a valid name"),
        ),
        gate: SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7401)),
        fleet,
        domain: format!("domain-{domain}").parse().expect("a valid name"),
        region: format!("region-{}", domain % REGIONS)
            .parse()
            .expect("a valid name"),
        slots: 12,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

fn settings() -> Settings {
    Settings {
        vm: format!("vm-{PARENT_INDEX:05}").parse().expect("a valid id"),
        domain: DOMAIN.parse().expect("a valid name"),
        seeds: Vec::new(),
        key: Secret::new("harness-fleet"),
        fanout: 8,
        relays: 1,
        lease: Millis::new(6_000),
        beacon: Millis::new(1_000),
        silence: Millis::new(4_000),
        grace: Millis::new(2_000),
        compare: Millis::new(10_000),
    }
}

/// Starts a proxy that forwards connections to `parent` and counts their bytes.
///
/// Returns the address of the proxy.
async fn spawn_counting_proxy(
    parent: SocketAddr,
    bytes: Arc<LinkBytes>,
) -> Result<SocketAddr, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((daemon, _)) = listener.accept().await {
            let Ok(parent) = TcpStream::connect(parent).await else {
                continue;
            };
            let _ = (daemon.set_nodelay(true), parent.set_nodelay(true));
            let (daemon_read, daemon_write) = daemon.into_split();
            let (parent_read, parent_write) = parent.into_split();
            let (up, down) = (Arc::clone(&bytes), Arc::clone(&bytes));
            tokio::spawn(forward(daemon_read, parent_write, move |n| {
                up.sent.fetch_add(n, Ordering::Relaxed);
            }));
            tokio::spawn(forward(parent_read, daemon_write, move |n| {
                down.received.fetch_add(n, Ordering::Relaxed);
            }));
        }
    });
    Ok(address)
}

/// Forwards bytes until either end closes and passes the number of each read to `count`.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: impl Fn(u64)) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
        count(read as u64);
    }
}
