//! Endpoints of daemons, and authentication of calls by the key that the fleet shares.

use std::fmt::Display;

use model::Secret;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::transport::Endpoint;
use tonic::{Request, Status};

/// Header that contains the key.
const AUTHORIZATION: &str = "authorization";

/// Authentication scheme, which precedes the key in the header.
const SCHEME: &str = "Bearer ";

/// The fleet's shared key, prepared for use in calls.
#[derive(Debug, Clone)]
pub struct FleetKey {
    key: Secret,
    bearer: MetadataValue<Ascii>,
}

impl FleetKey {
    /// Prepares `key`; `None` if it is not a valid header value.
    pub fn new(key: Secret) -> Option<Self> {
        let bearer = format!("{SCHEME}{}", key.expose()).parse().ok()?;
        Some(Self { key, bearer })
    }

    /// Wraps `message` in a request with the key in its header.
    pub fn authorized<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        let metadata = request.metadata_mut();
        metadata.insert(AUTHORIZATION, self.bearer.clone());
        request
    }

    /// Returns the interceptor that checks incoming calls for this key.
    pub fn check(&self) -> KeyCheck {
        KeyCheck::new(self.key.clone())
    }
}

/// Interceptor that refuses calls without the fleet's key.
#[derive(Debug, Clone)]
pub struct KeyCheck(Secret);

impl KeyCheck {
    /// Creates an interceptor that requires `key`.
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
/// Fails if `address` is not a valid address.
pub fn endpoint(address: impl Display) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    Ok(endpoint.tcp_nodelay(true))
}
