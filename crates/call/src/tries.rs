//! The tries of one call, one upstream after the other.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Response, StatusCode};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use model::{Secret, ServiceName};
use slog::{Logger, info};
use table::{PoolTable, Upstream};
use tokio::time::{Instant, timeout_at};

use crate::body::{Body, Holding, boxed, empty};
use crate::bounds::timed;
use crate::budget::{self, Budgets};
use crate::gate_connections::GateConnections;
use crate::header::{LOAD, RESERVATION, number};
use crate::health::CallResult;
use crate::payload::Payload;
use crate::request::{Call, Step};
use crate::retry::may_retry;
use crate::selection::{Next, Selection};
use crate::upstream_stats::{Site, UpstreamStats};
use crate::{Metrics, Outcome, Refusal, RefusalKind, choose};

/// Time beyond the deadline in which the gate's word on it is still awaited.
const ANSWER_SLACK: Duration = Duration::from_millis(200);

/// Longest wait for a gate's word whether it has a slot free: several round trips between failure
/// domains, and a processor that is busy.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for a slot, the gate's own patience and the way.
const RESERVE_WAIT: Duration = Duration::from_millis(1_500);

/// Largest answer that is read whole before it is passed on, so that a broken one can be tried again,
/// in bytes.
const WHOLE_ANSWER: u64 = 64 << 10;

/// Wait that is expected of a full gate that states none.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

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

/// How a try ended: with the upstream's answer, or without.
type Tried = Result<Response<Body>, Refusal>;

/// Whom a daemon's calls come from.
#[derive(Debug, Clone)]
pub(crate) struct Origin {
    /// Where the daemon is.
    pub(crate) site: Site,
    /// Service of the VM, where calls name it.
    pub(crate) service: Option<ServiceName>,
    /// Key of the fleet.
    pub(crate) key: Secret,
    /// Retries that all daemons together may take at once for each service.
    pub(crate) retry_slack: Option<u32>,
}

/// Sends calls to the gates of upstreams.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    origin: Origin,
    links: GateConnections,
    watch: UpstreamStats,
    budgets: Budgets,
    metrics: Metrics,
    log: Logger,
}

/// What is known of a call's tries.
#[derive(Debug, Default)]
struct Progress {
    plan: Selection,
    /// Tries that reached an upstream.
    arrivals: u32,
    /// Whether one of them may have run.
    unsure: bool,
}

impl Dispatcher {
    /// Returns the dispatcher of a daemon at `origin`.
    pub(crate) fn new(origin: Origin, metrics: Metrics, log: Logger) -> Self {
        Self {
            origin,
            links: GateConnections::default(),
            watch: UpstreamStats::default(),
            budgets: Budgets::default(),
            metrics,
            log,
        }
    }

    /// Returns whether the daemons of the fleet share their retries.
    pub(crate) fn shares_retries(&self) -> bool {
        self.origin.retry_slack.is_some()
    }

    /// Tries one upstream after the other while the rules and the budget allow it.
    pub(crate) async fn send(&self, call: &Call, payload: Payload) -> Tried {
        let index = choose::pool(&call.route, &mut rand::rng());
        let pool = call.snapshot.pool(index);
        let tried = self.send_to(call, pool, payload).await;
        let labels = [pool.service.name.as_str()];
        let left = self.budgets.left(&pool.service);
        let gauge = self.metrics.budget.with_label_values(&labels);
        gauge.set(i64::from(left));
        tried
    }

    async fn send_to(&self, call: &Call, pool: &PoolTable, mut payload: Payload) -> Tried {
        if let Some(slack) = self.origin.retry_slack {
            let room = budget::share(slack, call.daemons);
            self.budgets.resize(&pool.service, room);
        }
        self.budgets.earn(&pool.service);
        let mut progress = Progress::default();
        let mut last: Option<Refusal> = None;
        while let Some((upstream, wait)) = self.choose(pool, &progress.plan) {
            if progress.arrivals > 0 && !self.budgets.spend(&pool.service) {
                break;
            }
            progress.plan.record_attempt(wait);
            let ended = self
                .try_once(call, pool, &upstream, wait, &mut payload)
                .await;
            let refusal = match ended {
                Ok(response) => {
                    self.log_answer(call, &upstream, &progress, response.status());
                    return Ok(response);
                }
                Err(refusal) => refusal,
            };
            if payload.overran() {
                return Err(overrun(call, refusal.outcome, progress.unsure));
            }
            self.learn(&mut progress, pool, &upstream, &refusal);
            let go_on = self.may_go_on(call, &payload, &refusal, progress.arrivals);
            self.log_refusal(call, &upstream, &progress, &refusal, go_on);
            last = Some(refusal);
            if !go_on {
                break;
            }
            let service = pool.service.name.as_str();
            self.metrics.retries.with_label_values(&[service]).inc();
        }
        Err(conclude(
            last.unwrap_or_else(|| no_upstream(pool)),
            progress.unsure,
        ))
    }

    /// Notes what a refused try tells.
    fn learn(
        &self,
        progress: &mut Progress,
        pool: &PoolTable,
        upstream: &Upstream,
        refusal: &Refusal,
    ) {
        if refusal.arrived() {
            progress.arrivals += 1;
        } else if progress.arrivals > 0 {
            self.budgets.refund(&pool.service);
        }
        progress.unsure |= refusal.outcome != Outcome::NotRun;
        let vm = upstream.vm.clone();
        match refusal.kind {
            RefusalKind::Overloaded => {
                let wait = refusal.pause.unwrap_or(UNKNOWN_WAIT);
                progress.plan.record_full(vm, wait);
            }
            _ => progress.plan.exclude(vm),
        }
    }

    /// Logs an answer that is not what its caller hoped for.
    fn log_answer(
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
            "status" => status.as_u16(), "tries" => progress.plan.attempts(),
            "arrivals" => progress.arrivals + 1, "took_ms" => call.age_ms(),
            "late_ms" => late.map(|late| late.as_millis() as u64),
            "time_left_ms" => call.left_ms());
    }

    /// Logs a try that failed. A gate without a free slot is asked and left without a line.
    fn log_refusal(
        &self,
        call: &Call,
        upstream: &Upstream,
        progress: &Progress,
        refusal: &Refusal,
        go_on: bool,
    ) {
        if refusal.kind == RefusalKind::Overloaded {
            return;
        }
        info!(self.log, "try failed"; "request" => call.id(), "route" => call.route_name(),
            "version" => %call.snapshot.version, "upstream" => %upstream.vm,
            "incarnation" => %upstream.incarnation, "kind" => refusal.kind.as_str(),
            "outcome" => %refusal.outcome, "reason" => &refusal.message,
            "tries" => progress.plan.attempts(), "arrivals" => progress.arrivals,
            "time_left_ms" => call.left_ms(), "tried_again" => go_on);
    }

    /// Returns whether a refused try may be followed by another.
    fn may_go_on(&self, call: &Call, payload: &Payload, refusal: &Refusal, arrivals: u32) -> bool {
        let rules = &call.route.route.rules;
        payload.is_replayable()
            && Instant::now() < call.deadline
            && may_retry(refusal, call.idempotent, arrivals, rules)
    }

    fn choose(&self, pool: &PoolTable, plan: &Selection) -> Option<(Arc<Upstream>, bool)> {
        let slow_start = pool.service.slow_start;
        let candidates = self
            .watch
            .candidates(&pool.upstreams, &self.origin.site, slow_start);
        let vms: Vec<_> = pool.upstreams.iter().map(|upstream| &upstream.vm).collect();
        let Next::Attempt { index, wait } = plan.next(&vms, &candidates, &mut rand::rng()) else {
            return None;
        };
        let upstream = Arc::clone(&pool.upstreams[index]);
        self.watch.record_call(&upstream);
        Some((upstream, wait))
    }

    /// Makes one try at `upstream`.
    ///
    /// A call that may run only once, and one with a large body, first has a slot held for it: so what
    /// is lost on the way to a gate is known not to have run, and a body is sent to one gate alone.
    async fn try_once(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        wait: bool,
        payload: &mut Payload,
    ) -> Tried {
        let started = Instant::now();
        let mut load = None;
        let step = match call.idempotent && !payload.is_large() {
            true => Ok(Step::Call { wait }),
            false => self.reserve(call, pool, upstream, wait).await,
        };
        let tried = match step {
            Ok(step) => match payload.take() {
                Some(body) => self.pass(call, pool, upstream, step, body, &mut load).await,
                None => Err(Refusal::not_run(
                    RefusalKind::Broken,
                    "the request's body was sent before and cannot be sent again",
                )),
            },
            Err(refusal) => Err(refusal),
        };
        let seen = seen(&tried, started);
        let route = &call.route.route.name;
        let aside = self
            .watch
            .observe(&pool.upstreams, upstream, route, seen, load);
        if let Some(aside) = aside {
            info!(self.log, "upstream set aside"; "request" => call.id(),
                "upstream" => %upstream.vm, "service" => pool.service.name.as_str(),
                "failures" => format!("{:.2}", aside.failure_rate), "streak" => aside.streak,
                "pace" => format!("{:.2}", aside.relative_latency), "samples" => aside.samples);
        }
        tried
    }

    /// Has a slot held for the call.
    async fn reserve(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        wait: bool,
    ) -> Result<Step, Refusal> {
        let step = Step::Reserve { wait };
        let request = call.for_gate(pool, upstream, &self.origin, &step, empty())?;
        let limit = if wait { RESERVE_WAIT } else { RESERVE_TIMEOUT };
        let until = call.deadline.min(Instant::now() + limit);
        let sent = self.links.send(upstream.gate, request);
        let answered = timeout_at(until, sent).await.unwrap_or_else(|_| {
            let message = "the gate did not answer in time; try again";
            Err(Refusal::not_run(RefusalKind::Unreachable, message))
        });
        // A slot held and not used lapses; the call itself has not been sent.
        let response =
            answered.map_err(|refusal| Refusal::not_run(refusal.kind, refusal.message))?;
        if let Some(refusal) = Refusal::of(&response) {
            return Err(refusal);
        }
        let held = response.headers().get(RESERVATION).cloned();
        held.map(Step::Redeem).ok_or_else(|| {
            let message = "the gate holds no slots; check that both daemons run one release";
            Refusal::not_run(RefusalKind::Unreachable, message)
        })
    }

    /// Passes the call to the gate of `upstream`.
    async fn pass(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: &Arc<Upstream>,
        step: Step,
        body: Body,
        load: &mut Option<u64>,
    ) -> Tried {
        let request = call.for_gate(pool, upstream, &self.origin, &step, body)?;
        let until = call.deadline + ANSWER_SLACK;
        let in_flight = InFlight::new(Arc::clone(upstream));
        let sent = self.links.send(upstream.gate, request);
        let answered = timeout_at(until, sent)
            .await
            .unwrap_or_else(|_| Err(late()));
        let mut response = answered?;
        *load = number(response.headers(), &LOAD);
        response.headers_mut().remove(LOAD);
        match Refusal::of(&response) {
            Some(refusal) => Err(refusal),
            None => whole(response, until, in_flight).await,
        }
    }
}

/// Reads a small answer whole; a larger one streams through.
async fn whole(response: Response<Incoming>, until: Instant, in_flight: InFlight) -> Tried {
    let size = response.body().size_hint().exact();
    if size.is_none_or(|size| size > WHOLE_ANSWER) {
        return Ok(response.map(|body| timed(Holding::wrap(boxed(body), in_flight), until)));
    }
    let (parts, body) = response.into_parts();
    match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => Ok(Response::from_parts(parts, boxed(body))),
        Ok(Err(error)) => {
            let message = format!("the upstream's answer broke off ({error}); the call has run");
            Err(Refusal::unknown(RefusalKind::Broken, message))
        }
        Err(_) => Err(late()),
    }
}

fn late() -> Refusal {
    let message = "no answer came before the deadline; the call may have run";
    Refusal::unknown(RefusalKind::Deadline, message)
}

/// Returns the last word on a call; `unsure` says whether one of its tries may have run.
fn conclude(refusal: Refusal, unsure: bool) -> Refusal {
    if unsure && refusal.outcome == Outcome::NotRun {
        let message = "the last try was refused, but an earlier one may have run";
        return Refusal::unknown(RefusalKind::Broken, message);
    }
    refusal
}

/// Returns what a try tells of its upstream.
fn seen(tried: &Tried, started: Instant) -> CallResult {
    match tried {
        Ok(response) if response.status().is_server_error() => CallResult::Failure,
        Ok(_) => CallResult::Success(started.elapsed()),
        Err(refusal) => match refusal.kind {
            RefusalKind::Overloaded => CallResult::Full,
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

/// Describes a call whose body went over the limit on its way; `unsure` says whether an earlier
/// try may have run.
fn overrun(call: &Call, outcome: Outcome, unsure: bool) -> Refusal {
    let limit = call.route.route.rules.body_limit;
    let message = format!("the body went over the route's limit of {limit}; send less");
    match outcome {
        Outcome::NotRun if !unsure => Refusal::not_run(RefusalKind::TooLarge, message),
        _ => Refusal::unknown(RefusalKind::TooLarge, message),
    }
}
