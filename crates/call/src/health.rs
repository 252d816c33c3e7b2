//! Outlier detection: the health of one upstream as observed by this daemon's calls.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures from which an upstream is an outlier.
const MAX_STREAK: u32 = 5;

/// Failure rate from which an upstream is an outlier.
const MAX_FAILURES: f64 = 0.5;

/// Minimum number of responses for judging the failure rate or latency.
const MIN_SAMPLES: u32 = 10;

/// Latency from which an upstream is an outlier, in multiples of its pool's median.
const SLOW_RATIO: f64 = 4.0;

/// Latency up to which an upstream is never an outlier, in seconds.
const FAST_ENOUGH: f64 = 0.02;

/// Weight of a new sample in the moving means of latency and failure rate.
const MEAN_WEIGHT: f64 = 0.15;

/// Weight of a new sample in the moving mean of the relative latency.
const PACE_WEIGHT: f64 = 0.08;

/// Cap on the relative latency of one call, so that a single slow call does not dominate the mean.
const MAX_PACE: f64 = 6.0;

/// Duration of the first ejection of an upstream; doubles with each further one.
const ASIDE_MIN: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const ASIDE_MAX: Duration = Duration::from_secs(15);

/// Time during which an upstream receives no calls after its gate reported that it is leaving.
const LEAVING: Duration = Duration::from_secs(1);

/// Time between two trial calls to an ejected upstream.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Successful trial calls after which an ejected upstream is reinstated.
const TRIALS: u32 = 3;

/// Time for which a reported load is considered current.
const LOAD_FRESH: Duration = Duration::from_millis(500);

/// Returns whether one more upstream of a pool of `size` may be ejected when `ejected` already are. At
/// most half of a pool is ejected, and never its last upstream.
pub fn may_set_aside(aside: usize, size: usize) -> bool {
    (aside + 1) * 2 <= size
}

/// Result of a call, as far as it concerns the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    /// A successful response, with its latency.
    Good(Duration),
    /// An error of the upstream or of the connection to it.
    Failed,
    /// The gate had no free slot.
    Full,
    /// The gate reported that the upstream is leaving.
    Leaving,
}

/// Whether an upstream receives calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It receives calls.
    Open,
    /// It may receive a single trial call now.
    Trial,
    /// It is ejected, or leaving.
    Aside,
}

/// Statistics for which an upstream was ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Calls observed.
    pub samples: u32,
    /// Consecutive failures.
    pub streak: u32,
    /// Moving mean of the failure rate.
    pub failures: f64,
    /// Latency relative to the mean of all upstreams.
    pub pace: f64,
}

/// An ejection in force.
#[derive(Debug, Clone, Copy)]
struct Aside {
    until: Instant,
    /// Successful trial calls so far.
    good: u32,
}

/// Health of one upstream.
#[derive(Debug)]
pub struct Health {
    samples: u32,
    streak: u32,
    failures: f64,
    /// Moving mean of the latency, in seconds.
    latency: f64,
    /// Moving mean of the latency relative to the mean of all upstreams.
    pace: f64,
    load: f64,
    load_until: Instant,
    leaving_until: Instant,
    aside: Option<Aside>,
    /// Number of ejections; reset after a long time in good health.
    times: u32,
    /// When it last received a call, for eviction from the bounded table.
    pub used: Instant,
}

impl Health {
    /// Returns the health of an upstream without any calls yet.
    pub fn new(now: Instant) -> Self {
        Self {
            samples: 0,
            streak: 0,
            failures: 0.0,
            latency: 0.0,
            pace: 1.0,
            load: 0.0,
            load_until: now,
            leaving_until: now,
            aside: None,
            times: 0,
            used: now,
        }
    }

    /// Records the result of a call.
    pub fn observe(&mut self, seen: Seen, now: Instant) {
        match seen {
            Seen::Full => self.report(1.0, now),
            Seen::Leaving => self.leaving_until = now + LEAVING,
            Seen::Good(latency) => {
                self.mean(0.0);
                self.streak = 0;
                let latency = latency.as_secs_f64();
                self.latency = match self.samples {
                    1 => latency,
                    _ => self.latency + (latency - self.latency) * MEAN_WEIGHT,
                };
                self.trial_ended(true, now);
            }
            Seen::Failed => {
                self.mean(1.0);
                self.streak += 1;
                self.trial_ended(false, now);
            }
        }
    }

    /// Records a call that took `latency`, where the mean of its route over all upstreams is `usual`.
    pub fn observe_pace(&mut self, latency: Duration, usual: Duration) {
        let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(FAST_ENOUGH / 10.0);
        self.pace += (ratio.min(MAX_PACE) - self.pace) * PACE_WEIGHT;
    }

    /// Returns the latency relative to the mean of all upstreams.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Sets the load that the gate reports, 1 for full.
    pub fn report(&mut self, load: f64, now: Instant) {
        self.load = load;
        self.load_until = now + LOAD_FRESH;
    }

    /// Returns the load last reported by the gate, or 0 if that report is outdated.
    pub fn load(&self, now: Instant) -> f64 {
        if now < self.load_until {
            self.load
        } else {
            0.0
        }
    }

    /// Returns the mean latency in seconds, once there are enough responses.
    pub fn latency(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES && self.latency > 0.0).then_some(self.latency)
    }

    /// Returns whether the upstream is an outlier in a pool with the median latency `median`.
    pub fn is_suspect(&self, median: Option<f64>) -> bool {
        if self.streak >= MAX_STREAK {
            return true;
        }
        if self.samples < MIN_SAMPLES {
            return false;
        }
        let slow =
            median.is_some_and(|median| self.latency > (median * SLOW_RATIO).max(FAST_ENOUGH));
        self.failures >= MAX_FAILURES || slow
    }

    /// Returns the statistics of the upstream.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            samples: self.samples,
            streak: self.streak,
            failures: self.failures,
            pace: self.pace,
        }
    }

    /// Ejects the upstream, for longer with each ejection.
    pub fn set_aside(&mut self, now: Instant) {
        let time = ASIDE_MIN * 2u32.saturating_pow(self.times.min(10));
        self.times += 1;
        self.aside = Some(Aside {
            until: now + time.min(ASIDE_MAX),
            good: 0,
        });
    }

    /// Returns whether the upstream is ejected.
    pub fn is_aside(&self) -> bool {
        self.aside.is_some()
    }

    /// Returns whether the upstream receives calls.
    pub fn standing(&self, now: Instant) -> Standing {
        if now < self.leaving_until {
            return Standing::Aside;
        }
        match self.aside {
            None => Standing::Open,
            Some(aside) if now >= aside.until => Standing::Trial,
            Some(_) => Standing::Aside,
        }
    }

    /// Records that a call is sent to the upstream, and delays the next trial call.
    pub fn called(&mut self, now: Instant) {
        self.used = now;
        if let Some(aside) = &mut self.aside
            && now >= aside.until
        {
            aside.until = now + TRIAL_INTERVAL;
        }
    }

    fn mean(&mut self, failure: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failures += (failure - self.failures) * MEAN_WEIGHT;
    }

    /// Reinstates the upstream after enough successful trial calls, or ejects it again.
    fn trial_ended(&mut self, good: bool, now: Instant) {
        let Some(aside) = &mut self.aside else {
            if good && self.samples.is_multiple_of(1_000) {
                self.times = 0;
            }
            return;
        };
        if !good {
            self.set_aside(now);
            return;
        }
        aside.good += 1;
        if aside.good >= TRIALS {
            self.aside = None;
            self.samples = 0;
            self.streak = 0;
            self.failures = 0.0;
        }
    }
}
