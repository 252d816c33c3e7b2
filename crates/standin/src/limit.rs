//! Rate limits of the key-value service.

use tokio::time::Instant;

/// Token bucket that refills continuously and holds the calls of one second.
#[derive(Debug)]
pub(crate) struct RateLimit {
    /// Calls per second; zero means no limit.
    rate: u32,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Returns a limit of `rate` calls per second; zero means no limit.
    pub(crate) fn new(rate: u32) -> Self {
        Self {
            rate,
            tokens: f64::from(rate),
            refilled: Instant::now(),
        }
    }

    /// Takes one token; returns false if none is left.
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
