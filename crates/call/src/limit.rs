//! Adaptive concurrency limit of an upstream, derived from its responses.

use std::time::Duration;

use tokio::time::Instant;

/// Factor on the limit after a refusal.
const REFUSED_FACTOR: f64 = 0.7;

/// Time without a response that counts as a refusal, in multiples of the mean latency.
const TIMEOUT_RATIO: f64 = 4.0;

/// Growth of the limit after a round without refusals, as a share of the limit.
const GROWTH: f64 = 0.1;

/// Share of the limit that must be in use for the limit to grow.
const MIN_UTILISATION: f64 = 0.5;

/// Weight of a new sample in the moving mean of the latency.
const MEAN_WEIGHT: f64 = 0.1;

/// Minimum time between two changes of the limit.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// Time for which refusals do not lower the limit once they have proved not to depend on it.
const UNRELATED_TIME: Duration = Duration::from_secs(4);

/// Result of a call, as far as it affects the limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// The upstream ran the call.
    Ran,
    /// The upstream refused the call because of its load.
    Refused,
    /// The upstream did not respond before the deadline.
    TimedOut,
}

/// Measurement of one call.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time until the response head, or until the deadline.
    pub latency: Duration,
    /// Result of the call.
    pub reply: Reply,
    /// Calls running at the same time, including this one.
    pub running: u32,
}

/// An adaptive limit between one and the upstream's number of slots.
///
/// Designed for upstreams that run fewer calls than they announce. One that refuses a share of its calls
/// whatever their number is not helped by a lower limit: it refuses a call even if it runs no other, and
/// the limit then returns to the slots.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    limit: f64,
    /// Moving mean of the latency, in seconds.
    mean: Option<f64>,
    changed_at: Option<Instant>,
    /// Until when refusals do not lower the limit.
    unrelated_until: Option<Instant>,
}

impl Limit {
    /// Returns a limit that starts at the announced number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            mean: None,
            changed_at: None,
            unrelated_until: None,
        }
    }

    /// Returns the number of calls that may run concurrently.
    pub fn get(&self) -> u32 {
        let floor = 1.min(self.slots);
        (self.limit as u32).clamp(floor, self.slots)
    }

    /// Returns the mean latency.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// Sets the announced number of slots. A limit that has not been lowered follows it.
    pub fn resize(&mut self, slots: u32) {
        if self.slots == slots {
            return;
        }
        let lowered = self.limit < f64::from(self.slots);
        self.slots = slots;
        if !lowered || self.limit > f64::from(slots) {
            self.limit = f64::from(slots);
        }
    }

    /// Updates the limit from a completed call.
    ///
    /// High latency alone does not lower the limit: it varies by call and by the upstream's
    /// dependencies. A short deadline set by the caller does not lower it either.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        let latency = sample.latency.as_secs_f64();
        match sample.reply {
            Reply::Refused if self.unrelated_until.is_some_and(|until| now < until) => {}
            Reply::Refused if self.get() == 1 && sample.running == 1 && self.slots > 1 => {
                self.unrelated_until = Some(now + UNRELATED_TIME);
                self.limit = f64::from(self.slots);
            }
            Reply::Refused => self.change(now, |limit| limit * REFUSED_FACTOR),
            Reply::TimedOut => {
                if self.mean.is_some_and(|mean| latency > mean * TIMEOUT_RATIO) {
                    self.change(now, |limit| limit * REFUSED_FACTOR);
                }
            }
            Reply::Ran => {
                let mean = self.mean.unwrap_or(latency);
                self.mean = Some(mean + (latency - mean) * MEAN_WEIGHT);
                if f64::from(sample.running) >= self.limit * MIN_UTILISATION {
                    self.change(now, |limit| limit + (limit * GROWTH).max(0.2));
                }
            }
        }
    }

    /// Changes the limit, at most once per round (the mean latency, or `MIN_ROUND` if longer).
    fn change(&mut self, now: Instant, change: impl FnOnce(f64) -> f64) {
        let round = MIN_ROUND.max(self.latency());
        if self
            .changed_at
            .is_some_and(|changed_at| now < changed_at + round)
        {
            return;
        }
        self.changed_at = Some(now);
        self.limit = change(self.limit).clamp(1.0, f64::from(self.slots.max(1)));
    }
}
