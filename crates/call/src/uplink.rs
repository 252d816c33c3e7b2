//! Admission of large bodies to a VM's network link.

use std::time::Duration;

use model::{Rate, Size};
use tokio::time::Instant;

/// Maximum transfer time of the admitted bodies, because small calls queue behind them on the link.
const MAX_BACKLOG: Duration = Duration::from_millis(150);

/// Share of the link's rate available to bodies; the rest is for responses and small calls.
const BODY_SHARE: f64 = 0.8;

/// Assumed size of a body of unknown length.
const DEFAULT_BODY_SIZE: Size = Size::new(64 << 10);

/// The network link of a VM, as loaded by the bodies admitted to it.
///
/// Designed for a narrow link that a few uploads or downloads fill: without a bound, small calls to the same
/// upstream, and the running calls that wait for them, would queue behind bodies for seconds.
#[derive(Debug)]
pub struct Uplink {
    rate: Option<Rate>,
    busy_until: Instant,
}

impl Uplink {
    /// Returns a link of `rate`, idle at `now`. A link of unknown rate admits every body.
    pub fn new(rate: Option<Rate>, now: Instant) -> Self {
        Self {
            rate,
            busy_until: now,
        }
    }

    /// Admits a body of `size` to the link.
    ///
    /// # Errors
    ///
    /// Refuses a body if the backlog exceeds `MAX_BACKLOG`, with the time until it no longer does.
    pub fn admit(&mut self, size: Option<Size>, now: Instant) -> Result<(), Duration> {
        let Some(rate) = self.rate else {
            return Ok(());
        };
        let backlog = self.busy_until.saturating_duration_since(now);
        if backlog > MAX_BACKLOG {
            return Err(backlog - MAX_BACKLOG);
        }
        let time = rate
            .time(size.unwrap_or(DEFAULT_BODY_SIZE))
            .div_f64(BODY_SHARE);
        self.busy_until = self.busy_until.max(now) + time;
        Ok(())
    }
}
