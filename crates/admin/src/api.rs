//! The API's routes and what they work on.

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

use crate::{ErrorKind, ErrorPage, HttpServer, Metrics, Operators};
use crate::{accept, drain, health, query, trace};

/// Largest configuration taken, in bytes.
const MAX_CONFIG_BYTES: usize = 16 << 20;

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
    /// Metrics of the API itself.
    pub metrics: Metrics,
    /// Metrics of the whole daemon.
    pub registry: Registry,
    /// Log.
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
            .fallback(no_path)
            .method_not_allowed_fallback(no_method)
            .layer(DefaultBodyLimit::max(MAX_CONFIG_BYTES))
            .layer(from_fn_with_state(self.clone(), trace::trace))
            .with_state(self);
        HttpServer::spawn(listener, routes)
    }
}

/// Answers a path that the API does not have.
pub(crate) async fn no_path(uri: Uri) -> ErrorPage {
    ErrorPage::new(
        ErrorKind::NotFound,
        format!("there is nothing at `{}`", uri.path()),
        "see docs/OPERATIONS.md for the calls of the API",
    )
}

/// Answers a method that a path does not take.
pub(crate) async fn no_method(method: Method, uri: Uri) -> ErrorPage {
    ErrorPage::new(
        ErrorKind::MethodNotAllowed,
        format!("`{}` does not take {method}", uri.path()),
        "see the header `allow` of this answer for the methods that it takes",
    )
}
