//! How many calls an upstream runs at once, learnt from what it answers.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the limit that is left after a refusal.
const REFUSED_FACTOR: f64 = 0.7;

/// Share of the limit that is left after a slow round.
const SLOW_FACTOR: f64 = 0.9;

/// Latency with many calls at once that is too slow, in multiples of that with few.
const SLOW_RATIO: f64 = 3.0;

/// Share of the slots that slowness alone leaves at least: it may come from the calls themselves.
const SLOW_FLOOR: f64 = 0.5;

/// Share of the limit that is added by a round without trouble.
const GROWTH: f64 = 0.1;

/// Share of the limit from which many calls run at once, and from which a round raises it.
const BUSY: f64 = 0.5;

/// Weight of a new sample in the mean latencies.
const MEAN_WEIGHT: f64 = 0.1;

/// Shortest time between two changes of the limit.
const MIN_ROUND: Duration = Duration::from_millis(50);

/// One answer of the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time until the head of the answer.
    pub latency: Duration,
    /// Whether the upstream refused the call for its load.
    pub refused: bool,
    /// Calls that ran at the same time, this one among them.
    pub running: u32,
}

/// An adaptive limit between one and the upstream's slots.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    limit: f64,
    /// Mean latency of all calls, in seconds.
    mean: Option<f64>,
    /// Mean latency with few calls at once, in seconds.
    few: Option<f64>,
    /// Mean latency with many calls at once, in seconds.
    many: Option<f64>,
    changed: Option<Instant>,
}

impl Limit {
    /// Returns the limit of an upstream of which nothing but its claim is known.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            mean: None,
            few: None,
            many: None,
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

    /// Learns from an answer.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        if sample.refused {
            self.change(now, |limit| limit * REFUSED_FACTOR);
            return;
        }
        let latency = sample.latency.as_secs_f64();
        update(&mut self.mean, latency);
        if f64::from(sample.running) < self.limit * BUSY {
            update(&mut self.few, latency);
            return;
        }
        update(&mut self.many, latency);
        let floor = f64::from(self.slots) * SLOW_FLOOR;
        if self.is_slow() && self.limit > floor {
            self.change(now, |limit| (limit * SLOW_FACTOR).max(floor));
        } else {
            self.change(now, |limit| limit + (limit * GROWTH).max(0.2));
        }
    }

    /// Returns whether calls take much longer when many run at once.
    fn is_slow(&self) -> bool {
        match (self.few, self.many) {
            (Some(few), Some(many)) => many > few * SLOW_RATIO,
            _ => false,
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

/// Takes `value` into a moving mean.
fn update(mean: &mut Option<f64>, value: f64) {
    *mean = Some(mean.map_or(value, |mean| mean + (value - mean) * MEAN_WEIGHT));
}
