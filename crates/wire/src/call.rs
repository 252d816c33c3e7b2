//! Calls between daemons: the endpoint of one, and the key that its fleet shares.

use std::fmt::Display;

use model::Secret;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::transport::Endpoint;
use tonic::{Request, Status};

/// Header that carries the key.
const AUTHORIZATION: &str = "authorization";

/// What comes before the key in its header.
const SCHEME: &str = "Bearer ";

/// The fleet's key as calls carry it.
#[derive(Debug, Clone)]
pub struct FleetKey {
    key: Secret,
    bearer: MetadataValue<Ascii>,
}

impl FleetKey {
    /// Returns the key, if a header can carry it.
    pub fn new(key: Secret) -> Option<Self> {
        let bearer = format!("{SCHEME}{}", key.expose()).parse().ok()?;
        Some(Self { key, bearer })
    }

    /// Returns `message` as a call that carries the key.
    pub fn signed<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let metadata = request.metadata_mut();
        metadata.insert(AUTHORIZATION, self.bearer.clone());
        request
    }

    /// Returns the check of calls from others.
    pub fn check(&self) -> KeyCheck {
        KeyCheck::new(self.key.clone())
    }
}

/// Refuses calls without the fleet's key.
#[derive(Debug, Clone)]
pub struct KeyCheck(Secret);

impl KeyCheck {
    /// Returns the check of a fleet that shares `key`.
    pub fn new(key: Secret) -> Self {
        Self(key)
    }
}

impl Interceptor for KeyCheck {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let sent = request.metadata().get(AUTHORIZATION);
        let sent = sent.and_then(|value| value.as_bytes().strip_prefix(SCHEME.as_bytes()));
        if sent.is_some_and(|key| self.0.matches(key)) {
            return Ok(request);
        }
        Err(Status::unauthenticated(
            "the caller does not have the fleet's key; set `fleet.key` alike on every daemon",
        ))
    }
}

/// Returns the endpoint of the daemon at `address`.
///
/// # Errors
///
/// Fails if `address` is no address.
pub fn endpoint(address: impl Display) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(endpoint.tcp_nodelay(true))
}
