//! Rate limits of the key-value service.

use tokio::time::Instant;

/// A rate of calls, refilled continuously, with bursts of one second's worth.
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// Calls a second; no limit when zero.
    rate: u32,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Returns a limit of `rate` calls a second, none when zero.
    pub(crate) fn new(rate: u32) -> Self {
        Self {
            rate,
            tokens: f64::from(rate),
            refilled: Instant::now(),
        }
    }

    /// Takes one call out of the rate; returns whether there was one left.
    pub(crate) fn take(&mut self) -> bool {
        if self.rate == 0 {
            return true;
        }
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * f64::from(self.rate);
        self.refilled = now;
        self.tokens = (self.tokens + refill).min(f64::from(self.rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
