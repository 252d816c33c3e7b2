//! Admission control for the upstream on this daemon's VM.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{Priority, RouteName, lock};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::kinds::Kinds;
use crate::limit::{Reply, Sample};
use crate::queue::{Crowd, Entry, Queue, Rank, Shed, Ticket};

/// Result of an admission request.
type Verdict = Result<Slot, Refused>;

/// A call that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refused {
    /// Reason.
    pub(crate) shed: Shed,
    /// Estimated queueing time of such a call.
    pub(crate) wait: Duration,
    /// Mean service time of such a call, if known.
    pub(crate) work: Option<Duration>,
    /// Running and queued calls, and the concurrency limit.
    pub(crate) crowd: Crowd,
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
    pub(crate) aim: Option<Instant>,
}

/// Queue and route statistics of one upstream.
#[derive(Debug)]
struct State {
    queue: Queue<oneshot::Sender<Verdict>>,
    kinds: Kinds,
}

impl State {
    fn ticket(&mut self, request: &Request<'_>) -> Ticket {
        let boost = request.route.zip(request.aim).map(|(route, aim)| {
            let left = aim.saturating_duration_since(Instant::now());
            self.kinds.boost(route, left)
        });
        Ticket {
            priority: request.priority,
            deadline: request.deadline,
            aim: request.aim,
            work: request.route.and_then(|route| self.kinds.work(route)),
            boost: boost.unwrap_or_default(),
            patient: request
                .route
                .is_some_and(|route| self.kinds.is_nearest(route)),
        }
    }

    fn decided(&mut self, request: &Request<'_>, admitted: bool) {
        if let Some(route) = request.route {
            self.kinds.decided(route, admitted);
        }
    }

    fn refuse(&self, shed: Shed, ticket: &Ticket) -> Refused {
        let wait = self.queue.expected_wait(ticket, Instant::now());
        Refused {
            shed,
            wait,
            work: ticket.work,
            crowd: self.queue.crowd(),
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
struct Place<'a> {
    admission: &'a Admission,
    rank: Rank,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.admission.lock().queue.cancel(self.rank);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (next, crowd) = {
            let mut state = self.admission.lock();
            (state.queue.leave(Instant::now()), state.queue.crowd())
        };
        for waiter in next.late {
            let _ = waiter.send(Err(Refused {
                shed: Shed::Deadline,
                wait: Duration::ZERO,
                work: None,
                crowd,
            }));
        }
        for waiter in next.run {
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
            state.kinds.observe(route, latency);
        }
    }
}

impl Admission {
    /// Returns an admission control without slots.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            queue: Queue::new(0),
            kinds: Kinds::default(),
        })))
    }

    /// Sets the number of slots that the upstream announces. Calls in flight still count.
    pub(crate) fn resize(&self, slots: u32) {
        self.lock().queue.resize(slots);
    }

    /// Returns the number of running and queued calls.
    pub(crate) fn crowd(&self) -> Crowd {
        self.lock().queue.crowd()
    }

    /// Takes a slot without queueing.
    pub(crate) fn enter_now(&self, request: &Request<'_>) -> Verdict {
        let mut state = self.lock();
        if state.queue.enter_now() {
            state.decided(request, true);
            return Ok(self.slot());
        }
        let ticket = state.ticket(request);
        Err(state.refuse(Shed::Full, &ticket))
    }

    /// Takes a slot, queueing for at most the call's maximum queueing time.
    pub(crate) async fn enter(&self, request: &Request<'_>) -> Verdict {
        let verdict = self.wait(request).await;
        self.lock().decided(request, verdict.is_ok());
        verdict
    }

    async fn wait(&self, request: &Request<'_>) -> Verdict {
        let (waiter, verdict) = oneshot::channel();
        let (place, until) = {
            let mut state = self.lock();
            let ticket = state.ticket(request);
            match state.queue.enter(ticket, waiter, Instant::now()) {
                Entry::Run => return Ok(self.slot()),
                Entry::Shed(shed) => return Err(state.refuse(shed, &ticket)),
                Entry::Wait { rank, until, shed } => {
                    // Closes the channels of the shed calls; each then builds its own refusal.
                    drop(shed);
                    let admission = self;
                    (Place { admission, rank }, until)
                }
            }
        };
        let verdict = timeout_at(until, verdict).await;
        drop(place);
        if let Ok(Ok(verdict)) = verdict {
            return verdict;
        }
        let mut state = self.lock();
        let ticket = state.ticket(request);
        Err(state.refuse(Shed::Full, &ticket))
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
