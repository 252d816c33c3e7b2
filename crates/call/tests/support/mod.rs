//! Call paths of several daemons in one process, in front of upstreams that each test provides.

#![allow(dead_code, reason = "Each test file uses a part of it.")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use bytes::Bytes;
use call::{
    Announcement, Backend, Crashes, DefaultDialect, Gate, Ingress, IngressSettings, Metrics,
    Readiness, Server,
};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use member::{LinkId, Members, Record, UpstreamState};
use model::{
    Change, Digest, Entry, Incarnation, Item, Millis, PathMatch, Pool, Route, Rules, Secret,
    Service, State, Target, UnixMillis, Version,
};
use prometheus::Registry;
use slog::{Discard, Logger, o};
use table::{FullVersion, Table};
use tokio::net::TcpListener;

/// Host of all routes.
pub(crate) const HOST: &str = "redakce.brno.example";

/// Timeout for conditions that must become true.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);

/// Call path of one daemon with its upstream.
pub(crate) struct Node {
    pub(crate) vm: String,
    pub(crate) table: Arc<Table>,
    pub(crate) backend: Arc<Backend>,
    pub(crate) registry: Registry,
    pub(crate) ingress: Server,
    pub(crate) gate: Server,
    pub(crate) upstream: SocketAddr,
    pub(crate) announcement: Announcement,
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Binds a free port.
pub(crate) async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

/// Serves `router` as an upstream.
pub(crate) async fn serve(router: Router) -> SocketAddr {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

impl Node {
    /// Starts the call path of a daemon in front of the `upstream` of `service`.
    pub(crate) async fn start(vm: &str, service: &str, slots: u32, upstream: SocketAddr) -> Self {
        let gate_listener = bind().await;
        let gate_address = gate_listener.local_addr().expect("an address");
        let registry = Registry::new();
        let metrics = Metrics::open(&registry).expect("metrics register once");
        let record = record(vm, service, slots, gate_address);
        let table = Arc::new(Table::open(Arc::new(Members::open(record))));
        let backend = Backend::open(Millis::new(3_600_000));
        let announcement = Announcement {
            service: service.parse().expect("a valid name"),
            address: upstream,
            slots,
            connections: 110,
            state: Readiness::Ready,
            start: Default::default(),
            instance: None,
            sequence: 0,
        };
        backend.announce(announcement.clone());
        let key = Secret::new("fleet");
        let crashes = Arc::<Crashes>::default();
        let gate = Gate::open(
            Arc::clone(&backend),
            key.clone(),
            None,
            Arc::new(DefaultDialect),
            Arc::clone(&crashes),
            metrics.clone(),
            log(),
        );
        let ingress = Ingress::open(
            Arc::clone(&table),
            IngressSettings {
                domain: "morava-a".parse().expect("a valid name"),
                region: "cz-morava".parse().expect("a valid name"),
                service: None,
                key,
                retry_slack: None,
                dialect: Arc::new(DefaultDialect),
            },
            crashes,
            metrics,
            log(),
        );
        Self {
            vm: vm.into(),
            table,
            backend,
            registry,
            ingress: ingress.spawn(bind().await).expect("an address"),
            gate: gate.spawn(gate_listener).expect("an address"),
            upstream,
            announcement,
        }
    }

    /// Installs `routes`, each `(path, service, rules)`.
    pub(crate) fn install(&self, routes: &[(&str, &str, Rules)]) {
        let state = state(routes);
        let entries = state.items().map(|(key, hashed)| Entry {
            key: key.clone(),
            item: Some(hashed.item.clone()),
        });
        let change = Change {
            version: Version::new(1),
            parent: Digest::ZERO,
            base: None,
            accept_id: "a".parse().expect("a valid id"),
            request: Digest::ZERO,
            operator: "test".parse().expect("a valid name"),
            teams: Vec::new(),
            reason: String::new(),
            at: UnixMillis::now(),
            entries: entries.collect(),
            root: state.root(),
        };
        let whole = FullVersion {
            change: change.to_bytes().into(),
            state,
        };
        self.table.install(whole).expect("a valid version");
    }

    /// Returns the daemon's membership record.
    pub(crate) fn record(&self) -> Record {
        self.table.members().own()
    }

    /// Returns the value of one of the daemon's counters, summed over its labels.
    pub(crate) fn counter(&self, name: &str) -> u64 {
        let families = self.registry.gather();
        let metrics = families.iter().filter(|family| family.name() == name);
        metrics
            .flat_map(|family| family.get_metric())
            .map(|metric| metric.get_counter().get_value() as u64)
            .sum()
    }
}

/// Exchanges the membership records of all nodes.
pub(crate) fn join(nodes: &[Node]) {
    let records: Vec<Record> = nodes.iter().map(Node::record).collect();
    for node in nodes {
        node.table.merge(records.clone(), LinkId::default());
    }
}

fn record(vm: &str, service: &str, slots: u32, gate: SocketAddr) -> Record {
    Record {
        vm: vm.parse().expect("a valid id"),
        incarnation: Incarnation::new(1),
        counter: 1,
        state: UpstreamState::Ready,
        service: Some(service.parse().expect("a valid name")),
        gate,
        fleet: ([127, 0, 0, 1], 1).into(),
        domain: "morava-a".parse().expect("a valid name"),
        region: "cz-morava".parse().expect("a valid name"),
        slots,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

fn state(routes: &[(&str, &str, Rules)]) -> State {
    let mut items = Vec::new();
    for (i, (path, service, rules)) in routes.iter().enumerate() {
        let team: model::TeamName = "redakce".parse().expect("a valid name");
        let pool: model::PoolName = format!("pool-{service}").parse().expect("a valid name");
        let service: model::ServiceName = service.parse().expect("a valid name");
        items.push(Item::Service(Service::new(service.clone(), team.clone())));
        items.push(Item::Pool(Pool {
            name: pool.clone(),
            team: team.clone(),
            service,
            domains: Vec::new(),
        }));
        items.push(Item::Route(Route {
            name: format!("route-{i}").parse().expect("a valid name"),
            team,
            // HTTP/2 callers state the host in the URI's authority, which is the ingress's address here.
            hosts: vec![HOST.into(), "127.0.0.1".into()],
            path: PathMatch::Prefix((*path).into()),
            methods: Vec::new(),
            headers: Vec::new(),
            to: vec![Target {
                pool,
                weight: model::Weight::new(1),
            }],
            rules: rules.clone(),
        }));
    }
    State::from_items(items)
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ReceivedResponse {
    /// Returns the text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the value of the outcome header.
    pub(crate) fn outcome(&self) -> Option<&str> {
        self.header("sardinestall-outcome")
    }
}

/// Returns a builder for a request to `path` at the ingress at `address`.
pub(crate) fn request(address: SocketAddr, method: &str, path: &str) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("host", HOST)
}

/// Sends `request` and reads the complete response.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> Result<ReceivedResponse, String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|e| e.to_string())?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?;
    Ok(ReceivedResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Sends a call with a body and no additional headers.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> ReceivedResponse {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = request(address, method, path).body(body);
    send(request.expect("a valid request"))
        .await
        .expect("a complete response")
}

/// Waits until `condition` holds.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = tokio::time::Instant::now() + LIMIT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < end,
            "condition not met within {LIMIT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
