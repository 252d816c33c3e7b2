//! The gate beside an upstream: admits calls and passes them to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::Secret;
use prometheus::IntGauge;
use slog::Logger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

use crate::admission::{Admission, Shed};
use crate::backend::{Announcement, Backend, Readiness};
use crate::body::{Body, Holding, boxed};
use crate::header::{DEADLINE, FLEET_KEY, SERVICE};
use crate::serve::{Server, ServerError};
use crate::{Metrics, Refusal, RefusalKind};

/// Time that a call may take where the ingress states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// The gate beside an upstream.
#[derive(Debug)]
pub struct Gate {
    backend: Arc<Backend>,
    admission: Admission,
    key: Secret,
    metrics: Metrics,
    /// Connections to the upstream that no call uses.
    idle: Mutex<Vec<Idle>>,
}

/// A connection to the upstream that no call uses.
#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    sender: SendRequest<Body>,
}

/// What a call holds at the gate until its answer's end.
struct Held {
    _slot: OwnedSemaphorePermit,
    in_flight: IntGauge,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.in_flight.dec();
    }
}

impl Gate {
    /// Returns the gate in front of `backend` for a fleet that shares `key`.
    pub fn open(backend: Arc<Backend>, key: Secret, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            backend,
            admission: Admission::new(),
            key,
            metrics,
            idle: Mutex::default(),
        })
    }

    /// Starts to serve the gate on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(
        self: &Arc<Self>,
        listener: TcpListener,
        log: Logger,
    ) -> Result<Server, ServerError> {
        let gate = Arc::clone(self);
        Server::spawn(listener, log, move |request| {
            let gate = Arc::clone(&gate);
            async move {
                match gate.answer(request.map(boxed)).await {
                    Ok(response) => response,
                    Err(refusal) => {
                        gate.metrics.refused(&refusal);
                        refusal.response()
                    }
                }
            }
        })
    }

    /// Admits a call and passes it to the upstream.
    async fn answer(self: &Arc<Self>, request: Request<Body>) -> Result<Response<Body>, Refusal> {
        self.check_key(request.headers())?;
        let deadline = deadline(request.headers());
        let announced = self.check_backend(request.headers())?;
        self.admission.resize(announced.slots);
        let slot = self.admission.enter(deadline).await.map_err(shed)?;
        self.metrics.in_flight.inc();
        let held = Held {
            _slot: slot,
            in_flight: self.metrics.in_flight.clone(),
        };
        // The upstream may have begun to drain while the call waited.
        let announced = self.check_backend(request.headers())?;
        let mut sender = self.connect(announced.address, deadline).await?;
        let request = for_upstream(request, announced.address);
        let response = match timeout_at(deadline, sender.send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => {
                let message =
                    format!("the upstream broke the connection ({error}); it may have run");
                return Err(Refusal::unknown(RefusalKind::Broken, message));
            }
            Err(_) => {
                let message = "the upstream did not answer before the deadline; it may have run";
                return Err(Refusal::unknown(RefusalKind::Deadline, message));
            }
        };
        let returned = Returned {
            gate: Arc::clone(self),
            idle: Some(Idle {
                address: announced.address,
                sender,
            }),
            _held: held,
        };
        Ok(response.map(|body| Holding::wrap(boxed(body), returned)))
    }

    fn check_key(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let key = headers.get(FLEET_KEY);
        if key.is_some_and(|key| self.key.matches(key.as_bytes())) {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalKind::Forbidden,
            "the gate takes calls from daemons of its fleet only; call a daemon's caller address",
        ))
    }

    /// Returns the upstream's word if it takes calls of the wanted service.
    fn check_backend(&self, headers: &HeaderMap) -> Result<Announcement, Refusal> {
        let wanted = headers.get(SERVICE).map(|value| value.as_bytes());
        let announced = self.backend.current();
        let announced = announced.filter(|announced| {
            announced.state != Readiness::Draining
                && wanted == Some(announced.service.as_str().as_bytes())
        });
        announced.ok_or_else(|| {
            Refusal::not_run(
                RefusalKind::Leaving,
                "the upstream takes no new calls; try again elsewhere",
            )
        })
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<SendRequest<Body>, Refusal> {
        while let Some(idle) = self.take_idle(address) {
            if idle.sender.is_ready() {
                return Ok(idle.sender);
            }
        }
        let unreachable = |error: String| {
            let message = format!("the upstream cannot be connected to ({error}); try again");
            Refusal::not_run(RefusalKind::Unreachable, message)
        };
        let stream = timeout_at(deadline, TcpStream::connect(address))
            .await
            .map_err(|_| unreachable("no answer in time".into()))?
            .map_err(|error| unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        tokio::spawn(async move {
            // The call on the connection sees its end itself.
            let _ = connection.await;
        });
        sender
            .ready()
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(sender)
    }

    /// Takes a kept connection to `address`; drops those to another.
    fn take_idle(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.lock();
        idle.retain(|idle| idle.address == address);
        idle.pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gives the connection back at the end of an answer.
struct Returned {
    gate: Arc<Gate>,
    idle: Option<Idle>,
    _held: Held,
}

impl Drop for Returned {
    fn drop(&mut self) {
        // A connection whose answer was not read to its end is not ready, and is closed when it is
        // next looked at.
        if let Some(idle) = self.idle.take() {
            self.gate.lock().push(idle);
        }
    }
}

fn deadline(headers: &HeaderMap) -> Instant {
    let left = headers
        .get(DEADLINE)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    Instant::now() + left
}

fn shed(shed: Shed) -> Refusal {
    match shed {
        Shed::Full => Refusal::not_run(
            RefusalKind::Overloaded,
            "the upstream's slots and queue are full; try again later",
        ),
        Shed::Deadline => Refusal::not_run(
            RefusalKind::Deadline,
            "the deadline passed before the upstream had a slot free",
        ),
    }
}

/// Returns the request as the upstream gets it: HTTP/1.1, without the fleet's key.
fn for_upstream(request: Request<Body>, address: SocketAddr) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    parts.version = http::Version::HTTP_11;
    parts.headers.remove(FLEET_KEY);
    if let Some(authority) = parts.uri.authority() {
        let host = http::HeaderValue::from_str(authority.as_str());
        parts.headers.insert(
            http::header::HOST,
            host.unwrap_or_else(|_| http::HeaderValue::from_static("upstream")),
        );
    } else if !parts.headers.contains_key(http::header::HOST) {
        let host = http::HeaderValue::from_str(&address.to_string());
        parts.headers.insert(
            http::header::HOST,
            host.unwrap_or_else(|_| http::HeaderValue::from_static("upstream")),
        );
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from);
    Request::from_parts(parts, body)
}

/// The upstream's answer is an [`Incoming`] body.
const _: fn(Incoming) -> Body = boxed::<Incoming>;
