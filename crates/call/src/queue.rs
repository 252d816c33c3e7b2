//! The decision which call is admitted next, and which is shed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use model::Priority;
use tokio::time::Instant;

use crate::limit::{Limit, Sample};

/// Calls that may wait, for each call that may run.
const QUEUE_PER_SLOT: u32 = 2;

/// Calls that may wait, for each call that may run, where each has an aim that bounds its wait: short
/// calls pass so fast that many of them wait in time. Bounds the memory alone.
const AIMED_PER_SLOT: u32 = 32;

/// Longest time in the queue, in multiples of the time in which a full queue is run.
const PATIENCE: f64 = 2.0;

/// Shortest limit on the time in the queue.
const MIN_PATIENCE: Duration = Duration::from_millis(20);

/// Time that a call is expected to take beside its mean, which its answer must be able to take and
/// still come by its aim: about four of five calls take less.
const WORK_MARGIN: f64 = 1.3;

/// Wait of a call whose deadline counts for more than its aim, as a share of the time that it can spare.
const PATIENT_SHARE: f64 = 0.3;

/// Wait that is always allowed, as a share of the time that the upstream takes for the call. Where
/// the upstream itself is too slow for the aim, its answers are late but wanted.
const MIN_WAIT_SHARE: f64 = 0.25;

/// Why a call was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shed {
    /// The queue is full of calls that go before it.
    Full,
    /// It cannot be answered before its deadline.
    Deadline,
}

/// What the queue knows of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ticket {
    /// Its route's priority.
    pub priority: Priority,
    /// When it is given up.
    pub deadline: Instant,
    /// When its answer is worth most to its caller at the latest, where the route says so.
    pub aim: Option<Instant>,
    /// Time that the upstream takes for calls of its route, where that is known.
    pub work: Option<Duration>,
    /// By how much it goes before others of its priority.
    pub boost: Duration,
    /// Whether an answer by the deadline counts for more than one by the aim.
    pub patient: bool,
}

/// Place of a call in the order of admission: the highest priority, then the earliest aim or, without
/// one, the earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<Priority>,
    due: Instant,
    number: u64,
}

/// Calls before an upstream at one instant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crowd {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls that may run at once.
    pub limit: u32,
}

impl Crowd {
    /// Returns the calls that run and wait, in percent of those that may run.
    pub fn load(&self) -> u32 {
        (self.running + self.waiting) * 100 / self.limit.max(1)
    }
}

/// What becomes of a call that arrives.
#[derive(Debug, PartialEq)]
pub enum Entry<W> {
    /// It runs now.
    Run,
    /// It waits; a call that goes after it may have been shed for it.
    Wait {
        /// Its place.
        rank: Rank,
        /// When it has waited so long that it is shed: others keep going before it.
        until: Instant,
        /// The calls that were shed.
        shed: Vec<W>,
    },
    /// It is shed.
    Shed(Shed),
}

/// Calls that wait no longer.
#[derive(Debug, PartialEq)]
pub struct Next<W> {
    /// Calls that run now.
    pub run: Vec<W>,
    /// Calls whose deadline has become too near.
    pub late: Vec<W>,
}

/// A call that waits.
#[derive(Debug)]
struct Waiting<W> {
    ticket: Ticket,
    /// When it has waited so long that it is shed.
    until: Instant,
    waiter: W,
}

/// Calls that run and that wait for an upstream.
///
/// Answers the load pattern of an upstream that is asked for more than it can run: a call waits only as
/// long as its answer can still come by its aim, so those that are served are served in time, and those
/// that are not hear so at once.
#[derive(Debug)]
pub struct Queue<W> {
    limit: Limit,
    running: u32,
    waiting: BTreeMap<Rank, Waiting<W>>,
    number: u64,
    /// When a call last ended.
    ended: Option<Instant>,
}

impl<W> Queue<W> {
    /// Returns an empty queue before an upstream of `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: Limit::new(slots),
            running: 0,
            waiting: BTreeMap::new(),
            number: 0,
            ended: None,
        }
    }

    /// Takes the upstream's claim. Calls that run still count.
    pub fn resize(&mut self, slots: u32) {
        self.limit.resize(slots);
    }

    /// Returns the calls that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many calls run and wait.
    pub fn crowd(&self) -> Crowd {
        Crowd {
            running: self.running,
            waiting: self.waiting.len() as u32,
            limit: self.limit.get(),
        }
    }

    /// Returns the calls that run and wait, in percent of those that may run.
    pub fn load(&self) -> u32 {
        self.crowd().load()
    }

    /// Returns the time until a call with `ticket` that arrives now would run.
    pub fn expected_wait(&self, ticket: &Ticket, now: Instant) -> Duration {
        let rank = self.rank(ticket);
        self.wait(self.waiting.range(..rank).count() as u32, now)
    }

    /// Takes a slot for a call that does not wait; returns whether one was free.
    pub fn enter_now(&mut self) -> bool {
        let free = self.running < self.limit.get() && self.waiting.is_empty();
        if free {
            self.running += 1;
        }
        free
    }

    /// Decides about a call that arrives; `waiter` is kept if it waits.
    pub fn enter(&mut self, ticket: Ticket, waiter: W, now: Instant) -> Entry<W> {
        if self.enter_now() {
            return Entry::Run;
        }
        self.number += 1;
        let rank = self.rank(&ticket);
        let wait = self.expected_wait(&ticket, now);
        if now + wait + self.work(&ticket) > ticket.deadline {
            return Entry::Shed(Shed::Deadline);
        }
        let patience = self.patience(&ticket, now);
        if ticket.aim.is_some() && wait > patience {
            return Entry::Shed(Shed::Full);
        }
        let mut shed = Vec::new();
        let room = match ticket.aim {
            Some(_) => AIMED_PER_SLOT,
            None => QUEUE_PER_SLOT,
        };
        if self.waiting.len() >= (self.limit.get() * room) as usize {
            match self.waiting.last_entry() {
                Some(last) if *last.key() > rank => shed.push(last.remove().waiter),
                _ => return Entry::Shed(Shed::Full),
            }
        }
        let until = ticket.deadline.min(now + patience);
        let waiting = Waiting {
            ticket,
            until,
            waiter,
        };
        self.waiting.insert(rank, waiting);
        shed.extend(self.shed_displaced(rank, now));
        Entry::Wait { rank, until, shed }
    }

    /// Sheds the calls behind `rank` that can no longer run in time.
    fn shed_displaced(&mut self, rank: Rank, now: Instant) -> Vec<W> {
        let before = self.waiting.range(..=rank).count() as u32;
        let mut kept = 0;
        let mut displaced = Vec::new();
        for (other, waiting) in self.waiting.range(rank..).skip(1) {
            if waiting.ticket.aim.is_some() && now + self.wait(before + kept, now) > waiting.until {
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

    /// Notes that a call no longer waits by its own will.
    pub fn cancel(&mut self, rank: Rank) {
        self.waiting.remove(&rank);
    }

    /// Notes the upstream's answer.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        self.limit.observe(sample, now);
    }

    /// Notes that a call ended, and returns the calls that wait no longer.
    pub fn leave(&mut self, now: Instant) -> Next<W> {
        self.running -= 1;
        self.ended = Some(now);
        let mut next = Next {
            run: Vec::new(),
            late: Vec::new(),
        };
        while self.running < self.limit.get() {
            let Some((_, waiting)) = self.waiting.pop_first() else {
                break;
            };
            if now + self.work(&waiting.ticket) > waiting.ticket.deadline {
                next.late.push(waiting.waiter);
            } else {
                self.running += 1;
                next.run.push(waiting.waiter);
            }
        }
        next
    }

    fn rank(&self, ticket: &Ticket) -> Rank {
        Rank {
            priority: Reverse(ticket.priority),
            due: ticket.aim.unwrap_or(ticket.deadline) - ticket.boost,
            number: self.number,
        }
    }

    /// Returns the time that the upstream is expected to take for a call.
    fn work(&self, ticket: &Ticket) -> Duration {
        ticket.work.unwrap_or_else(|| self.limit.latency())
    }

    /// Returns how long a call may wait that arrives now.
    fn patience(&self, ticket: &Ticket, now: Instant) -> Duration {
        let Some(aim) = ticket.aim else {
            let full = self.limit.latency() * QUEUE_PER_SLOT;
            return full.mul_f64(PATIENCE).max(MIN_PATIENCE);
        };
        let work = self.work(ticket);
        if ticket.patient {
            let left = ticket.deadline.saturating_duration_since(now);
            return left.saturating_sub(work).mul_f64(PATIENT_SHARE);
        }
        let left = aim.saturating_duration_since(now);
        let spare = left.saturating_sub(work.mul_f64(WORK_MARGIN));
        spare.max(work.mul_f64(MIN_WAIT_SHARE)).max(MIN_PATIENCE)
    }

    /// Returns how long a call waits that has `before` others before it.
    ///
    /// What calls took so far says nothing of an upstream that has become slow until some of them end. The
    /// time without an end tells it before.
    fn wait(&self, before: u32, now: Instant) -> Duration {
        let rounds = f64::from(before + 1) / f64::from(self.limit.get().max(1));
        let usual = self.limit.latency().mul_f64(rounds);
        let is_full = self.running >= self.limit.get();
        let stall = self.ended.filter(|_| is_full);
        let stall = stall.map_or(Duration::ZERO, |ended| now.saturating_duration_since(ended));
        usual.max(stall * (before + 1))
    }
}
