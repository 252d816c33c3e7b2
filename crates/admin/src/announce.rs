//! The address that the upstream beside a daemon announces itself at.

use std::io;
use std::sync::Arc;

use axum::extract::State;
use axum::routing::put;
use axum::{Json, Router};
use call::{Announcement, Backend};
use tokio::net::TcpListener;

use crate::HttpServer;

/// Starts to take announcements for `backend` on `listener`.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn spawn(backend: Arc<Backend>, listener: TcpListener) -> io::Result<HttpServer> {
    let routes = Router::new()
        .route("/v1/upstream", put(announce))
        .with_state(backend);
    HttpServer::spawn(listener, routes)
}

async fn announce(
    State(backend): State<Arc<Backend>>,
    Json(announcement): Json<Announcement>,
) -> http::StatusCode {
    backend.announce(announcement);
    http::StatusCode::NO_CONTENT
}
