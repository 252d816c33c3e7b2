//! Outlier detection: the health of one upstream as observed by this daemon's calls.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures from which an upstream is an outlier.
const MAX_FAILURE_STREAK: u32 = 5;

/// Failure rate from which an upstream is an outlier.
const MAX_FAILURE_RATE: f64 = 0.5;

/// Minimum number of calls for judging the failure rate or latency.
const MIN_SAMPLES: u32 = 10;

/// Latency from which an upstream is an outlier, in multiples of its pool's median.
const SLOW_RATIO: f64 = 4.0;

/// Latency up to which an upstream is never considered slow, in seconds.
const MIN_SLOW_LATENCY_S: f64 = 0.02;

/// Weight of a new sample in the moving means of latency and failure rate.
const MEAN_WEIGHT: f64 = 0.15;

/// Weight of a new sample in the moving mean of the relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.08;

/// Cap on the relative latency of one call, so that a single slow call does not dominate the mean.
const MAX_RELATIVE_LATENCY: f64 = 6.0;

/// Duration of the first ejection of an upstream; doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(15);

/// Time during which an upstream receives no calls after its gate reported that it is leaving.
const DEPARTURE_PAUSE: Duration = Duration::from_secs(1);

/// Time between two trial calls to an ejected upstream.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Successful trial calls after which an ejected upstream is reinstated.
const MIN_GOOD_TRIALS: u32 = 3;

/// Maximum time for which a gate that refused a call counts as full.
const MAX_FULL_TIME: Duration = Duration::from_millis(250);

/// Time for which a reported load is considered current.
const LOAD_TTL: Duration = Duration::from_millis(500);

/// Returns whether one more upstream of a pool of `size` may be ejected when `ejected` already are. At
/// most half of a pool is ejected, and never its last upstream.
pub fn may_eject(ejected: usize, size: usize) -> bool {
    (ejected + 1) * 2 <= size
}

/// Result of a call, as far as it concerns the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallResult {
    /// A successful response, with its latency.
    Success(Duration),
    /// An error of the upstream or of the connection to it.
    Failure,
    /// Another upstream answered first, after this time without an answer.
    Unanswered(Duration),
    /// The gate had no free slot, and expects this queueing time.
    Full(Duration),
    /// The gate reported that the upstream is leaving.
    Leaving,
}

/// Whether an upstream receives calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Availability {
    /// It receives calls.
    Available,
    /// It may receive a single trial call now.
    Trial,
    /// It is ejected, or leaving.
    Ejected,
}

/// Statistics for which an upstream was ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierStats {
    /// Calls observed.
    pub samples: u32,
    /// Consecutive failures.
    pub streak: u32,
    /// Moving mean of the failure rate.
    pub failure_rate: f64,
    /// Latency relative to the mean of all upstreams.
    pub relative_latency: f64,
}

/// An ejection in force.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: Instant,
    /// Successful trial calls so far.
    successes: u32,
}

/// Health of one upstream.
#[derive(Debug)]
pub struct Health {
    samples: u32,
    streak: u32,
    failure_rate: f64,
    /// Moving mean of the latency, in seconds.
    latency: f64,
    /// Moving mean of the latency relative to the mean of all upstreams.
    relative_latency: f64,
    load: f64,
    load_until: Instant,
    /// When a slot may be free again at the gate that last refused a call.
    full_until: Instant,
    leaving_until: Instant,
    ejection: Option<Ejection>,
    /// Number of ejections; reset by the success of every 1,000th call since the last reinstatement.
    ejections: u32,
    /// When it last received a call, for eviction from the bounded table.
    pub last_used: Instant,
}

impl Health {
    /// Returns the health of an upstream without any calls yet.
    pub fn new(now: Instant) -> Self {
        Self {
            samples: 0,
            streak: 0,
            failure_rate: 0.0,
            latency: 0.0,
            relative_latency: 1.0,
            load: 0.0,
            load_until: now,
            full_until: now,
            leaving_until: now,
            ejection: None,
            ejections: 0,
            last_used: now,
        }
    }

    /// Records the result of a call.
    pub fn observe(&mut self, result: CallResult, now: Instant) {
        match result {
            CallResult::Full(wait) => {
                self.set_load(1.0, now);
                self.full_until = now + wait.min(MAX_FULL_TIME);
            }
            // A slow upstream counts as one; a silent connection is closed by its pings.
            CallResult::Unanswered(_) => {}
            CallResult::Leaving => self.leaving_until = now + DEPARTURE_PAUSE,
            CallResult::Success(latency) => {
                self.update_failure_rate(0.0);
                self.streak = 0;
                let latency = latency.as_secs_f64();
                self.latency = match self.samples {
                    1 => latency,
                    _ => self.latency + (latency - self.latency) * MEAN_WEIGHT,
                };
                self.trial_ended(true, now);
            }
            CallResult::Failure => {
                self.update_failure_rate(1.0);
                self.streak += 1;
                self.trial_ended(false, now);
            }
        }
    }

    /// Records a call that took `latency`, where the mean of its route over all upstreams is `usual`.
    pub fn observe_relative_latency(&mut self, latency: Duration, usual: Duration) {
        let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(MIN_SLOW_LATENCY_S / 10.0);
        self.relative_latency +=
            (ratio.min(MAX_RELATIVE_LATENCY) - self.relative_latency) * RELATIVE_LATENCY_WEIGHT;
    }

    /// Returns the latency relative to the mean of all upstreams.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Sets the load that the gate reports, 1 for full.
    pub fn set_load(&mut self, load: f64, now: Instant) {
        self.load = load;
        self.load_until = now + LOAD_TTL;
    }

    /// Returns the load last reported by the gate, or 0 if that report is outdated.
    pub fn load(&self, now: Instant) -> f64 {
        if now < self.load_until {
            self.load
        } else {
            0.0
        }
    }

    /// Returns the queueing time that is left of the one that the gate expected when it refused a call.
    pub fn wait(&self, now: Instant) -> Duration {
        self.full_until.saturating_duration_since(now)
    }

    /// Returns the mean latency in seconds, once there are enough calls.
    pub fn latency(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES && self.latency > 0.0).then_some(self.latency)
    }

    /// Returns whether the upstream is an outlier in a pool with the median latency `median`.
    pub fn is_outlier(&self, median: Option<f64>) -> bool {
        if self.streak >= MAX_FAILURE_STREAK {
            return true;
        }
        if self.samples < MIN_SAMPLES {
            return false;
        }
        let slow = median
            .is_some_and(|median| self.latency > (median * SLOW_RATIO).max(MIN_SLOW_LATENCY_S));
        self.failure_rate >= MAX_FAILURE_RATE || slow
    }

    /// Returns the statistics of the upstream.
    pub fn stats(&self) -> OutlierStats {
        OutlierStats {
            samples: self.samples,
            streak: self.streak,
            failure_rate: self.failure_rate,
            relative_latency: self.relative_latency,
        }
    }

    /// Ejects the upstream, for longer with each ejection.
    pub fn eject(&mut self, now: Instant) {
        let time = MIN_EJECTION * 2u32.saturating_pow(self.ejections.min(10));
        self.ejections += 1;
        self.ejection = Some(Ejection {
            until: now + time.min(MAX_EJECTION),
            successes: 0,
        });
    }

    /// Returns whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether the upstream receives calls.
    pub fn availability(&self, now: Instant) -> Availability {
        if now < self.leaving_until {
            return Availability::Ejected;
        }
        match self.ejection {
            None => Availability::Available,
            Some(ejection) if now >= ejection.until => Availability::Trial,
            Some(_) => Availability::Ejected,
        }
    }

    /// Records that a call is sent to the upstream, and delays the next trial call.
    pub fn record_call(&mut self, now: Instant) {
        self.last_used = now;
        if let Some(ejection) = &mut self.ejection
            && now >= ejection.until
        {
            ejection.until = now + TRIAL_INTERVAL;
        }
    }

    fn update_failure_rate(&mut self, failure: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += (failure - self.failure_rate) * MEAN_WEIGHT;
    }

    /// Reinstates the upstream after enough successful trial calls, or ejects it again.
    fn trial_ended(&mut self, success: bool, now: Instant) {
        let Some(ejection) = &mut self.ejection else {
            if success && self.samples.is_multiple_of(1_000) {
                self.ejections = 0;
            }
            return;
        };
        if !success {
            self.eject(now);
            return;
        }
        ejection.successes += 1;
        if ejection.successes >= MIN_GOOD_TRIALS {
            self.ejection = None;
            self.samples = 0;
            self.streak = 0;
            self.failure_rate = 0.0;
        }
    }
}
