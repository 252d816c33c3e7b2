//! Rate limit for joining daemons.

use std::time::Duration;

use tokio::time::Instant;

/// Number of daemons that may join in a burst.
const BURST: f64 = 16.0;

/// Sustained rate of joins.
const RATE_PER_S: f64 = 50.0;

/// Token bucket that limits joins, so that a thundering herd of daemons is spread over time.
#[derive(Debug)]
pub struct JoinLimit {
    tokens: f64,
    refilled: Instant,
}

impl JoinLimit {
    /// Creates a full token bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            refilled: now,
        }
    }

    /// Admits one daemon.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let refill = now.duration_since(self.refilled).as_secs_f64() * RATE_PER_S;
        self.refilled = now;
        // Rejected daemons take a token too, so that each further one gets a longer delay.
        self.tokens = (self.tokens + refill).min(BURST) - 1.0;
        if self.tokens >= 0.0 {
            return Ok(());
        }
        self.tokens = self.tokens.max(-RATE_PER_S * 5.0);
        Err(Duration::from_secs_f64(-self.tokens / RATE_PER_S))
    }
}
