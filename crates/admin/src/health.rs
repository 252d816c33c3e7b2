//! Health, readiness and metrics.

use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use model::Version;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::server::spawn_routes;
use crate::{Api, ErrorKind, ErrorPage};

/// Answers while the process runs.
pub(crate) async fn healthy() -> &'static str {
    "ok\n"
}

/// Answers with success only when the daemon serves a version.
pub(crate) async fn ready(State(api): State<Api>) -> Result<&'static str, ErrorPage> {
    if api.table.snapshot().version > Version::default() {
        return Ok("ready\n");
    }
    Err(ErrorPage::new(
        ErrorKind::Unavailable,
        "the daemon serves no configuration yet",
        "accept a first one, or see `sardinestall status` for why none arrives",
    ))
}

/// Returns the daemon's metrics in the text format of Prometheus.
pub(crate) async fn metrics(State(api): State<Api>) -> Result<Response, ErrorPage> {
    api.metrics.observe(api.members(), api.node.is_connected());
    exposition(&api.registry)
}

/// Starts to serve nothing but `registry` on `listener`, in the text format of Prometheus.
pub fn spawn_metrics(registry: Registry, listener: TcpListener) -> AbortHandle {
    let routes = Router::new().route(
        "/metrics",
        get(move || async move { exposition(&registry) }),
    );
    spawn_routes(listener, routes)
}

/// Writes the metrics of `registry`.
fn exposition(registry: &Registry) -> Result<Response, ErrorPage> {
    let encoder = prometheus::TextEncoder::new();
    let text = encoder
        .encode_to_string(&registry.gather())
        .map_err(|error| {
            ErrorPage::new(
                ErrorKind::Unavailable,
                format!("the metrics cannot be written: {error}"),
                "this is a defect, report it",
            )
        })?;
    Ok(([("content-type", prometheus::TEXT_FORMAT)], text).into_response())
}
