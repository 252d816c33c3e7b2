//! Client of the administration API, used by the command line.

use std::error::Error as _;
use std::net::SocketAddr;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as HttpClient, Error as HttpError};
use hyper_util::rt::TokioExecutor;
use model::{AcceptId, Secret, TeamName, Version, VmId};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    AcceptQuery, AcceptReply, ApiError, CheckReply, DiffReply, LogEntry, RollbackQuery, ShowReply,
    Status,
};

/// A failed call of the API.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The daemon cannot be reached.
    #[error("the daemon at {0} cannot be reached ({1}); check the address and that it runs")]
    Unreachable(SocketAddr, String),
    /// The request may have reached the daemon, but no complete response was received.
    #[error("the response of the daemon at {0} was lost ({1})")]
    ResponseLost(SocketAddr, String),
    /// The daemon refused the call.
    #[error("{}; {}", .0.message, .0.remedy)]
    Refused(Box<ApiError>),
    /// The daemon's response cannot be parsed, or the request cannot be encoded.
    #[error("the daemon's response cannot be parsed ({0}); check that both run the same release")]
    Unreadable(String),
}

/// A client of the API of one daemon.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    token: Option<Secret>,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Opens a client of the daemon at `address`, for the operator with `token`.
    pub fn open(address: SocketAddr, token: Option<Secret>) -> Self {
        Self {
            address,
            token,
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Accepts a configuration in JSON.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses it or cannot be reached.
    pub async fn accept(
        &self,
        config: Vec<u8>,
        accept_id: &AcceptId,
        reason: &str,
    ) -> Result<AcceptReply, ClientError> {
        let query = encode_query(&AcceptQuery {
            accept_id: accept_id.clone(),
            reason: reason.into(),
        })?;
        let path = format!("/v1/accept?{query}");
        self.call_json(Method::POST, &path, config).await
    }

    /// Validates a configuration in JSON against the newest version, without accepting it.
    ///
    /// # Errors
    ///
    /// Fails if it has problems or the daemon cannot be reached.
    pub async fn check(&self, config: Vec<u8>) -> Result<CheckReply, ClientError> {
        self.call_json(Method::POST, "/v1/check", config).await
    }

    /// Accepts the content of an old version as a new version; only the parts of `team` if given.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses it or cannot be reached.
    pub async fn rollback(
        &self,
        version: Version,
        accept_id: &AcceptId,
        reason: &str,
        team: Option<&TeamName>,
    ) -> Result<AcceptReply, ClientError> {
        let query = encode_query(&RollbackQuery {
            accept: AcceptQuery {
                accept_id: accept_id.clone(),
                reason: reason.into(),
            },
            team: team.cloned(),
        })?;
        let path = format!("/v1/rollback/{version}?{query}");
        self.call_json(Method::POST, &path, Vec::new()).await
    }

    /// Returns the configuration of `version`, or of the head if none is given.
    ///
    /// # Errors
    ///
    /// Fails if the version does not exist or the daemon cannot be reached.
    pub async fn show(&self, version: Option<Version>) -> Result<ShowReply, ClientError> {
        let version = version.map_or("head".into(), |version| version.to_string());
        self.call_json(Method::GET, &format!("/v1/versions/{version}"), Vec::new())
            .await
    }

    /// Returns the differences between two versions.
    ///
    /// # Errors
    ///
    /// Fails if a version does not exist or the daemon cannot be reached.
    pub async fn diff(&self, from: Version, to: Version) -> Result<DiffReply, ClientError> {
        self.call_json(Method::GET, &format!("/v1/diff/{from}/{to}"), Vec::new())
            .await
    }

    /// Returns up to `limit` entries of the audit trail, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses or cannot be reached.
    pub async fn log(&self, limit: usize) -> Result<Vec<LogEntry>, ClientError> {
        self.call_json(Method::GET, &format!("/v1/log?limit={limit}"), Vec::new())
            .await
    }

    /// Returns the state of the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot be reached.
    pub async fn status(&self) -> Result<Status, ClientError> {
        self.call_json(Method::GET, "/v1/status", Vec::new()).await
    }

    /// Drains the upstream on `vm`.
    ///
    /// # Errors
    ///
    /// Fails if the daemon refuses or cannot be reached.
    pub async fn drain(&self, vm: &VmId) -> Result<(), ClientError> {
        let path = format!("/v1/upstreams/{vm}/drain");
        self.call(Method::POST, &path, Vec::new()).await.map(drop)
    }

    async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, ClientError> {
        let bytes = self.call(method, path, body).await?;
        serde_json::from_slice(&bytes).map_err(|error| ClientError::Unreadable(error.to_string()))
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Bytes, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {}", token.expose()));
        }
        let request = request
            .body(Full::from(body))
            .map_err(|error| ClientError::Unreadable(error.to_string()))?;
        let response = self
            .http
            .request(request)
            .await
            .map_err(|error| self.transport_error(&error))?;
        let status = response.status();
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(|error| ClientError::ResponseLost(self.address, error.to_string()))?
            .to_bytes();
        if status.is_success() {
            return Ok(bytes);
        }
        Err(error_of_status(status, &bytes))
    }

    /// Distinguishes a request that was certainly not sent from one whose response was lost.
    fn transport_error(&self, error: &HttpError) -> ClientError {
        let cause = error
            .source()
            .map_or(error.to_string(), ToString::to_string);
        if error.is_connect() {
            return ClientError::Unreachable(self.address, cause);
        }
        ClientError::ResponseLost(self.address, cause)
    }
}

fn error_of_status(status: StatusCode, bytes: &[u8]) -> ClientError {
    match serde_json::from_slice(bytes) {
        Ok(error) => ClientError::Refused(Box::new(error)),
        Err(_) => ClientError::Unreadable(format!(
            "status {status}: {}",
            String::from_utf8_lossy(bytes)
        )),
    }
}

/// Encodes `query` as a query string.
fn encode_query(query: &impl Serialize) -> Result<String, ClientError> {
    serde_urlencoded::to_string(query).map_err(|error| ClientError::Unreadable(error.to_string()))
}
