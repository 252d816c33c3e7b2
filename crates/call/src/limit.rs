//! How many calls an upstream runs at once, learnt from what it answers.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the limit that is left after a refusal.
const REFUSED_FACTOR: f64 = 0.7;

/// Time without an answer that counts as a refusal, in multiples of the mean latency.
const LATE_RATIO: f64 = 4.0;

/// Share of the limit that is added by a round without trouble.
const GROWTH: f64 = 0.1;

/// Share of the limit that must be in use for a round to raise it.
const BUSY: f64 = 0.5;

/// Weight of a new sample in the mean latency.
const MEAN_WEIGHT: f64 = 0.1;

/// Shortest time between two changes of the limit.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// How the upstream answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// It ran the call.
    Ran,
    /// It refused the call for its load.
    Refused,
    /// It did not answer before the deadline.
    Late,
}

/// One call of the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time until the head of the answer, or until the deadline.
    pub latency: Duration,
    /// How the upstream answered.
    pub reply: Reply,
    /// Calls that ran at the same time, this one among them.
    pub running: u32,
}

/// An adaptive limit between one and the upstream's slots.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    limit: f64,
    /// Mean latency, in seconds.
    mean: Option<f64>,
    changed: Option<Instant>,
}

impl Limit {
    /// Returns the limit of an upstream of which nothing but its claim is known.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            mean: None,
            changed: None,
        }
    }

    /// Returns the number of calls to run at once.
    pub fn get(&self) -> u32 {
        let floor = 1.min(self.slots);
        (self.limit as u32).clamp(floor, self.slots)
    }

    /// Returns the mean latency.
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or_default())
    }

    /// Takes a new claim. A limit that is not learnt follows it.
    pub fn resize(&mut self, slots: u32) {
        if self.slots == slots {
            return;
        }
        let learnt = self.limit < f64::from(self.slots);
        self.slots = slots;
        if !learnt || self.limit > f64::from(slots) {
            self.limit = f64::from(slots);
        }
    }

    /// Learns from a call.
    ///
    /// Latency alone does not lower the limit: it differs by call and by what the upstream waits
    /// for. A caller's own short deadline does not lower it either.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        let latency = sample.latency.as_secs_f64();
        match sample.reply {
            Reply::Refused => self.change(now, |limit| limit * REFUSED_FACTOR),
            Reply::Late => {
                if self.mean.is_some_and(|mean| latency > mean * LATE_RATIO) {
                    self.change(now, |limit| limit * REFUSED_FACTOR);
                }
            }
            Reply::Ran => {
                let mean = self.mean.unwrap_or(latency);
                self.mean = Some(mean + (latency - mean) * MEAN_WEIGHT);
                if f64::from(sample.running) >= self.limit * BUSY {
                    self.change(now, |limit| limit + (limit * GROWTH).max(0.2));
                }
            }
        }
    }

    /// Changes the limit, once a round at most.
    fn change(&mut self, now: Instant, change: impl FnOnce(f64) -> f64) {
        let round = MIN_ROUND.max(self.latency());
        if self.changed.is_some_and(|changed| now < changed + round) {
            return;
        }
        self.changed = Some(now);
        self.limit = change(self.limit).clamp(1.0, f64::from(self.slots.max(1)));
    }
}
