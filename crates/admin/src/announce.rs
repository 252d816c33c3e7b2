//! HTTP server for the announcements of the local upstream.

use std::io;
use std::sync::Arc;

use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::routing::put;
use axum::{Json, Router};
use call::{Announcement, Backend};
use http::StatusCode;
use tokio::net::TcpListener;

use crate::api::{method_not_allowed, path_not_found};
use crate::{ApiError, ErrorKind, HttpServer};

/// Starts to serve announcements on `listener`, which update `backend`.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn spawn(backend: Arc<Backend>, listener: TcpListener) -> io::Result<HttpServer> {
    let routes = Router::new()
        .route("/v1/upstream", put(announce))
        .fallback(path_not_found)
        .method_not_allowed_fallback(method_not_allowed)
        .with_state(backend);
    HttpServer::spawn(listener, routes)
}

async fn announce(
    State(backend): State<Arc<Backend>>,
    announcement: Result<Json<Announcement>, JsonRejection>,
) -> Result<StatusCode, ApiError> {
    let Json(announcement) = announcement.map_err(|rejection| {
        ApiError::new(
            ErrorKind::BadRequest,
            rejection.body_text(),
            "see docs/OPERATIONS.md for what an upstream announces",
        )
    })?;
    backend.announce(announcement);
    Ok(StatusCode::NO_CONTENT)
}
