//! Admission of calls to the upstream beside this daemon.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{Priority, RouteName, lock};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::kinds::Kinds;
use crate::limit::{Reply, Sample};
use crate::queue::{Crowd, Entry, Queue, Rank, Shed, Ticket};

/// What a waiting call is told.
type Verdict = Result<Slot, Refused>;

/// A call that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Refused {
    /// Why.
    pub(crate) shed: Shed,
    /// Time until a call like it would have run.
    pub(crate) wait: Duration,
    /// Time that the upstream takes for such a call, where that is known.
    pub(crate) work: Option<Duration>,
    /// Calls that ran and waited, and those that might run.
    pub(crate) crowd: Crowd,
}

/// A call that asks for admission.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    /// Its route, where the ingress names it.
    pub(crate) route: Option<&'a RouteName>,
    /// Its route's priority.
    pub(crate) priority: Priority,
    /// When it is given up.
    pub(crate) deadline: Instant,
    /// When its answer is worth most at the latest.
    pub(crate) aim: Option<Instant>,
}

/// Calls before one upstream.
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

/// Admission of calls to one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Admission(Arc<Mutex<State>>);

/// The right to run one call; given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Admission,
}

/// A place in the queue; given up when dropped.
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
            // A waiter that is gone gives the slot back by dropping it.
            let _ = waiter.send(Ok(self.admission.slot()));
        }
    }
}

impl Slot {
    /// Notes how the upstream answered a call of `route` after `latency`.
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
    /// Returns an admission without any slot.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            queue: Queue::new(0),
            kinds: Kinds::default(),
        })))
    }

    /// Sets the number of slots that the upstream claims. Calls in flight still count.
    pub(crate) fn resize(&self, slots: u32) {
        self.lock().queue.resize(slots);
    }

    /// Returns how many calls run and wait.
    pub(crate) fn crowd(&self) -> Crowd {
        self.lock().queue.crowd()
    }

    /// Takes a slot if one is free now.
    pub(crate) fn enter_now(&self, request: &Request<'_>) -> Verdict {
        let mut state = self.lock();
        if state.queue.enter_now() {
            state.decided(request, true);
            return Ok(self.slot());
        }
        let ticket = state.ticket(request);
        Err(state.refuse(Shed::Full, &ticket))
    }

    /// Takes a slot, and waits for one as long as there is hope.
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
                    // Each makes out its own refusal when it finds its place gone.
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
