//! The address that the upstream beside a daemon announces itself at.

use std::io;
use std::sync::Arc;

use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::routing::put;
use axum::{Json, Router};
use call::{Announcement, Backend};
use http::StatusCode;
use tokio::net::TcpListener;

use crate::api::{no_method, no_path};
use crate::{ErrorKind, ErrorPage, HttpServer};

/// Starts to take announcements for `backend` on `listener`.
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn spawn(backend: Arc<Backend>, listener: TcpListener) -> io::Result<HttpServer> {
    let routes = Router::new()
        .route("/v1/upstream", put(announce))
        .fallback(no_path)
        .method_not_allowed_fallback(no_method)
        .with_state(backend);
    HttpServer::spawn(listener, routes)
}

async fn announce(
    State(backend): State<Arc<Backend>>,
    announcement: Result<Json<Announcement>, JsonRejection>,
) -> Result<StatusCode, ErrorPage> {
    let Json(announcement) = announcement.map_err(|rejection| {
        ErrorPage::new(
            ErrorKind::BadRequest,
            rejection.body_text(),
            "see docs/OPERATIONS.md for what an upstream announces",
        )
    })?;
    backend.announce(announcement);
    Ok(StatusCode::NO_CONTENT)
}
