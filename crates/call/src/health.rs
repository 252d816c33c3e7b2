//! What calls of this daemon observe of one upstream, and when it is set aside.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an upstream is suspect.
const MAX_STREAK: u32 = 5;

/// Share of failures from which an upstream is suspect.
const MAX_FAILURES: f64 = 0.5;

/// Answers that are needed for a judgement of their share of failures or latency.
const MIN_SAMPLES: u32 = 10;

/// Latency from which an upstream is suspect, in multiples of its pool's median.
const SLOW_RATIO: f64 = 4.0;

/// Latency that is never suspect, in seconds.
const FAST_ENOUGH: f64 = 0.02;

/// Weight of a new sample in the means.
const MEAN_WEIGHT: f64 = 0.15;

/// Weight of a new sample in the mean pace.
const PACE_WEIGHT: f64 = 0.08;

/// Largest pace of one call that counts, so that a single outlier does not decide.
const MAX_PACE: f64 = 6.0;

/// Time that an upstream is set aside at first; doubled each time.
const ASIDE_MIN: Duration = Duration::from_secs(2);

/// Longest time that an upstream is set aside.
const ASIDE_MAX: Duration = Duration::from_secs(15);

/// Time that an upstream is left alone after it said that it is leaving.
const LEAVING: Duration = Duration::from_secs(1);

/// Time between two trial calls.
const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Good trial calls after which an upstream is taken back.
const TRIALS: u32 = 3;

/// Time that a reported load is believed.
const LOAD_FRESH: Duration = Duration::from_millis(500);

/// Returns whether one more upstream of a pool of `size` may be set aside beside `aside` others: at
/// most half of a pool is, and never its last upstream.
pub fn may_set_aside(aside: usize, size: usize) -> bool {
    (aside + 1) * 2 <= size
}

/// What became of a call, as far as the upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Seen {
    /// A good answer after some time.
    Good(Duration),
    /// An error of the upstream or on the way to it.
    Failed,
    /// The gate had no room.
    Full,
    /// The gate said that the upstream is leaving.
    Leaving,
}

/// Whether an upstream takes calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Standing {
    /// It does.
    Open,
    /// A single trial call may go to it now.
    Trial,
    /// It is set aside.
    Aside,
}

/// What speaks against an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Evidence {
    /// Calls observed.
    pub samples: u32,
    /// Failures in a row.
    pub streak: u32,
    /// Share of failures.
    pub failures: f64,
    /// Time that calls take there, as a multiple of what they take at any upstream.
    pub pace: f64,
}

/// Why and until when an upstream is set aside.
#[derive(Debug, Clone, Copy)]
struct Aside {
    until: Instant,
    /// Good trial calls since.
    good: u32,
}

/// What was observed of one upstream.
#[derive(Debug)]
pub struct Health {
    samples: u32,
    streak: u32,
    failures: f64,
    /// Mean latency, in seconds.
    latency: f64,
    /// Mean of the time that calls take here, as a multiple of what they take at any upstream.
    pace: f64,
    load: f64,
    load_until: Instant,
    leaving_until: Instant,
    aside: Option<Aside>,
    /// Times that it was set aside without a long good time between.
    times: u32,
    /// When it was last used, for the bound on the table.
    pub used: Instant,
}

impl Health {
    /// Returns the health of an upstream that was not called before.
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

    /// Learns from a call.
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

    /// Learns from a call that took `latency`, where calls of its route usually take `usual`.
    pub fn observe_pace(&mut self, latency: Duration, usual: Duration) {
        let ratio = latency.as_secs_f64() / usual.as_secs_f64().max(FAST_ENOUGH / 10.0);
        self.pace += (ratio.min(MAX_PACE) - self.pace) * PACE_WEIGHT;
    }

    /// Returns the time that calls take here, as a multiple of what they take at any upstream.
    pub fn pace(&self) -> f64 {
        self.pace
    }

    /// Takes the load that the gate reports, 1 for full.
    pub fn report(&mut self, load: f64, now: Instant) {
        self.load = load;
        self.load_until = now + LOAD_FRESH;
    }

    /// Returns the load that the gate last reported, if that is not long ago.
    pub fn load(&self, now: Instant) -> f64 {
        if now < self.load_until {
            self.load
        } else {
            0.0
        }
    }

    /// Returns the mean latency in seconds, once there are enough answers.
    pub fn latency(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES && self.latency > 0.0).then_some(self.latency)
    }

    /// Returns whether the upstream should be set aside, beside a pool of latency `median`.
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

    /// Returns what is known of the upstream.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            samples: self.samples,
            streak: self.streak,
            failures: self.failures,
            pace: self.pace,
        }
    }

    /// Sets the upstream aside, each time for longer.
    pub fn set_aside(&mut self, now: Instant) {
        let time = ASIDE_MIN * 2u32.saturating_pow(self.times.min(10));
        self.times += 1;
        self.aside = Some(Aside {
            until: now + time.min(ASIDE_MAX),
            good: 0,
        });
    }

    /// Returns whether the upstream is set aside.
    pub fn is_aside(&self) -> bool {
        self.aside.is_some()
    }

    /// Returns whether the upstream takes calls.
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

    /// Notes that a call goes to the upstream; the next trial call waits.
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

    /// Takes the upstream back after enough good trial calls, or sets it aside again.
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
