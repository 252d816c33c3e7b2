//! Guard against taking one's own isolation for the death of many others.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which lost daemons are counted together.
const WINDOW: Duration = Duration::from_secs(10);

/// Daemons that may always be lost at once.
const MIN_LOST: usize = 3;

/// Share of the failure domain that may be lost within the window, in percent.
const MAX_LOST_PERCENT: usize = 30;

/// Daemons lost lately.
#[derive(Debug, Default)]
pub struct Guard {
    lost: Vec<(Instant, usize)>,
}

impl Guard {
    /// Notes that `lost` daemons, of `known` in their failure domain, were lost together; returns
    /// whether they may be expired.
    ///
    /// When a large share is lost within a short time, the likelier cause is that this daemon is
    /// cut off. They stay routed then, and what calls observe decides.
    pub fn admits(&mut self, lost: usize, known: usize, now: Instant) -> bool {
        self.lost.retain(|(at, _)| now.duration_since(*at) < WINDOW);
        self.lost.push((now, lost));
        let sum: usize = self.lost.iter().map(|(_, lost)| lost).sum();
        sum < MIN_LOST || sum * 100 <= known * MAX_LOST_PERCENT
    }
}
