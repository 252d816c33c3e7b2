//! Dispatches a call: attempts one upstream after another.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::{Fingerprint, Secret, ServiceName};
use slog::{Logger, info};
use table::{PoolTable, Upstream};
use tokio::time::{Instant, timeout_at};

use crate::backup::{self, Timing};
use crate::body::{Body, GuardedBody, boxed, empty};
use crate::bounds::timed;
use crate::budget::{self, Budgets};
use crate::gate_connections::GateConnections;
use crate::header::{LOAD, RESERVATION, number};
use crate::health::CallResult;
use crate::live_stream::ActivityGuard;
use crate::payload::Payload;
use crate::quarantine;
use crate::request::{Call, GateRequest};
use crate::retry::may_retry;
use crate::selection::{Next, Selection, Wait};
use crate::statements::Notices;
use crate::upstream_tracker::{Site, UpstreamTracker};
use crate::{Crashes, Metrics, Outcome, Refusal, RefusalKind, choose};

/// Time after the deadline during which the gate's response or refusal is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);

/// Timeout of a reservation that may not queue: several round trips between failure domains, plus
/// scheduling delay on a busy processor.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a reservation that may queue: the gate's maximum queueing time plus the round trip.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest response that is buffered before it is forwarded, in bytes. A buffered response that
/// breaks off can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Expected wait at a full gate that reports none.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);

/// Counts a call as in flight until the end of its response.
struct InFlight(Arc<Upstream>);

impl InFlight {
    fn new(upstream: Arc<Upstream>) -> Self {
        upstream.stats.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(upstream)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.stats.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of an attempt: the upstream's response or a refusal.
type AttemptResult = Result<Response<Body>, Refusal>;

/// Sender of a daemon's calls.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    /// Failure domain and region of the daemon.
    pub(crate) site: Site,
    /// Service of the VM, if known; stated to upstreams as the caller.
    pub(crate) service: Option<ServiceName>,
    /// Shared key of the fleet.
    pub(crate) key: Secret,
    /// Retries that all daemons together may make at once for each service.
    pub(crate) retry_slack: Option<u32>,
}

/// Sends calls to the gates of upstreams.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    origin: Origin,
    connections: GateConnections,
    tracker: UpstreamTracker,
    budgets: Budgets,
    notices: Notices,
    crashes: Arc<Crashes>,
    metrics: Metrics,
    log: Logger,
}

/// State of a call's attempts.
#[derive(Debug, Default)]
struct Progress {
    selection: Selection,
    /// Attempts that reached an upstream.
    arrivals: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
}

impl Progress {
    fn new(large_response: bool) -> Self {
        Self {
            selection: Selection::new(large_response),
            ..Self::default()
        }
    }
}

impl Dispatcher {
    /// Returns a dispatcher for calls from `origin`.
    pub(crate) fn new(
        origin: Origin,
        crashes: Arc<Crashes>,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            origin,
            connections: GateConnections::default(),
            tracker: UpstreamTracker::default(),
            budgets: Budgets::default(),
            notices: Notices::default(),
            crashes,
            metrics,
            log,
        }
    }

    /// Returns whether the daemons of the fleet share one retry allowance.
    pub(crate) fn shares_retry_allowance(&self) -> bool {
        self.origin.retry_slack.is_some()
    }

    /// Returns the fingerprint of a call from this daemon.
    pub(crate) fn fingerprint(&self, call: &Call, payload: &Payload) -> Fingerprint {
        call.fingerprint(self.origin.service.as_ref(), payload.content())
    }

    /// Returns whether upstreams crashed under `request`.
    pub(crate) fn is_suspect(&self, request: Fingerprint) -> bool {
        self.crashes.is_suspect(request)
    }

    /// Selects a pool and attempts its upstreams in turn while the route's rules and the retry budget
    /// allow it.
    pub(crate) async fn send(&self, call: &Call, payload: Payload) -> AttemptResult {
        quarantine::check(&self.crashes, call.fingerprint)?;
        let index = choose::pool(&call.route, &mut rand::rng());
        let pool = call.snapshot.pool(index);
        let result = self.send_to(call, pool, payload).await;
        let labels = [pool.service.name.as_str()];
        let left = self.budgets.left(&pool.service);
        let gauge = self.metrics.retry_budget.with_label_values(&labels);
        gauge.set(i64::from(left));
        result
    }

    async fn send_to(&self, call: &Call, pool: &PoolTable, mut payload: Payload) -> AttemptResult {
        if let Some(slack) = self.origin.retry_slack {
            let capacity = budget::share(slack, call.live_daemons);
            self.budgets.resize(&pool.service, capacity);
        }
        self.budgets.earn(&pool.service);
        let mut progress = Progress::new(call.route.route.rules.large_response);
        let mut last: Option<Refusal> = None;
        while let Some((upstream, wait)) = self.next_upstream(pool, &progress.selection) {
            if progress.arrivals > 0 && !self.budgets.spend(&pool.service) {
                break;
            }
            progress.selection.record_attempt(wait);
            let result = self
                .attempt_with_backup(call, pool, (&upstream, wait), &mut payload, &mut progress)
                .await;
            let refusal = match result {
                Ok(response) => {
                    self.log_response(call, &upstream, &progress, response.status());
                    return Ok(response);
                }
                Err(refusal) => refusal,
            };
            if payload.exceeded_limit() {
                return Err(body_too_large(call, refusal.outcome, progress.may_have_run));
            }
            self.record_refusal(&mut progress, pool, &upstream, wait, &refusal);
            let can_retry = self.can_retry(call, &payload, &refusal, progress.arrivals);
            self.log_refusal(call, &upstream, &progress, &refusal, can_retry);
            last = Some(refusal);
            if !can_retry {
                break;
            }
            let service = pool.service.name.as_str();
            self.metrics.retries.with_label_values(&[service]).inc();
        }
        Err(final_refusal(
            last.unwrap_or_else(|| no_upstream(pool)),
            progress.may_have_run,
        ))
    }

    /// Updates the progress and the retry budget after a refused attempt.
    fn record_refusal(
        &self,
        progress: &mut Progress,
        pool: &PoolTable,
        upstream: &Upstream,
        allowed: Wait,
        refusal: &Refusal,
    ) {
        if refusal.reached_upstream() {
            progress.arrivals += 1;
        } else if progress.arrivals > 0 {
            self.budgets.refund(&pool.service);
        }
        progress.may_have_run |= refusal.outcome != Outcome::NotRun;
        let vm = upstream.vm.clone();
        match refusal.kind {
            RefusalKind::Overloaded => {
                let wait = refusal.retry_delay.unwrap_or(DEFAULT_WAIT);
                progress.selection.record_full(vm, allowed, wait);
            }
            _ => progress.selection.exclude(vm),
        }
    }

    /// Logs a response that is a server error or misses the route's latency objective.
    fn log_response(
        &self,
        call: &Call,
        upstream: &Upstream,
        progress: &Progress,
        status: StatusCode,
    ) {
        let late = call.late_by(Instant::now());
        let message = match late {
            _ if status.is_server_error() => "upstream failed",
            Some(_) => "call answered late",
            None => return,
        };
        info!(self.log, "{}", message; "request" => call.id(), "route" => call.route_name(),
            "version" => %call.snapshot.version, "upstream" => %upstream.vm,
            "status" => status.as_u16(), "tries" => progress.selection.attempts(),
            "arrivals" => progress.arrivals + 1, "took_ms" => call.elapsed_ms(),
            "late_ms" => late.map(|late| late.as_millis() as u64),
            "time_left_ms" => call.time_left_ms());
    }

    /// Logs a failed attempt, except where the gate merely had no free slot.
    fn log_refusal(
        &self,
        call: &Call,
        upstream: &Upstream,
        progress: &Progress,
        refusal: &Refusal,
        can_retry: bool,
    ) {
        if refusal.kind == RefusalKind::Overloaded {
            return;
        }
        info!(self.log, "try failed"; "request" => call.id(), "route" => call.route_name(),
            "version" => %call.snapshot.version, "upstream" => %upstream.vm,
            "incarnation" => %upstream.incarnation, "kind" => refusal.kind.as_str(),
            "outcome" => %refusal.outcome, "reason" => &refusal.message,
            "tries" => progress.selection.attempts(), "arrivals" => progress.arrivals,
            "time_left_ms" => call.time_left_ms(), "tried_again" => can_retry);
    }

    /// Returns whether a refused attempt may be retried.
    fn can_retry(&self, call: &Call, payload: &Payload, refusal: &Refusal, arrivals: u32) -> bool {
        let rules = &call.route.route.rules;
        payload.is_replayable()
            && Instant::now() < call.deadline
            && quarantine::check(&self.crashes, call.fingerprint).is_ok()
            && may_retry(refusal, call.idempotent, arrivals, rules)
    }

    fn next_upstream(
        &self,
        pool: &PoolTable,
        selection: &Selection,
    ) -> Option<(Arc<Upstream>, Wait)> {
        let slow_start = pool.service.slow_start;
        let candidates = self
            .tracker
            .candidates(&pool.upstreams, &self.origin.site, slow_start);
        let vms: Vec<_> = pool.upstreams.iter().map(|upstream| &upstream.vm).collect();
        let Next::Attempt { index, wait } = selection.next(&vms, &candidates, &mut rand::rng())
        else {
            return None;
        };
        let upstream = Arc::clone(&pool.upstreams[index]);
        self.tracker.record_call(&upstream);
        Some((upstream, wait))
    }

    /// Makes an attempt at `upstream`, and one at another upstream if it is silent; returns the first
    /// response. Only a call that may run more than once has a second attempt.
    async fn attempt_with_backup(
        &self,
        call: &Call,
        pool: &PoolTable,
        (upstream, wait): (&Arc<Upstream>, Wait),
        payload: &mut Payload,
        progress: &mut Progress,
    ) -> AttemptResult {
        let copy = if call.idempotent {
            payload.copy()
        } else {
            None
        };
        let Some(mut copy) = copy else {
            return self.attempt(call, pool, upstream, wait, payload).await;
        };
        let timing = Timing {
            sent: Instant::now(),
            objective: call.objective,
            deadline: call.deadline,
            usual: self.tracker.usual_latency(&call.route.route.name),
        };
        let first = self.attempt(call, pool, upstream, wait, payload);
        let Some(due) = backup::due(&timing) else {
            return first.await;
        };
        let mut first = pin!(first);
        if let Ok(result) = timeout_at(due, &mut first).await {
            return result;
        }
        let Some(other) = self.backup_for(call, pool, upstream, progress) else {
            return first.await;
        };
        info!(self.log, "upstream silent, another tried"; "request" => call.id(),
            "route" => call.route_name(), "upstream" => %upstream.vm, "other" => %other.vm,
            "took_ms" => call.elapsed_ms(), "time_left_ms" => call.time_left_ms());
        let second = self.attempt(call, pool, &other, Wait::Never, &mut copy);
        let mut second = pin!(second);
        let refusal = tokio::select! {
            result = &mut first => match result {
                Ok(response) => return Ok(response),
                Err(_) => return second.await,
            },
            result = &mut second => match result {
                Ok(response) => {
                    let unanswered = CallResult::Unanswered(timing.sent.elapsed());
                    let route = &call.route.route.name;
                    self.tracker.observe(&pool.upstreams, upstream, route, unanswered, None);
                    return Ok(response);
                }
                Err(refusal) => refusal,
            },
        };
        self.record_refusal(progress, pool, &other, Wait::Never, &refusal);
        first.await
    }

    /// Returns the upstream for a second attempt of a call whose first has got no answer from `silent`, if
    /// the route's rules and the retry budget allow one.
    fn backup_for(
        &self,
        call: &Call,
        pool: &PoolTable,
        silent: &Upstream,
        progress: &mut Progress,
    ) -> Option<Arc<Upstream>> {
        // The silent attempt counts as one that reached its upstream.
        if progress.arrivals >= call.route.route.rules.retries {
            return None;
        }
        let mut selection = progress.selection.clone();
        selection.exclude(silent.vm.clone());
        let (other, _) = self.next_upstream(pool, &selection)?;
        if !self.budgets.spend(&pool.service) {
            return None;
        }
        progress.arrivals += 1;
        progress.may_have_run = true;
        progress.selection.record_attempt(Wait::Never);
        Some(other)
    }

    /// Makes one attempt at `upstream` and records its result in the upstream's health.
    ///
    /// A call that may run only once, or that has a large body, reserves a slot first. An attempt that
    /// is lost before the reservation succeeds is then known not to have run, and the body is sent to
    /// one gate only.
    async fn attempt(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        wait: Wait,
        payload: &mut Payload,
    ) -> AttemptResult {
        let started = Instant::now();
        let mut load = None;
        let request = match call.idempotent && !payload.is_large() {
            true => Ok(GateRequest::Call { wait }),
            false => self.reserve(call, pool, upstream, wait).await,
        };
        let result = match request {
            Ok(request) => match payload.take() {
                Some(body) => {
                    self.forward(call, pool, upstream, request, body, &mut load)
                        .await
                }
                None => Err(Refusal::not_run(
                    RefusalKind::Broken,
                    "the request's body was sent before and cannot be sent again",
                )),
            },
            Err(refusal) => Err(refusal),
        };
        if let Some(request) = call.fingerprint {
            match &result {
                Ok(_) => self.crashes.acquit(request),
                Err(refusal) => quarantine::learn(&self.crashes, request, refusal),
            }
        }
        let observed = call_result(&result, started);
        let route = &call.route.route.name;
        let ejected = self
            .tracker
            .observe(&pool.upstreams, upstream, route, observed, load);
        if let Some(stats) = ejected {
            info!(self.log, "upstream set aside"; "request" => call.id(),
                "upstream" => %upstream.vm, "service" => pool.service.name.as_str(),
                "failures" => format!("{:.2}", stats.failure_rate), "streak" => stats.streak,
                "pace" => format!("{:.2}", stats.relative_latency), "samples" => stats.samples);
        }
        result
    }

    /// Reserves a slot for the call.
    async fn reserve(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        wait: Wait,
    ) -> Result<GateRequest, Refusal> {
        let reserve = GateRequest::Reserve { wait };
        let mut request = call.to_gate_request(pool, upstream, &self.origin, &reserve, empty())?;
        self.notices.send(&upstream.vm, request.headers_mut());
        quarantine::write(&self.crashes, call.fingerprint, request.headers_mut());
        let timeout = match wait {
            Wait::Fully => QUEUE_TIMEOUT,
            Wait::Never | Wait::Briefly => PROBE_TIMEOUT,
        };
        let until = call.deadline.min(Instant::now() + timeout);
        let sent = self.connections.send(upstream.gate, request);
        let received = timeout_at(until, sent).await.unwrap_or_else(|_| {
            let message = "the gate did not answer in time; try again";
            Err(Refusal::not_run(RefusalKind::Unreachable, message))
        });
        // An unused reservation expires at the gate; the call itself has not been sent.
        let (mut response, _active) =
            received.map_err(|refusal| Refusal::not_run(refusal.kind, refusal.message))?;
        self.notices.receive(&upstream.vm, response.headers_mut());
        if let Some(refusal) = Refusal::of(&response) {
            return Err(refusal);
        }
        let reservation = response.headers().get(RESERVATION).cloned();
        reservation.map(GateRequest::Redeem).ok_or_else(|| {
            let message = "the gate holds no slots; check that both daemons run one release";
            Refusal::not_run(RefusalKind::Unreachable, message)
        })
    }

    /// Forwards the call to the gate of `upstream`.
    async fn forward(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        kind: GateRequest,
        body: Body,
        load: &mut Option<u64>,
    ) -> AttemptResult {
        let mut request = call.to_gate_request(pool, upstream, &self.origin, &kind, body)?;
        self.notices.send(&upstream.vm, request.headers_mut());
        quarantine::write(&self.crashes, call.fingerprint, request.headers_mut());
        let until = call.deadline + RESPONSE_GRACE;
        let in_flight = InFlight::new(Arc::clone(upstream));
        call.sent.mark();
        let sent = self.connections.send(upstream.gate, request);
        let received = timeout_at(until, sent)
            .await
            .unwrap_or_else(|_| Err(deadline_passed()));
        let (mut response, active) = received?;
        *load = number(response.headers(), &LOAD);
        response.headers_mut().remove(LOAD);
        self.notices.receive(&upstream.vm, response.headers_mut());
        match Refusal::of(&response) {
            Some(refusal) => Err(refusal),
            None => buffer_small(response, until, (in_flight, active)).await,
        }
    }
}

/// Buffers a small response; a larger one is streamed.
async fn buffer_small(
    response: Response<Incoming>,
    until: Instant,
    guards: (InFlight, ActivityGuard),
) -> AttemptResult {
    let size = response.body().size_hint().exact();
    if size.is_none_or(|size| size > MAX_BUFFERED_BYTES) {
        return Ok(response.map(|body| timed(GuardedBody::wrap(boxed(body), guards), until)));
    }
    let (parts, body) = response.into_parts();
    match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => Ok(Response::from_parts(parts, boxed(body))),
        Ok(Err(error)) => {
            let message = format!("the upstream's answer broke off ({error}); the call has run");
            Err(Refusal::unknown(RefusalKind::Broken, message))
        }
        Err(_) => Err(deadline_passed()),
    }
}

fn deadline_passed() -> Refusal {
    let message = "no answer came before the deadline; the call may have run";
    Refusal::unknown(RefusalKind::Deadline, message)
}

/// Returns the refusal reported to the caller. The outcome is unknown if an earlier attempt may have
/// run.
fn final_refusal(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refusal.outcome == Outcome::NotRun {
        let message = "the last try was refused, but an earlier one may have run";
        return Refusal::unknown(RefusalKind::Broken, message);
    }
    refusal
}

/// Classifies the result of an attempt for the upstream's health.
fn call_result(result: &AttemptResult, started: Instant) -> CallResult {
    match result {
        Ok(response) if response.status().is_server_error() => CallResult::Failure,
        Ok(_) => CallResult::Success(started.elapsed()),
        Err(refusal) => match refusal.kind {
            RefusalKind::Overloaded => {
                CallResult::Full(refusal.retry_delay.unwrap_or(DEFAULT_WAIT))
            }
            RefusalKind::Leaving => CallResult::Leaving,
            RefusalKind::Deadline
            | RefusalKind::Unreachable
            | RefusalKind::Rejected
            | RefusalKind::Misdirected
            | RefusalKind::Garbled
            | RefusalKind::Broken => CallResult::Failure,
            _ => CallResult::Success(started.elapsed()),
        },
    }
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

/// Returns the refusal of a call whose streamed body exceeded the limit. The outcome is unknown if an
/// earlier attempt may have run.
fn body_too_large(call: &Call, outcome: Outcome, may_have_run: bool) -> Refusal {
    let limit = call.route.route.rules.body_limit;
    let message = format!("the body went over the route's limit of {limit}; send less");
    match outcome {
        Outcome::NotRun if !may_have_run => Refusal::not_run(RefusalKind::TooLarge, message),
        _ => Refusal::unknown(RefusalKind::TooLarge, message),
    }
}
