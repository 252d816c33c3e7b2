//! A caller's request: its validation, its route, and the requests that are sent to a gate for it.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version as HttpVersion};
use model::{Fingerprint, Priority, ServiceName, Version};
use rand::RngExt;
use table::{PoolTable, RouteTable, Snapshot, Upstream};
use tokio::time::Instant;

use crate::body::Body;
use crate::closing::Sent;
use crate::dialect::Dialect;
use crate::dispatch::Origin;
use crate::header::{
    BODY, BRIEF, CALLER, CALLER_KEY, DEADLINE, FLEET_KEY, KEY, NO_WAIT, OBJECTIVE, PRIORITY,
    RESERVATION, RESERVE, ROUTE, SERVICE, number, remove_hop_by_hop, remove_internal,
};
use crate::payload::Content;
use crate::retry::is_idempotent;
use crate::selection::Wait;
use crate::{Refusal, RefusalKind};

/// Longest idempotency key that a caller may send, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Kind of a request to a gate.
#[derive(Debug, Clone)]
pub(crate) enum GateRequest {
    /// Forwards the call to the upstream.
    Call {
        /// How long the call may queue for a slot.
        wait: Wait,
    },
    /// Reserves a slot for the call.
    Reserve {
        /// How long the reservation may queue for a slot.
        wait: Wait,
    },
    /// Forwards the call in the slot that is reserved for it.
    Redeem(HeaderValue),
}

/// A validated call.
pub(crate) struct Call {
    parts: Parts,
    id: HeaderValue,
    arrived: Instant,
    /// Configuration in force when the call arrived.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Route of the call.
    pub(crate) route: Arc<RouteTable>,
    /// Deadline of the call.
    pub(crate) deadline: Instant,
    /// Time by which the response meets the route's latency objective, if it has one.
    pub(crate) objective: Option<Instant>,
    /// Whether the call may run more than once.
    pub(crate) idempotent: bool,
    /// Number of live daemons that share the fleet's retry allowance.
    pub(crate) live_daemons: usize,
    /// Fingerprint of the request, once its body is open.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Whether the call may have been sent to a gate.
    pub(crate) sent: Sent,
}

impl Call {
    /// Validates a request that arrived at `arrived` and finds its route.
    ///
    /// # Errors
    ///
    /// Refuses requests that are malformed, cannot be forwarded, or match no route.
    pub(crate) fn open(
        mut parts: Parts,
        snapshot: Arc<Snapshot>,
        dialect: &dyn Dialect,
        id: &HeaderValue,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        if snapshot.version == Version::default() {
            return Err(Refusal::not_run(
                RefusalKind::NotReady,
                "this daemon has no configuration yet; try again later",
            ));
        }
        validate(&parts)?;
        let host = host(&parts);
        let path = parts.uri.path();
        let route = snapshot.find(&host, path, &parts.method, &parts.headers);
        let Some(route) = route.cloned() else {
            return Err(Refusal::not_run(
                RefusalKind::NoRoute,
                format!("no route takes {} {host}{path}", parts.method),
            ));
        };
        let rules = &route.route.rules;
        let idempotent = is_idempotent(rules, &parts.method);
        let key = if idempotent {
            None
        } else {
            Some(call_key(&parts)?)
        };
        let mut timeout = rules.timeout.duration();
        if let Some(left) = number(&parts.headers, &dialect.deadline_header()) {
            timeout = timeout.min(Duration::from_millis(left));
        }
        remove_hop_by_hop(&mut parts.headers);
        remove_internal(&mut parts.headers);
        parts.headers.remove(dialect.deadline_header());
        parts
            .headers
            .insert(dialect.request_id_header(), id.clone());
        if let Some(key) = key {
            parts.headers.insert(KEY, key);
        }
        Ok(Self {
            parts,
            id: id.clone(),
            arrived,
            snapshot,
            deadline: arrived + timeout,
            objective: rules
                .objective
                .map(|objective| arrived + objective.duration()),
            idempotent,
            live_daemons: 1,
            fingerprint: None,
            sent: Sent::default(),
            route,
        })
    }

    /// Returns the fingerprint of the request if `caller` sends it with `content`. Requests whose bodies are streamed
    /// share one if they differ in their bodies alone.
    pub(crate) fn fingerprint(
        &self,
        caller: Option<&ServiceName>,
        content: Content<'_>,
    ) -> Fingerprint {
        let path = self.parts.uri.path_and_query();
        let size;
        let (form, body) = match content {
            Content::Whole(body) => ("whole", body),
            Content::Streamed(stated) => {
                size = stated.map_or(String::new(), |size| size.get().to_string());
                ("streamed", size.as_bytes())
            }
        };
        Fingerprint::of([
            form.as_bytes(),
            caller.map_or("", ServiceName::as_str).as_bytes(),
            self.parts.method.as_str().as_bytes(),
            host(&self.parts).as_bytes(),
            path.map_or("/", |path| path.as_str()).as_bytes(),
            body,
        ])
    }

    /// Returns the request's id, for the log.
    pub(crate) fn id(&self) -> &str {
        self.id.to_str().unwrap_or("unprintable")
    }

    /// Returns the route's name, for the log.
    pub(crate) fn route_name(&self) -> &str {
        self.route.route.name.as_str()
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub(crate) fn time_left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.as_millis() as u64
    }

    /// Returns by how much a response at `now` misses the route's latency objective.
    pub(crate) fn late_by(&self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.objective?);
        (!late.is_zero()).then_some(late)
    }

    /// Returns the request of this `kind` to the gate of `upstream`.
    ///
    /// # Errors
    ///
    /// Refuses a request whose host or path cannot be forwarded.
    pub(crate) fn to_gate_request(
        &self,
        pool: &PoolTable,
        upstream: &Upstream,
        origin: &Origin,
        kind: &GateRequest,
        body: Body,
    ) -> Result<Request<Body>, Refusal> {
        let bad = |_| Refusal::not_run(RefusalKind::BadRequest, "the request cannot be sent on");
        let path = self
            .parts
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let host = match host_header(&self.parts) {
            Some(host) => host.to_owned(),
            None => upstream.gate.to_string(),
        };
        let uri = Uri::builder()
            .scheme("http")
            .authority(host)
            .path_and_query(path);
        let mut request = Request::builder()
            .method(self.parts.method.clone())
            .uri(uri.build().map_err(bad)?)
            .version(HttpVersion::HTTP_2)
            .body(body)
            .map_err(bad)?;
        let headers = request.headers_mut();
        *headers = self.parts.headers.clone();
        headers.remove(HOST);
        let left = self.deadline.saturating_duration_since(Instant::now());
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
        let priority = priority_name(self.route.route.rules.priority);
        headers.insert(PRIORITY, HeaderValue::from_static(priority));
        let service = HeaderValue::from_str(pool.service.name.as_str());
        headers.insert(SERVICE, service.map_err(|error| bad(error.into()))?);
        let key = HeaderValue::from_str(origin.key.expose());
        headers.insert(FLEET_KEY, key.map_err(|error| bad(error.into()))?);
        if let Some(caller) = &origin.service {
            let caller = HeaderValue::from_str(caller.as_str());
            headers.insert(CALLER, caller.map_err(|error| bad(error.into()))?);
        }
        let route = HeaderValue::from_str(self.route.route.name.as_str());
        headers.insert(ROUTE, route.map_err(|error| bad(error.into()))?);
        if let Some(objective) = self.objective {
            let left = objective.saturating_duration_since(Instant::now());
            headers.insert(OBJECTIVE, HeaderValue::from(left.as_millis() as u64));
        }
        let flag = HeaderValue::from_static("1");
        match kind {
            GateRequest::Call { wait } | GateRequest::Reserve { wait } => match wait {
                Wait::Never => {
                    headers.insert(NO_WAIT, flag.clone());
                }
                Wait::Briefly => {
                    headers.insert(NO_WAIT, HeaderValue::from_static(BRIEF));
                }
                Wait::Fully => {}
            },
            GateRequest::Redeem(reservation) => {
                headers.insert(RESERVATION, reservation.clone());
            }
        }
        if matches!(kind, GateRequest::Reserve { .. }) {
            if let Some(size) = headers.remove(CONTENT_LENGTH) {
                headers.insert(BODY, size);
            }
            headers.insert(RESERVE, flag);
        }
        Ok(request)
    }
}

/// Returns the priority's name in headers.
const fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::High => "high",
    }
}

/// Parses how long an attempt of an ingress may queue.
pub(crate) fn wait(headers: &HeaderMap) -> Wait {
    match headers.get(NO_WAIT) {
        None => Wait::Fully,
        Some(value) if value == BRIEF => Wait::Briefly,
        Some(_) => Wait::Never,
    }
}

/// Parses the priority header of a call from an ingress.
pub(crate) fn priority(headers: &HeaderMap) -> Priority {
    match headers.get(PRIORITY).map(HeaderValue::as_bytes) {
        Some(b"low") => Priority::Low,
        Some(b"high") => Priority::High,
        _ => Priority::Normal,
    }
}

/// Refuses requests that cannot be forwarded unchanged.
fn validate(parts: &Parts) -> Result<(), Refusal> {
    let unsupported = |message| Err(Refusal::not_run(RefusalKind::Unsupported, message));
    if parts.version < HttpVersion::HTTP_11 {
        // An HTTP/1.0 caller cannot distinguish a truncated response from a complete one.
        return unsupported("HTTP/1.0 is not taken; call with HTTP/1.1 or HTTP/2");
    }
    if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
        return unsupported("connections are not upgraded; call without CONNECT or Upgrade");
    }
    // hyper rejects differing lengths itself, and drops a length next to a chunked encoding.
    if parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(Refusal::not_run(
            RefusalKind::BadRequest,
            "the body's length is given twice; send one Content-Length",
        ));
    }
    Ok(())
}

/// Returns the key of a call that may run only once: the caller's idempotency key or a random one.
fn call_key(parts: &Parts) -> Result<HeaderValue, Refusal> {
    let Some(key) = parts.headers.get(CALLER_KEY) else {
        return Ok(random_id());
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Refusal::not_run(
            RefusalKind::BadRequest,
            format!("the {CALLER_KEY} is empty or over {MAX_KEY_BYTES} bytes; give another"),
        ));
    }
    Ok(key.clone())
}

/// Returns a random id.
pub(crate) fn random_id() -> HeaderValue {
    let id: u128 = rand::rng().random();
    HeaderValue::from_str(&format!("{id:032x}")).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

fn host_header(parts: &Parts) -> Option<&str> {
    if let Some(authority) = parts.uri.authority() {
        return Some(authority.as_str());
    }
    parts
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
}

/// Returns the requested host without its port, in lower case.
fn host(parts: &Parts) -> String {
    let host = host_header(parts).unwrap_or_default();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
