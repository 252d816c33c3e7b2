//! Queue in front of an upstream: decides which call is admitted next and which is shed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use model::{CallRate, Priority};
use tokio::time::Instant;

use crate::limit::{Limit, Sample};
use crate::overload::Overload;
use crate::pace::Pacer;

/// Queue length per slot, for calls without a latency objective.
const QUEUE_PER_SLOT: u32 = 2;

/// Queue length per slot, for calls with a latency objective. The objective bounds the wait, and many
/// short calls can wait in time, so this bounds memory only.
const OBJECTIVE_QUEUE_PER_SLOT: u32 = 32;

/// Maximum queueing time of calls without an objective, in multiples of the time to run a full queue.
const MAX_QUEUEING_RATIO: f64 = 2.0;

/// Lower bound of the maximum queueing time.
const MIN_QUEUEING_LIMIT: Duration = Duration::from_millis(20);

/// Multiple of the mean service time that is reserved before the objective when a call queues. About four
/// of five calls take less.
const SERVICE_TIME_MARGIN: f64 = 1.3;

/// Maximum queueing time of a call that prefers its deadline over its objective, as a share of the time
/// left until the deadline after its service time.
const DEADLINE_WAIT_SHARE: f64 = 0.3;

/// Queueing time that is always allowed, as a share of the service time. If the upstream alone is too
/// slow for the objective, its responses are late but still useful.
const MIN_WAIT_SHARE: f64 = 0.25;

/// Why a call was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShedReason {
    /// No slot is free within its maximum queueing time, or the queue is full of calls with precedence.
    Full,
    /// It cannot complete before its deadline.
    Deadline,
}

/// Scheduling parameters of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SchedulingParams {
    /// Priority of its route.
    pub priority: Priority,
    /// When the caller stops waiting for it.
    pub deadline: Instant,
    /// When its response is due under the latency objective of its route, if it has one.
    pub objective: Option<Instant>,
    /// Mean service time of calls of its route, if known.
    pub service_time: Option<Duration>,
    /// Time by which its due time is moved forward within its priority.
    pub boost: Duration,
    /// Whether a response by the deadline matters more than one by the objective.
    pub prefers_deadline: bool,
    /// Whether the call may only join a short queue, because another upstream may have a free slot.
    pub brief: bool,
}

/// Admission order of a call: highest priority first, then the earliest objective or, without one, the
/// earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<Priority>,
    due: Instant,
    sequence: u64,
}

/// Number of running and queued calls at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Occupancy {
    /// Running calls.
    pub running: u32,
    /// Queued calls.
    pub waiting: u32,
    /// Concurrency limit.
    pub limit: u32,
}

impl Occupancy {
    /// Returns the running and queued calls in percent of the concurrency limit.
    pub fn load(&self) -> u32 {
        (self.running + self.waiting) * 100 / self.limit.max(1)
    }
}

/// Admission decision about an arriving call.
#[derive(Debug, PartialEq)]
pub enum Decision<W> {
    /// The call runs now.
    Run,
    /// The call is queued; calls ordered after it may have been shed to make room.
    Wait {
        /// Its position in the admission order.
        rank: Rank,
        /// When it is shed if it is still queued.
        until: Instant,
        /// Calls that were shed.
        shed: Vec<W>,
    },
    /// The call is shed.
    Shed(ShedReason),
}

/// Calls that left the queue.
#[derive(Debug, PartialEq)]
pub struct Released<W> {
    /// Calls that now run.
    pub admitted: Vec<W>,
    /// Calls that can no longer complete before their deadline.
    pub expired: Vec<W>,
}

/// A queued call.
#[derive(Debug)]
struct Waiting<W> {
    params: SchedulingParams,
    /// End of its maximum queueing time.
    until: Instant,
    waiter: W,
}

/// Running and queued calls of an upstream.
///
/// Designed for an upstream that receives more calls than it can run: a call waits only while its
/// response can still meet the objective. So calls that are served are served in time, and the others
/// are refused at once.
#[derive(Debug)]
pub struct Queue<W> {
    limit: Limit,
    pacer: Pacer,
    overload: Overload,
    running: u32,
    waiting: BTreeMap<Rank, Waiting<W>>,
    sequence: u64,
    /// When a call last started.
    last_start: Instant,
    /// When a call last completed.
    last_end: Option<Instant>,
}

impl<W> Queue<W> {
    /// Returns an empty queue for an upstream with `slots` slots.
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            limit: Limit::new(slots),
            pacer: Pacer::new(now),
            overload: Overload::default(),
            running: 0,
            waiting: BTreeMap::new(),
            sequence: 0,
            last_start: now,
            last_end: None,
        }
    }

    /// Sets the number of slots that the upstream announces. Running calls still count.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots);
    }

    /// Sets the limit of calls per second that the upstream states.
    pub fn set_call_limit(&mut self, limit: Option<CallRate>, now: Instant) {
        self.pacer.set_limit(limit, now);
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of running and queued calls.
    pub fn occupancy(&self) -> Occupancy {
        Occupancy {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit.get(),
        }
    }

    /// Returns the running and queued calls in percent of the concurrency limit, or how far the calls run
    /// ahead of the call limit, if that is more.
    pub fn load(&self, now: Instant) -> u32 {
        self.occupancy().load().max(self.pacer.load(now))
    }

    /// Estimates the queueing time of a call that arrives now.
    pub fn expected_wait(&self, params: &SchedulingParams, now: Instant) -> Duration {
        self.estimate_wait(self.before(self.rank(params)), now)
    }

    /// Returns the number of queued calls before `rank`.
    fn before(&self, rank: Rank) -> u32 {
        self.waiting.range(..rank).count() as u32
    }

    /// Takes a slot without queueing; returns whether one was free and a call is due.
    pub fn try_enter(&mut self, now: Instant) -> bool {
        let free =
            self.running < self.limit.get() && self.waiting.is_empty() && self.pacer.take(now);
        if free {
            self.start(now);
        }
        free
    }

    /// Admits, queues or sheds an arriving call; keeps `waiter` if the call is queued.
    pub fn enter(&mut self, params: SchedulingParams, waiter: W, now: Instant) -> Decision<W> {
        if self.try_enter(now) {
            return Decision::Run;
        }
        let decision = self.queue_or_shed(params, waiter, now);
        match decision {
            Decision::Shed(_) if params.brief => {}
            Decision::Shed(_) => self.overload.record_refusal(now),
            _ => self.overload.record_queue(false, now),
        }
        decision
    }

    /// Queues or sheds a call for which no slot is free.
    fn queue_or_shed(&mut self, params: SchedulingParams, waiter: W, now: Instant) -> Decision<W> {
        self.sequence += 1;
        let rank = self.rank(&params);
        let wait = self.expected_wait(&params, now);
        if now + wait + self.service_time(&params) > params.deadline {
            return Decision::Shed(ShedReason::Deadline);
        }
        let max_queueing = self.max_queueing(&params, now);
        let bounded = match params.objective {
            Some(_) => wait,
            None => self.pacer.wait(self.before(rank), now),
        };
        if bounded > max_queueing {
            return Decision::Shed(ShedReason::Full);
        }
        let mut shed = Vec::new();
        let room = match params.objective {
            Some(_) => OBJECTIVE_QUEUE_PER_SLOT,
            None => QUEUE_PER_SLOT,
        };
        if self.waiting.len() >= (self.limit.get() * room) as usize {
            match self.waiting.last_entry() {
                Some(last) if *last.key() > rank => shed.push(last.remove().waiter),
                _ => return Decision::Shed(ShedReason::Full),
            }
        }
        let until = params.deadline.min(now + max_queueing);
        let waiting = Waiting {
            params,
            until,
            waiter,
        };
        self.waiting.insert(rank, waiting);
        shed.extend(self.shed_displaced(rank, now));
        Decision::Wait { rank, until, shed }
    }

    /// Sheds the calls ordered after `rank` that can no longer run in time.
    fn shed_displaced(&mut self, rank: Rank, now: Instant) -> Vec<W> {
        let before = self.waiting.range(..=rank).count() as u32;
        let mut kept = 0;
        let mut displaced = Vec::new();
        for (other, waiting) in self.waiting.range(rank..).skip(1) {
            if waiting.params.objective.is_some()
                && now + self.estimate_wait(before + kept, now) > waiting.until
            {
                displaced.push(*other);
            } else {
                kept += 1;
            }
        }
        let removed = displaced
            .iter()
            .filter_map(|rank| self.waiting.remove(rank));
        removed.map(|waiting| waiting.waiter).collect()
    }

    /// Removes a call from the queue if it is still queued.
    pub fn cancel(&mut self, rank: Rank, now: Instant) {
        self.waiting.remove(&rank);
        self.overload.record_queue(self.waiting.is_empty(), now);
    }

    /// Updates the concurrency limit from a completed call.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        self.limit.observe(sample, now);
    }

    /// Frees the slot of a completed call and returns the calls that leave the queue.
    pub fn leave(&mut self, now: Instant) -> Released<W> {
        self.running -= 1;
        self.last_end = Some(now);
        self.release(now)
    }

    /// Returns when the next queued call may run although no call completes before, if the call limit is
    /// what it waits for.
    pub fn next_release(&self, now: Instant) -> Option<Instant> {
        let is_paced = !self.waiting.is_empty() && self.running < self.limit.get();
        is_paced.then(|| now + self.pacer.wait(0, now))
    }

    /// Returns the calls that leave the queue because a slot is free and a call is due.
    pub fn release(&mut self, now: Instant) -> Released<W> {
        let mut released = Released {
            admitted: Vec::new(),
            expired: Vec::new(),
        };
        while self.running < self.limit.get() && self.pacer.wait(0, now).is_zero() {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                break;
            };
            if now + self.service_time(&waiting.params) > waiting.params.deadline {
                released.expired.push(waiting.waiter);
            } else {
                self.pacer.take(now);
                self.start(now);
                released.admitted.push(waiting.waiter);
            }
        }
        self.overload.record_queue(self.waiting.is_empty(), now);
        released
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.last_start = now;
    }

    fn rank(&self, params: &SchedulingParams) -> Rank {
        Rank {
            priority: Reverse(params.priority),
            due: params.objective.unwrap_or(params.deadline) - params.boost,
            sequence: self.sequence,
        }
    }

    /// Returns the expected service time of a call.
    fn service_time(&self, params: &SchedulingParams) -> Duration {
        params.service_time.unwrap_or_else(|| self.limit.latency())
    }

    /// Returns the maximum queueing time of a call that arrives now.
    fn max_queueing(&self, params: &SchedulingParams, now: Instant) -> Duration {
        let bound = self.queueing_bound(params, now);
        match params.brief {
            true => bound.min(self.sustained_wait(self.service_time(params))),
            false => bound,
        }
    }

    /// Returns the maximum queueing time of a call that has nowhere else to go.
    fn queueing_bound(&self, params: &SchedulingParams, now: Instant) -> Duration {
        let Some(objective) = params.objective else {
            let full = self.limit.latency() * QUEUE_PER_SLOT;
            return full.mul_f64(MAX_QUEUEING_RATIO).max(MIN_QUEUEING_LIMIT);
        };
        let service_time = self.service_time(params);
        if params.prefers_deadline {
            let left = params.deadline.saturating_duration_since(now);
            return left
                .saturating_sub(service_time)
                .mul_f64(DEADLINE_WAIT_SHARE);
        }
        let left = objective.saturating_duration_since(now);
        let mut spare = left.saturating_sub(service_time.mul_f64(SERVICE_TIME_MARGIN));
        if self.overload.is_sustained(now) {
            spare = spare.min(self.sustained_wait(service_time));
        }
        spare
            .max(service_time.mul_f64(MIN_WAIT_SHARE))
            .max(MIN_QUEUEING_LIMIT)
    }

    /// Returns the maximum queueing time in a sustained overload.
    ///
    /// A queue of the square root of the slots covers the random variation of completions, so that no slot
    /// stays empty; a longer one only delays the calls in it.
    fn sustained_wait(&self, service_time: Duration) -> Duration {
        let slots = f64::from(self.limit.get().max(1));
        self.limit.latency().max(service_time).div_f64(slots.sqrt())
    }

    /// Estimates the queueing time of a call behind `before` others.
    ///
    /// The mean latency does not show that an upstream has become slow until some calls complete. The time
    /// since the last completion shows it earlier, unless the slots filled up only after it.
    fn estimate_wait(&self, before: u32, now: Instant) -> Duration {
        let rounds = f64::from(before + 1) / f64::from(self.limit.get().max(1));
        let usual = self.limit.latency().mul_f64(rounds);
        let is_full = self.running >= self.limit.get();
        let stall = self.last_end.filter(|_| is_full);
        let stall = stall.map_or(Duration::ZERO, |last_end| {
            now.saturating_duration_since(last_end.max(self.last_start))
        });
        let paced = self.pacer.wait(before, now);
        (usual + stall).max(paced)
    }
}
