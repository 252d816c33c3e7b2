//! Request ids, which correlate a call of the API with its log lines.

use std::fmt;

use axum::extract::{Request, State};
use axum::middleware::Next;
use axum::response::Response;
use call::REQUEST_ID;
use http::{HeaderMap, HeaderValue};
use rand::RngExt;
use slog::info;

use crate::Api;

/// Longest request id accepted from a client, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Id of one call of the API.
#[derive(Debug, Clone)]
pub(crate) struct RequestId(String);

impl RequestId {
    /// Returns the id in the client's header, or a random one.
    fn from_headers(headers: &HeaderMap) -> Self {
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

/// Assigns a request id to a call, counts the call and logs it if its method is not safe; the log
/// line omits the query and the headers.
pub(crate) async fn trace(State(api): State<Api>, mut request: Request, next: Next) -> Response {
    let id = RequestId::from_headers(request.headers());
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    request.extensions_mut().insert(id.clone());
    let mut response = next.run(request).await;
    api.metrics.count_request(response.status());
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
