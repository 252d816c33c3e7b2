//! The tries of one call, one upstream after the other.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::Response;
use hyper::body::Incoming;
use model::{Secret, VmId};
use table::{PoolTable, Upstream};
use tokio::time::{Instant, timeout_at};

use crate::body::{Body, Holding, boxed};
use crate::bounds::timed;
use crate::budget::Budgets;
use crate::header::{LOAD, number};
use crate::health::Seen;
use crate::links::Links;
use crate::payload::Payload;
use crate::request::Call;
use crate::retry::may_retry;
use crate::watch::{Site, Watch};
use crate::{Metrics, Outcome, Refusal, RefusalKind, choose};

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

/// How a try ended.
enum Tried {
    /// The upstream or its gate answered.
    Answered(Response<Body>),
    /// This daemon gave up.
    Refused(Refusal),
}

impl Tried {
    /// Returns the outcome that the system itself states, none for an upstream's answer.
    fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Answered(response) => Outcome::of(response),
            Self::Refused(refusal) => Some(refusal.outcome),
        }
    }

    fn kind(&self) -> Option<RefusalKind> {
        match self {
            Self::Answered(response) => RefusalKind::of(response),
            Self::Refused(refusal) => Some(refusal.kind),
        }
    }

    /// Returns the caller's answer; `unsure` says whether an earlier try may have run.
    fn into_answer(self, unsure: bool) -> Result<Response<Body>, Refusal> {
        if unsure && self.outcome() == Some(Outcome::NotRun) {
            let message = "the last try was refused, but an earlier one may have run";
            return Err(Refusal::unknown(RefusalKind::Broken, message));
        }
        match self {
            Self::Answered(response) => Ok(response),
            Self::Refused(refusal) => Err(refusal),
        }
    }
}

/// Sends calls to the gates of upstreams.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    site: Site,
    key: Secret,
    links: Links,
    watch: Watch,
    budgets: Budgets,
    metrics: Metrics,
}

impl Dispatcher {
    /// Returns the dispatcher of a daemon at `site`.
    pub(crate) fn new(site: Site, key: Secret, metrics: Metrics) -> Self {
        Self {
            site,
            key,
            links: Links::default(),
            watch: Watch::default(),
            budgets: Budgets::default(),
            metrics,
        }
    }

    /// Tries one upstream after the other while the rules and the budget allow it.
    pub(crate) async fn send(
        &self,
        call: &Call,
        mut payload: Payload,
    ) -> Result<Response<Body>, Refusal> {
        let mut tried = Vec::new();
        let mut last: Option<Tried> = None;
        let mut unsure = false;
        loop {
            let pool = call
                .snapshot
                .pool(choose::pool(&call.route, &mut rand::rng()));
            let (Some(upstream), Some(body)) = (self.choose(pool, &tried), payload.take()) else {
                return last
                    .unwrap_or_else(|| Tried::Refused(no_upstream(pool)))
                    .into_answer(unsure);
            };
            if last.is_none() {
                self.budgets.earn(&pool.service);
            }
            tried.push(upstream.vm.clone());
            let ended = self.try_once(call, pool, upstream, body).await;
            if payload.overran() {
                return Err(overrun(call, ended.outcome(), unsure));
            }
            if !self.may_go_on(call, pool, &payload, &ended, tried.len() as u32) {
                return ended.into_answer(unsure);
            }
            let service = pool.service.name.as_str();
            self.metrics.retries.with_label_values(&[service]).inc();
            unsure |= ended.outcome() != Some(Outcome::NotRun);
            last = Some(ended);
        }
    }

    /// Returns whether a try is followed by another; takes it from the budget.
    fn may_go_on(
        &self,
        call: &Call,
        pool: &PoolTable,
        payload: &Payload,
        ended: &Tried,
        tries: u32,
    ) -> bool {
        let Some(outcome) = ended.outcome() else {
            return false;
        };
        let rules = &call.route.route.rules;
        payload.is_replayable()
            && Instant::now() < call.deadline
            && may_retry(outcome, ended.kind(), call.idempotent, tries, rules)
            && self.budgets.spend(&pool.service)
    }

    fn choose(&self, pool: &PoolTable, tried: &[VmId]) -> Option<Arc<Upstream>> {
        let slow_start = pool.service.slow_start;
        let candidates = self
            .watch
            .candidates(&pool.upstreams, &self.site, slow_start, tried);
        let chosen = choose::upstream(&candidates, &mut rand::rng())?;
        let upstream = Arc::clone(&pool.upstreams[chosen]);
        self.watch.called(&upstream);
        Some(upstream)
    }

    async fn try_once(
        &self,
        call: &Call,
        pool: &PoolTable,
        upstream: Arc<Upstream>,
        body: Body,
    ) -> Tried {
        let request = match call.for_gate(pool, &upstream, &self.key, body) {
            Ok(request) => request,
            Err(refusal) => return Tried::Refused(refusal),
        };
        let started = Instant::now();
        let in_flight = InFlight::new(Arc::clone(&upstream));
        let sent = self.links.send(upstream.gate, request);
        let answered = timeout_at(call.deadline, sent).await.unwrap_or_else(|_| {
            let message = "no answer came before the deadline; the call may have run";
            Err(Refusal::unknown(RefusalKind::Deadline, message))
        });
        let seen = seen(&answered, started);
        let load = answered
            .as_ref()
            .ok()
            .and_then(|response| number(response.headers(), &LOAD));
        self.watch.observe(&pool.upstreams, &upstream, seen, load);
        match answered {
            Ok(mut response) => {
                response.headers_mut().remove(LOAD);
                let deadline = call.deadline;
                let wrap = |body| timed(Holding::wrap(boxed(body), in_flight), deadline);
                Tried::Answered(response.map(wrap))
            }
            Err(refusal) => Tried::Refused(refusal),
        }
    }
}

/// Returns what a try tells of its upstream.
fn seen(answered: &Result<Response<Incoming>, Refusal>, started: Instant) -> Seen {
    let kind = match answered {
        Ok(response) => RefusalKind::of(response),
        Err(refusal) => Some(refusal.kind),
    };
    let failed = answered
        .as_ref()
        .is_ok_and(|response| response.status().is_server_error());
    match kind {
        Some(RefusalKind::Overloaded) => Seen::Full,
        Some(RefusalKind::Leaving) => Seen::Leaving,
        Some(RefusalKind::Deadline | RefusalKind::Unreachable | RefusalKind::Broken) => {
            Seen::Failed
        }
        None if failed => Seen::Failed,
        _ => Seen::Good(started.elapsed()),
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
fn overrun(call: &Call, outcome: Option<Outcome>, unsure: bool) -> Refusal {
    let limit = call.route.route.rules.body_limit;
    let message = format!("the body went over the route's limit of {limit}; send less");
    match outcome {
        Some(Outcome::NotRun) if !unsure => Refusal::not_run(RefusalKind::TooLarge, message),
        _ => Refusal::unknown(RefusalKind::TooLarge, message),
    }
}
