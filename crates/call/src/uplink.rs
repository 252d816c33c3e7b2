//! The decision whether a large body may come over the VM's link now.

use std::time::Duration;

use model::{Rate, Size};
use tokio::time::Instant;

/// Longest time that the bodies on their way may take the link for: small calls wait behind them.
const MAX_BACKLOG: Duration = Duration::from_millis(150);

/// Share of the link that bodies are counted on; the rest is for answers and small calls.
const BODY_SHARE: f64 = 0.8;

/// Size of a body whose length is not told.
const USUAL_SIZE: Size = Size::new(64 << 10);

/// The link of a VM, as the gate sees the bodies that come over it.
///
/// Answers the load pattern of a narrow link that a few uploads fill: small calls to the same upstream,
/// and the running calls that wait for them, would stand behind seconds of bodies.
#[derive(Debug)]
pub struct Uplink {
    rate: Option<Rate>,
    busy_until: Instant,
}

impl Uplink {
    /// Returns a link of `rate`, idle at `now`; one of unknown rate takes every body.
    pub fn new(rate: Option<Rate>, now: Instant) -> Self {
        Self {
            rate,
            busy_until: now,
        }
    }

    /// Takes a body of `size` onto the link.
    ///
    /// # Errors
    ///
    /// Refuses one that would stand behind too many others, with the time until it would not.
    pub fn take(&mut self, size: Option<Size>, now: Instant) -> Result<(), Duration> {
        let Some(rate) = self.rate else {
            return Ok(());
        };
        let backlog = self.busy_until.saturating_duration_since(now);
        if backlog > MAX_BACKLOG {
            return Err(backlog - MAX_BACKLOG);
        }
        let time = rate.time(size.unwrap_or(USUAL_SIZE)).div_f64(BODY_SHARE);
        self.busy_until = self.busy_until.max(now) + time;
        Ok(())
    }
}
