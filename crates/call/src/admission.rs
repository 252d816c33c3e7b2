//! Admission control for the upstream on this daemon's VM.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{Priority, RouteName, lock};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::limit::{Reply, Sample};
use crate::queue::{Decision, Occupancy, Queue, Rank, SchedulingParams, ShedReason};
use crate::route_stats::RouteStats;

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
}

/// Queue and route statistics of one upstream.
#[derive(Debug)]
struct State {
    queue: Queue<oneshot::Sender<AdmissionResult>>,
    route_stats: RouteStats,
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
        SchedulingParams {
            priority: request.priority,
            deadline: request.deadline,
            objective: request.objective,
            service_time: request
                .route
                .and_then(|route| self.route_stats.service_time(route)),
            boost: boost.unwrap_or_default(),
            prefers_deadline: request
                .route
                .is_some_and(|route| self.route_stats.has_tightest_objective(route)),
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
        self.admission.lock().queue.cancel(self.rank);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (released, occupancy) = {
            let mut state = self.admission.lock();
            (state.queue.leave(Instant::now()), state.queue.occupancy())
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
            let _ = waiter.send(Ok(self.admission.slot()));
        }
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
    /// Returns an admission control without slots.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            queue: Queue::new(0),
            route_stats: RouteStats::default(),
        })))
    }

    /// Sets the number of slots that the upstream announces. Calls in flight still count.
    pub(crate) fn resize(&self, slots: u32) {
        self.lock().queue.resize(slots);
    }

    /// Returns the number of running and queued calls.
    pub(crate) fn occupancy(&self) -> Occupancy {
        self.lock().queue.occupancy()
    }

    /// Takes a slot without queueing.
    pub(crate) fn try_enter(&self, request: &Request<'_>) -> AdmissionResult {
        let mut state = self.lock();
        if state.queue.try_enter() {
            state.record_decision(request, true);
            return Ok(self.slot());
        }
        let params = state.params(request);
        Err(state.refuse(ShedReason::Full, &params))
    }

    /// Takes a slot, queueing for at most the call's maximum queueing time.
    pub(crate) async fn enter(&self, request: &Request<'_>) -> AdmissionResult {
        let result = self.wait(request).await;
        self.lock().record_decision(request, result.is_ok());
        result
    }

    async fn wait(&self, request: &Request<'_>) -> AdmissionResult {
        let (waiter, receiver) = oneshot::channel();
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
        let result = timeout_at(until, receiver).await;
        drop(guard);
        if let Ok(Ok(result)) = result {
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
