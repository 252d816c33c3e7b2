//! The decision which call is admitted next, and which is shed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use model::Priority;
use tokio::time::Instant;

use crate::limit::{Limit, Sample};

/// Calls that may wait, for each call that may run.
const QUEUE_PER_SLOT: u32 = 2;

/// Longest time in the queue, in multiples of the time in which a full queue is run.
const PATIENCE: f64 = 2.0;

/// Shortest limit on the time in the queue.
const MIN_PATIENCE: Duration = Duration::from_millis(20);

/// Why a call was not admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shed {
    /// The queue is full of calls that go before it.
    Full,
    /// It cannot be answered before its deadline.
    Deadline,
}

/// Place of a call in the order of admission: the highest priority, then the earliest deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<Priority>,
    deadline: Instant,
    number: u64,
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
        /// The call that was shed.
        shed: Option<W>,
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

/// Calls that run and that wait for an upstream.
#[derive(Debug)]
pub struct Queue<W> {
    limit: Limit,
    running: u32,
    waiting: BTreeMap<Rank, W>,
    number: u64,
}

impl<W> Queue<W> {
    /// Returns an empty queue before an upstream of `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            limit: Limit::new(slots),
            running: 0,
            waiting: BTreeMap::new(),
            number: 0,
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

    /// Returns the calls that run and wait, in percent of those that may run.
    pub fn load(&self) -> u32 {
        let calls = self.running + self.waiting.len() as u32;
        calls * 100 / self.limit.get().max(1)
    }

    /// Returns the time until a call that arrives now would run, behind all that wait.
    pub fn expected_wait(&self) -> Duration {
        self.wait(self.waiting.len() as u32)
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
    pub fn enter(
        &mut self,
        priority: Priority,
        deadline: Instant,
        waiter: W,
        now: Instant,
    ) -> Entry<W> {
        let limit = self.limit.get();
        if self.running < limit && self.waiting.is_empty() {
            self.running += 1;
            return Entry::Run;
        }
        self.number += 1;
        let rank = Rank {
            priority: Reverse(priority),
            deadline,
            number: self.number,
        };
        let before = self.waiting.range(..rank).count() as u32;
        if now + self.wait(before) + self.limit.latency() > deadline {
            return Entry::Shed(Shed::Deadline);
        }
        let mut shed = None;
        if self.waiting.len() >= (limit * QUEUE_PER_SLOT) as usize {
            match self.waiting.last_entry() {
                Some(last) if last.key().priority > rank.priority => shed = Some(last.remove()),
                _ => return Entry::Shed(Shed::Full),
            }
        }
        self.waiting.insert(rank, waiter);
        let until = deadline.min(now + self.patience());
        Entry::Wait { rank, until, shed }
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
        let mut next = Next {
            run: Vec::new(),
            late: Vec::new(),
        };
        while self.running < self.limit.get() {
            let Some((rank, waiter)) = self.waiting.pop_first() else {
                break;
            };
            if now + self.limit.latency() > rank.deadline {
                next.late.push(waiter);
            } else {
                self.running += 1;
                next.run.push(waiter);
            }
        }
        next
    }

    /// Returns how long a call may wait.
    fn patience(&self) -> Duration {
        let full = self.limit.latency() * QUEUE_PER_SLOT;
        full.mul_f64(PATIENCE).max(MIN_PATIENCE)
    }

    /// Returns how long a call waits that has `before` others before it.
    fn wait(&self, before: u32) -> Duration {
        let rounds = f64::from(before + 1) / f64::from(self.limit.get().max(1));
        self.limit.latency().mul_f64(rounds)
    }
}
