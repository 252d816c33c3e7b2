//! An id for each call of the API, by which its log lines are found.

use std::fmt;

use axum::extract::{Request, State};
use axum::middleware::Next;
use axum::response::Response;
use call::REQUEST_ID;
use http::{HeaderMap, HeaderValue};
use rand::RngExt;
use slog::info;

use crate::Api;

/// Longest id taken from a caller, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Id of one call of the API.
#[derive(Debug, Clone)]
pub(crate) struct RequestId(String);

impl RequestId {
    /// Takes the caller's id, or makes one.
    fn of(headers: &HeaderMap) -> Self {
        let given = headers.get(&REQUEST_ID);
        let given = given.and_then(|value| value.to_str().ok());
        match given.filter(|id| !id.is_empty() && id.len() <= MAX_ID_BYTES) {
            Some(id) => Self(id.into()),
            None => Self(format!("{:032x}", rand::rng().random::<u128>())),
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Gives a call its id, counts it and logs it, without its query and headers.
pub(crate) async fn trace(State(api): State<Api>, mut request: Request, next: Next) -> Response {
    let id = RequestId::of(request.headers());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    request.extensions_mut().insert(id.clone());
    let mut response = next.run(request).await;
    api.metrics.requested(response.status());
    if !method.is_safe() {
        info!(api.log, "administration call";
            "method" => %method, "path" => path, "code" => response.status().as_u16(),
            "request" => %id);
    }
    if let Ok(value) = HeaderValue::from_str(&id.0) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
