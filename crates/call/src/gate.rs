//! The gate in front of an upstream: admits calls and forwards them to it.

mod crash;
mod statements;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;
use model::{ConnectionLimits, Fingerprint, Rate, RouteName, Secret, Size, lock};
use prometheus::IntGauge;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::admission::{self, Admission, Refused, Slot};
use crate::backend::{Announcement, Backend, Readiness};
use crate::body::{Body, GuardedBody, boxed, empty};
use crate::bounds::timed;
use crate::closing::Closing;
use crate::connections::{Connections, InUse};
use crate::dialect::{Dialect, ResponseCheck};
use crate::forward::{deadline, for_upstream, reservation, route};
use crate::header::{
    BODY, FLEET_KEY, KEY, NOTICE, OBJECTIVE, RESERVATION, RESERVE, SERVICE, number,
    remove_hop_by_hop, remove_internal,
};
use crate::keys::{Claim, KeyStatus, Keys, Registration};
use crate::limit::Reply;
use crate::payload::SMALL_LIMIT;
use crate::quarantine;
use crate::queue::ShedReason;
use crate::request::{priority, wait};
use crate::reserve::{ReservationId, Reservations};
use crate::running::RunningCalls;
use crate::selection::Wait;
use crate::serve::{Server, ServerError};
use crate::uplink::Uplink;
use crate::{Crashes, Metrics, Outcome, Refusal, RefusalKind};

/// Time after the deadline during which a response of the upstream is still accepted.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// Mean size of a route's responses above which they are admitted at the rate of the VM's link.
const LARGE_RESPONSE: Size = Size::new(32 << 10);

/// The gate in front of an upstream.
#[derive(Debug)]
pub struct Gate {
    backend: Arc<Backend>,
    admission: Admission,
    keys: Keys,
    crashes: Arc<Crashes>,
    running_calls: RunningCalls,
    /// Held by the suspect that the upstream runs, at most one at a time.
    suspect_turn: Arc<Semaphore>,
    connections: Arc<Connections>,
    reservations: Reservations<Running>,
    /// Link of the VM, as loaded by request bodies.
    uplink: Mutex<Uplink>,
    /// Link of the VM, as loaded by responses.
    downlink: Mutex<Uplink>,
    closing: Closing,
    /// Whether the last response stated a call limit that cannot be read.
    limit_unreadable: AtomicBool,
    key: Secret,
    dialect: Arc<dyn Dialect>,
    metrics: Metrics,
    log: Logger,
}

/// Held until the response body ends. Fields drop in order: the connection is returned before the slot.
struct CallGuards {
    _in_use: InUse,
    _running: Running,
}

/// A call in flight at the upstream.
#[derive(Debug)]
struct Running {
    slot: Slot,
    /// Held if the call's request is a suspect.
    _turn: Option<OwnedSemaphorePermit>,
    in_flight: IntGauge,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.in_flight.dec();
    }
}

impl Gate {
    /// Returns the gate in front of `backend` for the fleet with `key`.
    ///
    /// Requests to the upstream use `dialect`; large bodies are admitted at the rate of `link`. Crashes of the upstream are
    /// recorded in `crashes`.
    pub fn open(
        backend: Arc<Backend>,
        key: Secret,
        link: Option<Rate>,
        dialect: Arc<dyn Dialect>,
        crashes: Arc<Crashes>,
        metrics: Metrics,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            backend,
            admission: Admission::new(),
            keys: Keys::default(),
            crashes,
            running_calls: RunningCalls::default(),
            suspect_turn: Arc::new(Semaphore::new(1)),
            connections: Arc::default(),
            reservations: Reservations::default(),
            uplink: Mutex::new(Uplink::new(link, Instant::now())),
            downlink: Mutex::new(Uplink::new(link, Instant::now())),
            closing: Closing::default(),
            limit_unreadable: AtomicBool::new(false),
            key,
            dialect,
            metrics,
            log,
        })
    }

    /// Serves the gate on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn spawn(self: &Arc<Self>, listener: TcpListener) -> Result<Server, ServerError> {
        let gate = Arc::clone(self);
        let log = self.log.clone();
        Server::spawn(listener, ConnectionLimits::default, log, move |request| {
            let gate = Arc::clone(&gate);
            async move {
                let has_notice = request.headers().contains_key(NOTICE);
                let result = gate.handle(request).await;
                let mut response = result.unwrap_or_else(|refusal| {
                    gate.metrics.count_refusal(&refusal);
                    refusal.to_daemon()
                });
                gate.write_status(response.headers_mut(), has_notice);
                response
            }
        })
    }

    /// Admits a call and forwards it to the upstream.
    async fn handle(&self, request: Request<Body>) -> Result<Response<Body>, Refusal> {
        self.check_key(request.headers())?;
        let deadline = deadline(request.headers());
        self.read_notice(request.headers());
        self.check_backend(request.headers())?;
        let route = route(request.headers());
        let fingerprint = quarantine::read(&self.crashes, request.headers());
        quarantine::check(&self.crashes, fingerprint)?;
        if request.headers().contains_key(RESERVE) {
            return self
                .reserve(request.headers(), route.as_ref(), fingerprint, deadline)
                .await;
        }
        let mut claim = self.claim(request.headers())?;
        let (running, announced) = match reservation(request.headers()) {
            Some(id) => self.redeem(id, request.headers())?,
            None => {
                self.admit(request.headers(), route.as_ref(), fingerprint, deadline)
                    .await?
            }
        };
        // The request may have crashed another upstream while it waited for a slot.
        quarantine::check(&self.crashes, fingerprint)?;
        let request = for_upstream(request, &announced, &*self.dialect, deadline);
        let id = request
            .headers()
            .get(self.dialect.request_id_header())
            .cloned();
        set_status(&mut claim, Some(KeyStatus::Unknown));
        let run = fingerprint.map(|request| self.running_calls.enter(&announced, request));
        let started = Instant::now();
        let until = deadline + RESPONSE_GRACE;
        let max_idle = announced.connections.min(announced.slots) as usize;
        let sent = self
            .connections
            .send(announced.address, max_idle, request, until)
            .await;
        let sent = sent.and_then(|sent| self.check_response(sent, id.as_ref(), &announced));
        let (mut response, in_use) = match sent {
            Ok(sent) => sent,
            Err(refusal) => {
                let refusal = self
                    .attribute_crash(refusal, &announced, run.as_ref(), id.as_ref())
                    .await;
                if refusal.outcome == Outcome::NotRun {
                    set_status(&mut claim, None);
                }
                let reply = match refusal.kind {
                    RefusalKind::Deadline => Some(Reply::TimedOut),
                    RefusalKind::Rejected => Some(Reply::Refused),
                    _ => None,
                };
                if let Some(reply) = reply {
                    let latency = started.elapsed();
                    running.slot.observe(route.as_ref(), latency, reply);
                }
                return Err(refusal);
            }
        };
        set_status(&mut claim, Some(KeyStatus::Ran));
        if let Some(request) = fingerprint {
            self.crashes.acquit(request);
        }
        self.metrics.observe_stage("upstream", started.elapsed());
        running
            .slot
            .observe(route.as_ref(), started.elapsed(), reply(response.status()));
        if let Some((route, size)) = route.as_ref().zip(response.body().size_hint().exact()) {
            self.admission.record_response(route, Size::new(size));
        }
        remove_hop_by_hop(response.headers_mut());
        remove_internal(response.headers_mut());
        let guards = CallGuards {
            _in_use: in_use,
            _running: running,
        };
        Ok(response.map(|body| timed(GuardedBody::wrap(boxed(body), guards), until)))
    }

    /// Returns the response if the dialect accepts it, otherwise the refusal that replaces it. A connection
    /// that delivered the response of another request, or one that names no request, is not reused.
    fn check_response(
        &self,
        (response, mut in_use): (Response<Incoming>, InUse),
        id: Option<&HeaderValue>,
        announced: &Announcement,
    ) -> Result<(Response<Incoming>, InUse), Refusal> {
        let (parts, body) = response.into_parts();
        let check = self.dialect.check_response(id, &parts);
        if !self.dialect.names_request(&parts.headers) {
            in_use.discard();
        }
        if matches!(check, ResponseCheck::Accepted | ResponseCheck::Rejected) {
            self.read_statement(announced, &parts.headers);
        }
        let Some(refusal) = check.refusal() else {
            return Ok((Response::from_parts(parts, body), in_use));
        };
        match check {
            ResponseCheck::Misdirected => {
                // The connection leads to another upstream.
                in_use.discard();
                self.backend.forget(announced.instance.as_ref());
            }
            ResponseCheck::Mismatched(_) => in_use.discard(),
            ResponseCheck::Accepted | ResponseCheck::Rejected => {}
        }
        Err(refusal)
    }

    /// Reserves a slot for a call that follows.
    async fn reserve(
        &self,
        headers: &HeaderMap,
        route: Option<&RouteName>,
        request: Option<Fingerprint>,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        self.admit_body(headers)?;
        let (running, _) = self.admit(headers, route, request, deadline).await?;
        let id = self.reservations.hold(running).to_string();
        let mut response = Response::new(empty());
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(RESERVATION, id);
        }
        Ok(response)
    }

    /// Refuses a large body while other bodies fill the VM's link.
    fn admit_body(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let size = number(headers, &BODY).map(Size::new);
        if size.is_some_and(|size| size <= SMALL_LIMIT) {
            return Ok(());
        }
        let mut uplink = lock(&self.uplink);
        uplink.admit(size, Instant::now()).map_err(|retry_delay| {
            let message = "the link to the upstream's VM is full of other bodies; try again later";
            Refusal::not_run(RefusalKind::Overloaded, message).with_retry_delay(retry_delay)
        })
    }

    /// Refuses a call whose response is large while other responses fill the VM's link.
    fn admit_response(&self, route: Option<&RouteName>) -> Result<(), Refusal> {
        let size = route.and_then(|route| self.admission.response_size(route));
        let Some(size) = size.filter(|size| *size > LARGE_RESPONSE) else {
            return Ok(());
        };
        let mut downlink = lock(&self.downlink);
        downlink
            .admit(Some(size), Instant::now())
            .map_err(|retry_delay| {
                let message =
                    "the link from the upstream's VM is full of other responses; try again later";
                Refusal::not_run(RefusalKind::Overloaded, message).with_retry_delay(retry_delay)
            })
    }

    /// Takes the slot that was reserved for a call.
    fn redeem(
        &self,
        id: ReservationId,
        headers: &HeaderMap,
    ) -> Result<(Running, Announcement), Refusal> {
        let announced = self.check_backend(headers)?;
        let running = self.reservations.take(id).ok_or_else(|| {
            let message = "the slot held for the call has lapsed; try again";
            Refusal::not_run(RefusalKind::Overloaded, message)
        })?;
        Ok((running, announced))
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

    /// Refuses further calls, and those that wait for a slot, as not run; other gates may take them at once.
    pub fn refuse_calls(&self) {
        self.closing.refuse_calls(None);
    }

    /// Returns the upstream's announcement if it accepts calls for the requested service.
    fn check_backend(&self, headers: &HeaderMap) -> Result<Announcement, Refusal> {
        self.closing.check()?;
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

    /// Claims the key of a call that may run only once, or refuses a duplicate.
    fn claim(&self, headers: &HeaderMap) -> Result<Option<Claim>, Refusal> {
        let Some(key) = headers.get(KEY) else {
            return Ok(None);
        };
        self.keys.claim(key.as_bytes()).map(Some).map_err(duplicate)
    }

    /// Waits for a slot while the upstream accepts calls, and before that for its turn if `request` is a suspect.
    async fn admit(
        &self,
        headers: &HeaderMap,
        route: Option<&RouteName>,
        request: Option<Fingerprint>,
        deadline: Instant,
    ) -> Result<(Running, Announcement), Refusal> {
        let turn = self.suspect_turn(headers, request).await?;
        let mut announced = self.check_backend(headers)?;
        self.admission
            .resize(announced.slots.min(announced.connections));
        let objective = number(headers, &OBJECTIVE).map(Duration::from_millis);
        let call = admission::Request {
            route,
            priority: priority(headers),
            deadline,
            objective: objective.map(|left| Instant::now() + left),
            brief: wait(headers) == Wait::Briefly,
        };
        if wait(headers) == Wait::Never {
            // Not logged: without a free slot here, the ingress queries another gate.
            let slot = self.admission.try_enter(&call).map_err(to_refusal)?;
            self.admit_response(route)?;
            return Ok((self.running(slot, turn), announced));
        }
        let arrived = Instant::now();
        let entered = self.admission.enter(&call);
        let mut entered = std::pin::pin!(entered);
        let slot = loop {
            tokio::select! {
                biased;
                slot = &mut entered => break slot.map_err(|refused| {
                    // The ingress asks another gate if the call was to queue here only briefly.
                    if !call.brief {
                        self.log_refused(headers, &call, &refused);
                    }
                    to_refusal(refused)
                })?,
                () = self.closing.refused() => self.closing.check()?,
                // A draining upstream accepts none of the queued calls.
                () = self.backend.changed(Some(&announced)) => {
                    announced = self.check_backend(headers)?;
                }
            }
        };
        self.metrics.observe_stage("waiting", arrived.elapsed());
        let running = self.running(slot, turn);
        let announced = self.check_backend(headers)?;
        self.admit_response(route)?;
        Ok((running, announced))
    }

    fn log_refused(&self, headers: &HeaderMap, call: &admission::Request<'_>, refused: &Refused) {
        let now = Instant::now();
        let millis = |time: Duration| time.as_millis() as u64;
        let left = |until: Instant| millis(until.saturating_duration_since(now));
        info!(self.log, "call not admitted";
            "request" => headers.get(self.dialect.request_id_header()).and_then(|id| id.to_str().ok()),
            "route" => call.route.map(RouteName::as_str),
            "priority" => ?call.priority,
            "reason" => ?refused.shed,
            "running" => refused.occupancy.running,
            "waiting" => refused.occupancy.waiting,
            "limit" => refused.occupancy.limit,
            "wait_ms" => millis(refused.wait),
            "work_ms" => refused.service_time.map(millis),
            "aim_left_ms" => call.objective.map(left),
            "time_left_ms" => left(call.deadline));
    }

    fn running(&self, slot: Slot, turn: Option<OwnedSemaphorePermit>) -> Running {
        self.metrics.in_flight.inc();
        Running {
            slot,
            _turn: turn,
            in_flight: self.metrics.in_flight.clone(),
        }
    }
}

/// Converts an admission refusal, with the estimated queueing time as the retry delay.
fn to_refusal(refused: Refused) -> Refusal {
    let message = match refused.shed {
        ShedReason::Full => "the upstream's slots and queue are full; try again later",
        ShedReason::Deadline => {
            "the upstream has no slot free before the deadline; try again later"
        }
    };
    Refusal::not_run(RefusalKind::Overloaded, message).with_retry_delay(refused.wait)
}

/// Updates the status of a call that may run only once.
fn set_status(claim: &mut Option<Claim>, status: Option<KeyStatus>) {
    if let Some(claim) = claim {
        claim.set_status(status);
    }
}

/// Classifies a response by whether the upstream refused the call because of its load.
fn reply(status: StatusCode) -> Reply {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Reply::Refused,
        _ => Reply::Ran,
    }
}

fn duplicate(known: Registration) -> Refusal {
    match known {
        Registration::Known(KeyStatus::Ran) => Refusal::ran(
            RefusalKind::Duplicate,
            "a call with this key ran before; it is not run again",
        ),
        Registration::Known(KeyStatus::Running) => Refusal::unknown(
            RefusalKind::Duplicate,
            "a call with this key is under way; ask for its result later",
        ),
        Registration::Known(KeyStatus::Unknown) => Refusal::unknown(
            RefusalKind::Duplicate,
            "a call with this key was sent before and may have run; it is not run again",
        ),
        Registration::New | Registration::Full => Refusal::not_run(
            RefusalKind::Overloaded,
            "too many calls with keys are under way here; try again later",
        ),
    }
}
