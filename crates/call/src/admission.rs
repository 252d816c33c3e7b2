//! Admission control for the upstream on this daemon's VM.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{CallRate, Priority, RouteName, Size, lock};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::backend::Announcement;
use crate::limit::{Reply, Sample};
use crate::queue::{Decision, Occupancy, Queue, Rank, Released, SchedulingParams, ShedReason};
use crate::route_stats::RouteStats;
use crate::statements::{Notice, Statements};

/// Result of an admission request.
type AdmissionResult = Result<Slot, Refused>;

/// A call that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refused {
    /// Reason.
    pub(crate) shed: ShedReason,
    /// Estimated queueing time of such a call.
    pub(crate) wait: Duration,
    /// Mean service time of such a call, if known.
    pub(crate) service_time: Option<Duration>,
    /// Running and queued calls, and the concurrency limit.
    pub(crate) occupancy: Occupancy,
}

/// Status of the upstream, as the gate reports it.
#[derive(Debug)]
pub(crate) struct Status {
    /// Queued calls.
    pub(crate) waiting: u32,
    /// Load in percent.
    pub(crate) load: u32,
    /// Limit of calls that the upstream states.
    pub(crate) call_limit: Option<CallRate>,
    /// What the upstream states, for other daemons.
    pub(crate) notice: Option<Notice>,
}

/// An admission request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// Route of the call, if the ingress names it.
    pub(crate) route: Option<&'a RouteName>,
    /// Priority of the route.
    pub(crate) priority: Priority,
    /// When the caller stops waiting for the call.
    pub(crate) deadline: Instant,
    /// When the response is due under the route's latency objective.
    pub(crate) objective: Option<Instant>,
    /// Whether the call may only join a short queue.
    pub(crate) brief: bool,
}

/// Receiver of the decision about a queued call.
type Waiter = oneshot::Sender<AdmissionResult>;

/// Queue, route statistics and statements of one upstream.
#[derive(Debug)]
struct State {
    queue: Queue<Waiter>,
    route_stats: RouteStats,
    statements: Statements,
}

impl State {
    fn params(&mut self, request: &Request<'_>) -> SchedulingParams {
        let boost = request
            .route
            .zip(request.objective)
            .map(|(route, objective)| {
                let left = objective.saturating_duration_since(Instant::now());
                self.route_stats.boost(route, left)
            });
        if let Some(route) = request.route {
            let left = request.deadline.saturating_duration_since(Instant::now());
            self.route_stats.record_deadline(route, left);
        }
        SchedulingParams {
            priority: request.priority,
            deadline: request.deadline,
            objective: request.objective,
            service_time: request
                .route
                .and_then(|route| self.route_stats.service_time(route)),
            boost: boost.unwrap_or_default(),
            brief: request.brief,
            prefers_deadline: request
                .route
                .is_some_and(|route| self.route_stats.is_nested(route)),
        }
    }

    fn record_decision(&mut self, request: &Request<'_>, admitted: bool) {
        if let Some(route) = request.route {
            self.route_stats.record_decision(route, admitted);
        }
    }

    fn refuse(&self, shed: ShedReason, params: &SchedulingParams) -> Refused {
        let wait = self.queue.expected_wait(params, Instant::now());
        Refused {
            shed,
            wait,
            service_time: params.service_time,
            occupancy: self.queue.occupancy(),
        }
    }
}

/// Admission control for one upstream; clones share their state.
#[derive(Debug, Clone)]
pub(crate) struct Admission(Arc<Mutex<State>>);

/// Permission to run one call; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Admission,
}

/// Removes a call from the queue when dropped.
struct QueueGuard<'a> {
    admission: &'a Admission,
    rank: Rank,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.admission.lock();
        state.queue.cancel(self.rank, Instant::now());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.admission.release(|queue, now| queue.leave(now));
    }
}

impl Slot {
    /// Records the result of a call of `route` that took `latency`.
    pub(crate) fn observe(&self, route: Option<&RouteName>, latency: Duration, reply: Reply) {
        let mut state = self.admission.lock();
        let sample = Sample {
            latency,
            reply,
            running: state.queue.running(),
        };
        state.queue.observe(sample, Instant::now());
        if let Some(route) = route.filter(|_| reply == Reply::Ran) {
            state.route_stats.observe(route, latency);
        }
    }
}

impl Admission {
    /// Records the size of a response of `route`.
    pub(crate) fn record_response(&self, route: &RouteName, size: Size) {
        self.lock().route_stats.record_response(route, size);
    }

    /// Returns the mean size of the responses of `route`, if known.
    pub(crate) fn response_size(&self, route: &RouteName) -> Option<Size> {
        self.lock().route_stats.response_size(route)
    }

    /// Returns an admission control without slots.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            queue: Queue::new(0, Instant::now()),
            route_stats: RouteStats::default(),
            statements: Statements::default(),
        })))
    }

    /// Sets the number of slots that the upstream announces. Calls in flight still count.
    pub(crate) fn resize(&self, slots: u32) {
        self.lock().queue.resize(slots);
    }

    /// Returns the status that the gate reports.
    pub(crate) fn status(&self) -> Status {
        let state = self.lock();
        Status {
            waiting: state.queue.occupancy().waiting,
            load: state.queue.load(Instant::now()),
            call_limit: state.statements.limit(),
            notice: state.statements.notice(),
        }
    }

    /// Starts over if `upstream` is another incarnation than the last one, and merges the notice of an
    /// ingress.
    pub(crate) fn track_upstream(&self, upstream: &Announcement, notice: Option<&Notice>) {
        self.change_limit(|statements| {
            statements.track(upstream);
            if let Some(notice) = notice {
                statements.merge_notice(notice);
            }
        });
    }

    /// Records the limit that a response of `upstream` states; returns whether it differs from the last.
    pub(crate) fn record_limit(&self, upstream: &Announcement, limit: Option<CallRate>) -> bool {
        self.change_limit(|statements| statements.record_limit(upstream, limit))
    }

    /// Records that a response of `upstream` states that it leaves.
    pub(crate) fn record_leaving(&self, upstream: &Announcement) {
        self.lock().statements.record_leaving(upstream);
    }

    /// Returns whether `upstream` states that it leaves.
    pub(crate) fn is_leaving(&self, upstream: &Announcement) -> bool {
        self.lock().statements.is_leaving(upstream)
    }

    /// Changes the statements; returns whether the limit in force is another one.
    fn change_limit(&self, change: impl FnOnce(&mut Statements)) -> bool {
        {
            let mut state = self.lock();
            let before = state.statements.limit();
            change(&mut state.statements);
            let limit = state.statements.limit();
            if limit == before {
                return false;
            }
            state.queue.set_call_limit(limit, Instant::now());
        }
        self.release(Queue::release);
        true
    }

    /// Notifies the calls that leave the queue by `release`.
    fn release(&self, release: impl FnOnce(&mut Queue<Waiter>, Instant) -> Released<Waiter>) {
        let (released, occupancy) = {
            let mut state = self.lock();
            let released = release(&mut state.queue, Instant::now());
            (released, state.queue.occupancy())
        };
        for waiter in released.expired {
            let _ = waiter.send(Err(Refused {
                shed: ShedReason::Deadline,
                wait: Duration::ZERO,
                service_time: None,
                occupancy,
            }));
        }
        for waiter in released.admitted {
            // If the waiter is gone, the slot is dropped here and becomes free again.
            let _ = waiter.send(Ok(self.slot()));
        }
    }

    /// Returns when a queued call may be due under the call limit.
    fn next_release(&self) -> Option<Instant> {
        self.lock().queue.next_release(Instant::now())
    }

    /// Takes a slot without queueing.
    pub(crate) fn try_enter(&self, request: &Request<'_>) -> AdmissionResult {
        let mut state = self.lock();
        if state.queue.try_enter(Instant::now()) {
            state.record_decision(request, true);
            return Ok(self.slot());
        }
        let params = state.params(request);
        Err(state.refuse(ShedReason::Full, &params))
    }

    /// Takes a slot, queueing for at most the call's maximum queueing time.
    pub(crate) async fn enter(&self, request: &Request<'_>) -> AdmissionResult {
        let result = self.wait(request).await;
        if result.is_ok() || !request.brief {
            self.lock().record_decision(request, result.is_ok());
        }
        result
    }

    async fn wait(&self, request: &Request<'_>) -> AdmissionResult {
        let (waiter, mut receiver) = oneshot::channel();
        let (guard, until) = {
            let mut state = self.lock();
            let params = state.params(request);
            match state.queue.enter(params, waiter, Instant::now()) {
                Decision::Run => return Ok(self.slot()),
                Decision::Shed(shed) => return Err(state.refuse(shed, &params)),
                Decision::Wait { rank, until, shed } => {
                    // Closes the channels of the shed calls; each then builds its own refusal.
                    drop(shed);
                    let admission = self;
                    (QueueGuard { admission, rank }, until)
                }
            }
        };
        // Each queued call wakes when the next one may be due, so that none depends on another's timer.
        let result = loop {
            let wake = self.next_release().map_or(until, |due| due.min(until));
            match timeout_at(wake, &mut receiver).await {
                Ok(result) => break Some(result),
                Err(_) if wake >= until => break None,
                Err(_) => self.release(Queue::release),
            }
        };
        drop(guard);
        if let Some(Ok(result)) = result {
            return result;
        }
        let mut state = self.lock();
        let params = state.params(request);
        Err(state.refuse(ShedReason::Full, &params))
    }

    fn slot(&self) -> Slot {
        Slot {
            admission: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }
}
