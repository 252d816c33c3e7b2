//! HTTP control API of stand-ins that run as separate processes.

use std::io;
use std::net::SocketAddr;

use axum::extract::State;
use axum::routing::{get, put};
use axum::{Json, Router};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::upstream::SharedState;
use crate::{Behaviour, Counts, Faults, Kv, Run};

/// Serves the control API of a key-value service on `listener`.
///
/// # Errors
///
/// Fails if the listener fails.
pub async fn serve_kv_control(kv: Kv, listener: TcpListener) -> io::Result<()> {
    let routes = Router::new()
        .route("/faults", put(set_faults))
        .route("/counts", get(counts))
        .with_state(kv);
    axum::serve(listener, routes).await
}

/// Returns the routes of an upstream's control API.
pub(crate) fn upstream_routes(shared: SharedState) -> Router {
    Router::new()
        .route("/behaviour", put(set_behaviour))
        .route("/runs", get(runs))
        .with_state(shared)
}

async fn set_faults(State(kv): State<Kv>, Json(faults): Json<Faults>) {
    kv.set_faults(faults);
}

async fn counts(State(kv): State<Kv>) -> Json<Counts> {
    Json(kv.counts())
}

async fn set_behaviour(State(shared): State<SharedState>, Json(behaviour): Json<Behaviour>) {
    shared.set_behaviour(behaviour);
}

async fn runs(State(shared): State<SharedState>) -> Json<Vec<Run>> {
    Json(shared.runs())
}

/// A request to the control API of a stand-in failed.
#[derive(Debug)]
pub struct ControlError(String);

impl std::fmt::Display for ControlError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "request to the control API of a stand-in failed: {}",
            self.0
        )
    }
}

impl std::error::Error for ControlError {}

/// Client of the control API of a stand-in.
#[derive(Debug, Clone)]
pub struct ControlClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ControlClient {
    /// Returns a client for the control API at `address`.
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sets the faults of a key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot be reached or refuses.
    pub async fn set_faults(&self, faults: &Faults) -> Result<(), ControlError> {
        self.request(Method::PUT, "/faults", Some(faults))
            .await
            .map(drop)
    }

    /// Returns the call counts of a key-value service.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot be reached or refuses.
    pub async fn counts(&self) -> Result<Counts, ControlError> {
        self.get("/counts").await
    }

    /// Sets the behaviour of an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot be reached or refuses.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) -> Result<(), ControlError> {
        self.request(Method::PUT, "/behaviour", Some(behaviour))
            .await
            .map(drop)
    }

    /// Returns the calls that an upstream has run.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in cannot be reached or refuses.
    pub async fn runs(&self) -> Result<Vec<Run>, ControlError> {
        self.get("/runs").await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ControlError> {
        let bytes = self.request(Method::GET, path, None::<&()>).await?;
        serde_json::from_slice(&bytes).map_err(control_error)
    }

    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<Bytes, ControlError> {
        let json = match body {
            Some(body) => serde_json::to_vec(body).map_err(control_error)?,
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::from(json))
            .map_err(control_error)?;
        let response = self.client.request(request).await.map_err(control_error)?;
        let status = response.status();
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(control_error)?
            .to_bytes();
        if !status.is_success() {
            return Err(ControlError(format!("status {status}")));
        }
        Ok(bytes)
    }
}

fn control_error(error: impl std::fmt::Display) -> ControlError {
    ControlError(error.to_string())
}
