//! Guard against mass expiry when this daemon is isolated from the network.

use std::time::Duration;

use tokio::time::Instant;

/// Time window over which lost daemons are added up.
const WINDOW: Duration = Duration::from_secs(10);

/// Number of lost daemons from which the limit on the share applies.
const MIN_LOST: usize = 3;

/// Maximum share of a failure domain that may be expired within the window.
const MAX_LOST_PERCENT: usize = 30;

/// Daemons lost within the window, with the time of each loss.
#[derive(Debug, Default)]
pub struct ExpiryGuard {
    lost: Vec<(Instant, usize)>,
}

impl ExpiryGuard {
    /// Records the simultaneous loss of `lost` out of `known` daemons of a failure domain; returns
    /// whether they may be expired.
    ///
    /// If a large share is lost within a short time, this daemon is more likely isolated itself. The
    /// lost daemons then stay routed, and the outcomes of calls decide whether they are used.
    pub fn admits(&mut self, lost: usize, known: usize, now: Instant) -> bool {
        self.lost.retain(|(at, _)| now.duration_since(*at) < WINDOW);
        self.lost.push((now, lost));
        let sum: usize = self.lost.iter().map(|(_, lost)| lost).sum();
        sum < MIN_LOST || sum * 100 <= known * MAX_LOST_PERCENT
    }
}
