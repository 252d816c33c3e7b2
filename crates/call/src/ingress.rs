//! The ingress: takes the calls of local callers and passes each to the gate of an upstream.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::header::{CONNECTION, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request, Response, Uri};
use hyper::body::{Body as _, Incoming};
use model::{DomainName, Secret, Version};
use rand::RngExt;
use slog::{Logger, debug};
use table::{PoolTable, RouteTable, Snapshot, Table, Upstream};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

use crate::body::{Body, Holding, boxed, full};
use crate::header::{DEADLINE, FLEET_KEY, KEY, REQUEST_ID, SERVICE};
use crate::links::Links;
use crate::retry::{is_idempotent, may_retry};
use crate::serve::{Server, ServerError};
use crate::{Metrics, Outcome, Refusal, RefusalKind, choose};

/// Headers that belong to one connection and do not travel on.
const HOP_HEADERS: &[HeaderName] = &[CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];

/// The ingress of one daemon.
#[derive(Debug)]
pub struct Ingress {
    table: Arc<Table>,
    domain: DomainName,
    key: Secret,
    links: Links,
    metrics: Metrics,
    log: Logger,
}

/// One call on its way.
struct Call {
    parts: Parts,
    snapshot: Arc<Snapshot>,
    route: Arc<RouteTable>,
    deadline: Instant,
    idempotent: bool,
}

/// Counts a call in flight until its answer's end.
struct InFlight(Arc<Upstream>);

impl InFlight {
    fn new(upstream: Arc<Upstream>) -> Self {
        upstream.observed.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(upstream)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.observed.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Ingress {
    /// Returns the ingress of a daemon in `domain` that serves `table`.
    pub fn open(
        table: Arc<Table>,
        domain: DomainName,
        key: Secret,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            table,
            domain,
            key,
            links: Links::default(),
            metrics,
            log,
        })
    }

    /// Starts to serve callers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(self: &Arc<Self>, listener: TcpListener) -> Result<Server, ServerError> {
        let ingress = Arc::clone(self);
        Server::spawn(listener, self.log.clone(), move |request| {
            let ingress = Arc::clone(&ingress);
            async move { ingress.answer(request).await }
        })
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let started = Instant::now();
        let id = request_id(&request);
        let mut response = match self.route(request, &id, started).await {
            Ok(response) => response,
            Err(refusal) => {
                debug!(self.log, "call refused"; "request" => ?id, "reason" => %refusal);
                self.metrics.refused(&refusal);
                refusal.response()
            }
        };
        response.headers_mut().insert(REQUEST_ID, id);
        let seconds = started.elapsed().as_secs_f64();
        self.metrics
            .duration
            .with_label_values(&["ingress"])
            .observe(seconds);
        let code = response.status().as_u16().to_string();
        self.metrics.calls.with_label_values(&[&code]).inc();
        response
    }

    /// Finds the call's route and tries its upstreams.
    async fn route(
        &self,
        request: Request<Incoming>,
        id: &HeaderValue,
        started: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let snapshot = self.table.snapshot();
        if snapshot.version == Version::default() {
            return Err(Refusal::not_run(
                RefusalKind::NotReady,
                "this daemon has no configuration yet; try again later",
            ));
        }
        let (mut parts, body) = request.into_parts();
        let host = host(&parts);
        let path = parts.uri.path();
        let route = snapshot
            .find(&host, path, &parts.method, &parts.headers)
            .cloned();
        let Some(route) = route else {
            return Err(Refusal::not_run(
                RefusalKind::NoRoute,
                format!("no route takes {} {host}{path}", parts.method),
            ));
        };
        check_size(&body, &route)?;
        let idempotent = is_idempotent(&route.route.rules, &parts.method);
        for name in HOP_HEADERS {
            parts.headers.remove(name);
        }
        parts.headers.insert(REQUEST_ID, id.clone());
        if !idempotent && !parts.headers.contains_key(KEY) {
            parts.headers.insert(KEY, id.clone());
        }
        let call = Call {
            deadline: started + route.route.rules.timeout.duration(),
            parts,
            snapshot,
            route,
            idempotent,
        };
        self.tries(call, body).await
    }

    /// Tries one upstream after the other while the rules allow it.
    async fn tries(&self, call: Call, body: Incoming) -> Result<Response<Body>, Refusal> {
        let rules = &call.route.route.rules;
        let replayable = body.is_end_stream();
        let mut body = Some(boxed(body));
        let mut tried = Vec::new();
        let mut tries = 0;
        loop {
            let index = choose::pool(&call.route, &mut rand::rng());
            let pool = call.snapshot.pool(index);
            let chosen = choose::upstream(&pool.upstreams, &self.domain, &tried, &mut rand::rng());
            let Some(upstream) = chosen else {
                return Err(no_upstream(pool));
            };
            tried.push(upstream.vm.clone());
            tries += 1;
            let Some(body) = body
                .take()
                .or_else(|| replayable.then(|| full(Default::default())))
            else {
                let message = "the call was refused after its body was sent on; send it again";
                return Err(Refusal::not_run(RefusalKind::Unreachable, message));
            };
            let outcome = match self.try_once(&call, pool, upstream, body).await {
                Ok(response) => match Outcome::of(&response) {
                    Some(outcome) if self.again(&call, outcome, tries, replayable) => continue,
                    _ => return Ok(response),
                },
                Err(refusal) => refusal,
            };
            let expired = Instant::now() >= call.deadline;
            if expired || !replayable || !may_retry(outcome.outcome, call.idempotent, tries, rules)
            {
                return Err(outcome);
            }
        }
    }

    /// Returns whether a refusal of the gate is followed by another try.
    fn again(&self, call: &Call, outcome: Outcome, tries: u32, replayable: bool) -> bool {
        let rules = &call.route.route.rules;
        replayable
            && Instant::now() < call.deadline
            && may_retry(outcome, call.idempotent, tries, rules)
    }

    async fn try_once(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: Arc<Upstream>,
        body: Body,
    ) -> Result<Response<Body>, Refusal> {
        let request = self.for_gate(call, pool, &upstream, body)?;
        let in_flight = InFlight::new(Arc::clone(&upstream));
        let sent = self.links.send(upstream.gate, request);
        let response = timeout_at(call.deadline, sent).await.map_err(|_| {
            let message = "no answer came before the deadline; the call may have run";
            Refusal::unknown(RefusalKind::Deadline, message)
        })??;
        Ok(response.map(|body| Holding::wrap(boxed(body), in_flight)))
    }

    /// Returns the request as the gate gets it.
    fn for_gate(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Upstream,
        body: Body,
    ) -> Result<Request<Body>, Refusal> {
        let bad = |_| Refusal::not_run(RefusalKind::BadRequest, "the request cannot be sent on");
        let path = call
            .parts
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let host = match host_header(&call.parts) {
            Some(host) => host.to_owned(),
            None => upstream.gate.to_string(),
        };
        let uri = Uri::builder()
            .scheme("http")
            .authority(host)
            .path_and_query(path);
        let mut request = Request::builder()
            .method(call.parts.method.clone())
            .uri(uri.build().map_err(bad)?)
            .version(http::Version::HTTP_2)
            .body(body)
            .map_err(bad)?;
        let headers = request.headers_mut();
        *headers = call.parts.headers.clone();
        headers.remove(HOST);
        let left = call.deadline.saturating_duration_since(Instant::now());
        headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
        let service = HeaderValue::from_str(pool.service.name.as_str());
        headers.insert(SERVICE, service.map_err(|error| bad(error.into()))?);
        let key = HeaderValue::from_str(self.key.expose());
        headers.insert(FLEET_KEY, key.map_err(|error| bad(error.into()))?);
        Ok(request)
    }
}

/// Returns the call's id, or a new one.
fn request_id(request: &Request<Incoming>) -> HeaderValue {
    if let Some(id) = request.headers().get(REQUEST_ID) {
        return id.clone();
    }
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

fn check_size(body: &Incoming, route: &RouteTable) -> Result<(), Refusal> {
    let limit = route.route.rules.body_limit;
    if body.size_hint().lower() <= limit.get() {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalKind::TooLarge,
        format!("the body is over the route's limit of {limit}"),
    ))
}

fn no_upstream(pool: &PoolTable) -> Refusal {
    Refusal::not_run(
        RefusalKind::NoUpstream,
        format!(
            "no upstream of service `{}` takes calls now; try again later",
            pool.service.name
        ),
    )
}
