//! Routes and shared state of the API.

use std::io;
use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware::from_fn_with_state;
use axum::routing::{get, post};
use http::{Method, Uri};
use ledger::Ledger;
use prometheus::Registry;
use slog::Logger;
use spread::Node;
use table::Table;
use tokio::net::TcpListener;

use crate::{ApiError, ErrorKind, HttpServer, Metrics, Operators};
use crate::{accept, drain, health, query, trace};

/// Largest configuration accepted, in bytes.
const MAX_CONFIG_BYTES: usize = 16 << 20;

/// Shared state of the API's handlers.
#[derive(Debug, Clone)]
pub struct Api {
    /// Ledger of accepted versions.
    pub ledger: Arc<Ledger>,
    /// Version in force on this daemon, and the membership.
    pub table: Arc<Table>,
    /// Distribution node, which exchanges versions and membership with other daemons.
    pub node: Arc<Node>,
    /// Operators.
    pub operators: Arc<Operators>,
    /// Metrics of the administration API.
    pub metrics: Metrics,
    /// Metrics of the whole daemon.
    pub registry: Registry,
    /// Logger.
    pub log: Logger,
}

impl Api {
    /// Starts to serve the API on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(self, listener: TcpListener) -> io::Result<HttpServer> {
        let routes = Router::new()
            .route("/v1/accept", post(accept::accept))
            .route("/v1/rollback/{version}", post(accept::rollback))
            .route("/v1/check", post(accept::check))
            .route("/v1/versions/{version}", get(query::show))
            .route("/v1/diff/{from}/{to}", get(query::diff))
            .route("/v1/log", get(query::log))
            .route("/v1/status", get(query::status))
            .route("/v1/upstreams/{vm}/drain", post(drain::drain))
            .route("/healthz", get(health::healthy))
            .route("/readyz", get(health::ready))
            .route("/metrics", get(health::metrics))
            .fallback(path_not_found)
            .method_not_allowed_fallback(method_not_allowed)
            .layer(DefaultBodyLimit::max(MAX_CONFIG_BYTES))
            .layer(from_fn_with_state(self.clone(), trace::trace))
            .with_state(self);
        HttpServer::spawn(listener, routes)
    }
}

/// Responds to a path that does not exist.
pub(crate) async fn path_not_found(uri: Uri) -> ApiError {
    ApiError::new(
        ErrorKind::NotFound,
        format!("there is nothing at `{}`", uri.path()),
        "see docs/OPERATIONS.md for the calls of the API",
    )
}

/// Responds to a method that a path does not support.
pub(crate) async fn method_not_allowed(method: Method, uri: Uri) -> ApiError {
    ApiError::new(
        ErrorKind::MethodNotAllowed,
        format!("`{}` does not take {method}", uri.path()),
        "see the header `allow` of this answer for the methods that it takes",
    )
}
