//! How many daemons may join at once.

use std::time::Duration;

use tokio::time::Instant;

/// Daemons that may join one after the other without a pause.
const BURST: f64 = 16.0;

/// Daemons that may join in a second.
const RATE: f64 = 50.0;

/// Limits the daemons that join this one, so that a herd spreads out.
#[derive(Debug)]
pub struct JoinLimit {
    tokens: f64,
    refilled: Instant,
}

impl JoinLimit {
    /// Returns a limit that has admitted nobody yet.
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
    /// Returns the time after which there is room for it.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let refill = now.duration_since(self.refilled).as_secs_f64() * RATE;
        self.refilled = now;
        // Those that were turned away are owed a place each, so the next is sent further off.
        self.tokens = (self.tokens + refill).min(BURST) - 1.0;
        if self.tokens >= 0.0 {
            return Ok(());
        }
        self.tokens = self.tokens.max(-RATE * 5.0);
        Err(Duration::from_secs_f64(-self.tokens / RATE))
    }
}
