//! HTTP client for calls through an ingress.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::Error;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// Returns the value of the header `sardinestall-outcome`, which only responses of the system
    /// itself carry.
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("sardinestall-outcome")?.to_str().ok()
    }
}

/// A client that reuses its connections.
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
    /// Sends a request for `path` of `host` through the ingress at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        host: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("host", host);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(call_error)?;
        let response = self.client.request(request).await.map_err(call_error)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(call_error)?.to_bytes();
        Ok(Response {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Sends a GET request for `path` of `host` through the ingress at `address`.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received.
    pub async fn get(
        &self,
        address: SocketAddr,
        host: &str,
        path: &str,
    ) -> Result<Response, Error> {
        self.call(address, Method::GET, host, path, &[], Bytes::new())
            .await
    }
}

fn call_error(error: impl std::fmt::Display) -> Error {
    Error::Call(error.to_string())
}
