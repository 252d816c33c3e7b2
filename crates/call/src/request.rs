//! A caller's request: its checks, its route, and its form on the way to a gate.

use std::sync::Arc;
use std::time::Duration;

use http::header::{CONTENT_LENGTH, HOST, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, Version as HttpVersion};
use model::{Priority, Version};
use rand::RngExt;
use table::{PoolTable, RouteTable, Snapshot, Upstream};
use tokio::time::Instant;

use crate::body::Body;
use crate::dialect::Dialect;
use crate::header::{
    AIM, BODY, CALLER, CALLER_KEY, DEADLINE, FLEET_KEY, KEY, NO_WAIT, PRIORITY, RESERVATION,
    RESERVE, ROUTE, SERVICE, number, remove_hop, remove_own,
};
use crate::retry::is_idempotent;
use crate::tries::Origin;
use crate::{Refusal, RefusalKind};

/// Longest key that a caller may give, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What a request asks of a gate.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// To pass the call on, after a wait for a slot or not.
    Call {
        /// Whether it may wait.
        wait: bool,
    },
    /// To hold a slot for the call.
    Reserve {
        /// Whether it may wait.
        wait: bool,
    },
    /// To pass the call on with the slot that is held for it.
    Redeem(HeaderValue),
}

/// One call on its way.
pub(crate) struct Call {
    parts: Parts,
    id: HeaderValue,
    arrived: Instant,
    /// What was in force when the call arrived.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Its route.
    pub(crate) route: Arc<RouteTable>,
    /// When it is given up.
    pub(crate) deadline: Instant,
    /// When its answer is worth most at the latest, where the route says so.
    aim: Option<Instant>,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Daemons that share the fleet's retries.
    pub(crate) daemons: usize,
}

impl Call {
    /// Checks a request that arrived at `started` and finds its route.
    ///
    /// # Errors
    ///
    /// Refuses what is not well formed, what cannot be passed on, and what no route takes.
    pub(crate) fn open(
        mut parts: Parts,
        snapshot: Arc<Snapshot>,
        dialect: &dyn Dialect,
        id: &HeaderValue,
        started: Instant,
    ) -> Result<Self, Refusal> {
        if snapshot.version == Version::default() {
            return Err(Refusal::not_run(
                RefusalKind::NotReady,
                "this daemon has no configuration yet; try again later",
            ));
        }
        check(&parts)?;
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
        let key = if idempotent { None } else { Some(key(&parts)?) };
        let mut time = rules.timeout.duration();
        if let Some(left) = number(&parts.headers, &dialect.deadline()) {
            time = time.min(Duration::from_millis(left));
        }
        remove_hop(&mut parts.headers);
        remove_own(&mut parts.headers);
        parts.headers.remove(dialect.deadline());
        parts.headers.insert(dialect.id(), id.clone());
        if let Some(key) = key {
            parts.headers.insert(KEY, key);
        }
        Ok(Self {
            parts,
            id: id.clone(),
            arrived: started,
            snapshot,
            deadline: started + time,
            aim: rules
                .objective
                .map(|objective| started + objective.duration()),
            idempotent,
            daemons: 1,
            route,
        })
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
    pub(crate) fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.as_millis() as u64
    }

    /// Returns by how much an answer at `now` misses the route's objective.
    pub(crate) fn late_by(&self, now: Instant) -> Option<Duration> {
        let late = now.saturating_duration_since(self.aim?);
        (!late.is_zero()).then_some(late)
    }

    /// Returns the request as the gate of `upstream` gets it.
    ///
    /// # Errors
    ///
    /// Refuses a request whose host or path cannot be sent on.
    pub(crate) fn for_gate(
        &self,
        pool: &PoolTable,
        upstream: &Upstream,
        origin: &Origin,
        step: &Step,
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
        if let Some(aim) = self.aim {
            let left = aim.saturating_duration_since(Instant::now());
            headers.insert(AIM, HeaderValue::from(left.as_millis() as u64));
        }
        let flag = HeaderValue::from_static("1");
        match step {
            Step::Call { wait } | Step::Reserve { wait } if !wait => {
                headers.insert(NO_WAIT, flag.clone());
            }
            Step::Redeem(reservation) => {
                headers.insert(RESERVATION, reservation.clone());
            }
            Step::Call { .. } | Step::Reserve { .. } => {}
        }
        if matches!(step, Step::Reserve { .. }) {
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

/// Reads the priority of a call that an ingress sent.
pub(crate) fn priority(headers: &HeaderMap) -> Priority {
    match headers.get(PRIORITY).map(HeaderValue::as_bytes) {
        Some(b"low") => Priority::Low,
        Some(b"high") => Priority::High,
        _ => Priority::Normal,
    }
}

/// Refuses what cannot be passed on whole.
fn check(parts: &Parts) -> Result<(), Refusal> {
    let unsupported = |message| Err(Refusal::not_run(RefusalKind::Unsupported, message));
    if parts.version < HttpVersion::HTTP_11 {
        // Such a caller could not tell an answer that broke off from a whole one.
        return unsupported("HTTP/1.0 is not taken; call with HTTP/1.1 or HTTP/2");
    }
    if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
        return unsupported("connections are not upgraded; call without CONNECT or Upgrade");
    }
    // The library answers lengths that differ, and drops one beside chunks.
    if parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
        return Err(Refusal::not_run(
            RefusalKind::BadRequest,
            "the body's length is given twice; send one Content-Length",
        ));
    }
    Ok(())
}

/// Returns the key of a call that may run only once: the caller's own, or a random one.
fn key(parts: &Parts) -> Result<HeaderValue, Refusal> {
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

/// Returns the host that was called, without its port, in lower case.
fn host(parts: &Parts) -> String {
    let host = host_header(parts).unwrap_or_default();
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
