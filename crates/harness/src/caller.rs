//! Calls as a caller makes them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::Error;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the outcome that the system itself states, if it answered.
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("sardinestall-outcome")?.to_str().ok()
    }
}

/// A caller with kept connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Caller {
    /// Calls `path` of `host` through the ingress at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(fail)?;
        let response = self.client.request(request).await.map_err(fail)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(fail)?.to_bytes();
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Gets `path` of `host` through the ingress at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer came.
    pub async fn get(&self, address: SocketAddr, host: &str, path: &str) -> Result<Answer, Error> {
        self.call(address, Method::GET, host, path, &[], Bytes::new())
            .await
    }
}

fn fail(error: impl std::fmt::Display) -> Error {
    Error::Call(error.to_string())
}
