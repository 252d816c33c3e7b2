//! The API's routes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::{HeaderMap, StatusCode};
use ledger::{Ledger, Request};
use model::{AcceptId, Config, Item, TeamName, Version, VmId, parse};
use prometheus::Registry;
use serde::Deserialize;
use slog::{Logger, info};
use spread::Node;
use table::Table;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::message::{Accepted, DiffReply, KeyChange, LogEntry, Shown, Status, VersionCount};
use crate::{ErrorKind, ErrorPage, Operators};

/// Largest configuration taken, in bytes.
const MAX_CONFIG_BYTES: usize = 16 << 20;

/// Entries of the log returned where none is asked for.
const DEFAULT_LOG_LIMIT: usize = 20;

/// Most entries of the log returned.
const MAX_LOG_LIMIT: usize = 1_000;

/// What the API works on.
#[derive(Debug, Clone)]
pub struct Api {
    /// Accepted versions.
    pub ledger: Arc<Ledger>,
    /// Version in force here.
    pub table: Arc<Table>,
    /// Distribution.
    pub node: Arc<Node>,
    /// Operators.
    pub operators: Arc<Operators>,
    /// Metrics.
    pub registry: Registry,
    /// Log.
    pub log: Logger,
}

/// A running HTTP server of the administration.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl HttpServer {
    pub(crate) fn spawn(listener: TcpListener, routes: Router) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let stopped = stop.clone().cancelled_owned();
        let task = tokio::spawn(async move {
            // Ends on the signal only.
            let _ = axum::serve(listener, routes)
                .with_graceful_shutdown(stopped)
                .await;
        });
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the address served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection and ends those without a call.
    pub fn stop(self) {
        self.stop.cancel();
        self.task.abort();
    }
}

impl Api {
    /// Starts to serve the API on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(self, listener: TcpListener) -> io::Result<HttpServer> {
        let routes = Router::new()
            .route("/v1/accept", post(accept))
            .route("/v1/rollback/{version}", post(rollback))
            .route("/v1/check", post(check))
            .route("/v1/versions/{version}", get(show))
            .route("/v1/diff/{from}/{to}", get(diff))
            .route("/v1/log", get(log))
            .route("/v1/status", get(status))
            .route("/v1/upstreams/{vm}/drain", post(drain))
            .route("/healthz", get(|| async { "ok\n" }))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .layer(axum::extract::DefaultBodyLimit::max(MAX_CONFIG_BYTES))
            .with_state(self);
        HttpServer::spawn(listener, routes)
    }
}

/// What goes with an accept, beside the configuration.
#[derive(Debug, Deserialize)]
struct AcceptQuery {
    accept_id: AcceptId,
    #[serde(default)]
    reason: String,
}

async fn accept(
    State(api): State<Api>,
    Query(query): Query<AcceptQuery>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<Accepted>, ErrorPage> {
    let operator = api.operators.find(&headers)?;
    let config = read(&body)?;
    operator.check_teams(&config.teams)?;
    api.accept(operator, config, query).await
}

async fn rollback(
    State(api): State<Api>,
    Path(version): Path<Version>,
    Query(query): Query<AcceptQuery>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, ErrorPage> {
    let operator = api.operators.find(&headers)?;
    let state = api.ledger.at(version).await?;
    let mut config = Shown::of(version, &state).config;
    config.parent = None;
    keep_teams(&mut config, &operator.teams);
    api.accept(operator, config, query).await
}

/// Keeps only what the given teams own, and names all of them.
fn keep_teams(config: &mut Config, teams: &[TeamName]) {
    config
        .services
        .retain(|service| teams.contains(&service.team));
    config.pools.retain(|pool| teams.contains(&pool.team));
    config.routes.retain(|route| teams.contains(&route.team));
    config.teams = teams.to_vec();
}

impl Api {
    async fn accept(
        &self,
        operator: &crate::Operator,
        config: Config,
        query: AcceptQuery,
    ) -> Result<Json<Accepted>, ErrorPage> {
        let request = Request {
            config,
            accept_id: query.accept_id,
            operator: operator.name.clone(),
            reason: query.reason,
        };
        let accepted = self.ledger.accept(&request).await?;
        info!(self.log, "accepted";
            "version" => %accepted.version,
            "operator" => %request.operator,
            "accept_id" => %request.accept_id,
            "reason" => &request.reason);
        Ok(Json(accepted.into()))
    }
}

async fn check(body: Bytes) -> Result<StatusCode, ErrorPage> {
    read(&body).map(|_| StatusCode::NO_CONTENT)
}

fn read(body: &[u8]) -> Result<Config, ErrorPage> {
    parse(body).map_err(|problems| ledger::Error::Invalid(problems).into())
}

async fn show(
    State(api): State<Api>,
    Path(version): Path<String>,
) -> Result<Json<Shown>, ErrorPage> {
    if version == "head" {
        let tip = api.ledger.tip().await?;
        return Ok(Json(Shown::of(tip.version, &tip.state)));
    }
    let version = version.parse().map_err(|_| {
        ErrorPage::new(
            ErrorKind::BadRequest,
            format!("`{version}` is no version"),
            "write a number or `head`",
        )
    })?;
    let state = api.ledger.at(version).await?;
    Ok(Json(Shown::of(version, &state)))
}

async fn diff(
    State(api): State<Api>,
    Path((from, to)): Path<(Version, Version)>,
) -> Result<Json<DiffReply>, ErrorPage> {
    let before = api.ledger.at(from).await?;
    let after = api.ledger.at(to).await?;
    let keys = before.pieces().chain(after.pieces()).map(|(key, _)| key);
    let keys: std::collections::BTreeSet<_> = keys.collect();
    let item = |state: &model::State, key| -> Option<Item> {
        state.get(key).map(|piece| piece.item.clone())
    };
    let changes = keys.into_iter().filter_map(|key| {
        let change = KeyChange {
            key: key.clone(),
            before: item(&before, key),
            after: item(&after, key),
        };
        (change.before != change.after).then_some(change)
    });
    let changes = changes.collect();
    Ok(Json(DiffReply { from, to, changes }))
}

/// Which part of the log is asked for.
#[derive(Debug, Deserialize)]
struct LogQuery {
    from: Option<Version>,
    limit: Option<usize>,
}

async fn log(
    State(api): State<Api>,
    Query(query): Query<LogQuery>,
) -> Result<Json<Vec<LogEntry>>, ErrorPage> {
    let limit = query.limit.unwrap_or(DEFAULT_LOG_LIMIT).min(MAX_LOG_LIMIT);
    let changes = api.ledger.log(query.from, limit).await?;
    let entries = changes.iter().map(|change| LogEntry::from(&**change));
    Ok(Json(entries.collect()))
}

async fn status(State(api): State<Api>) -> Json<Status> {
    let head = api.ledger.tip().await.ok().map(|tip| tip.version);
    let counts = match api.node.fleet_counts().await {
        Ok(counts) => counts,
        Err(_) => api.node.counts(),
    };
    let members = api.table.members().all();
    let alive = members.iter().filter(|record| record.is_alive()).count();
    let versions = counts
        .0
        .into_iter()
        .map(|(version, daemons)| VersionCount { version, daemons });
    Json(Status {
        head,
        serving: api.table.snapshot().version,
        connected: api.node.is_rooted(),
        versions: versions.collect(),
        members: alive as u32,
    })
}

async fn drain(
    State(api): State<Api>,
    Path(vm): Path<VmId>,
    headers: HeaderMap,
) -> Result<StatusCode, ErrorPage> {
    let operator = api.operators.find(&headers)?;
    api.check_drain(operator, &vm)?;
    api.node.drain(&vm).await.map_err(|error| {
        let kind = match error {
            spread::DrainError::Unreachable(..) => ErrorKind::Unavailable,
            _ => ErrorKind::NotFound,
        };
        ErrorPage::new(kind, error.to_string(), "see `sardinestall status`")
    })?;
    info!(api.log, "drain asked for"; "vm" => %vm, "operator" => %operator.name);
    Ok(StatusCode::NO_CONTENT)
}

impl Api {
    /// Checks that the upstream's service belongs to a team of the operator's.
    fn check_drain(&self, operator: &crate::Operator, vm: &VmId) -> Result<(), ErrorPage> {
        let record = self.table.members().get(vm);
        let Some(service) = record.and_then(|record| record.service) else {
            return Ok(());
        };
        let snapshot = self.table.snapshot();
        let pool = snapshot
            .pools()
            .iter()
            .find(|pool| pool.service.name == service);
        match pool {
            Some(pool) => operator.check_teams(std::slice::from_ref(&pool.service.team)),
            None => Ok(()),
        }
    }
}

async fn ready(State(api): State<Api>) -> Response {
    if api.table.snapshot().version > Version::default() {
        return "ready\n".into_response();
    }
    (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n").into_response()
}

async fn metrics(State(api): State<Api>) -> Response {
    let encoder = prometheus::TextEncoder::new();
    match encoder.encode_to_string(&api.registry.gather()) {
        Ok(text) => ([("content-type", prometheus::TEXT_FORMAT)], text).into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}
