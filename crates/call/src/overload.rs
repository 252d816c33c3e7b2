//! Detects sustained overload of an upstream.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which calls must have queued without a break until the overload counts as sustained: longer
/// than the bursts that a queue should absorb. Also the time without a refusal after which it has ended.
const WINDOW: Duration = Duration::from_millis(300);

/// State of a queue: empty at times, or standing because more calls arrive than the upstream runs.
///
/// Designed for calls that keep arriving faster than the upstream runs them: a queue then stands at its
/// bound, and every call that is served waits for as long as the bound allows, although a short queue
/// would keep the upstream as busy. Such a queue has no use beyond a burst.
#[derive(Debug, Default)]
pub struct Overload {
    /// When the queue last became non-empty, if it is not empty.
    standing_since: Option<Instant>,
    /// Until when the overload counts as sustained.
    sustained_until: Option<Instant>,
}

impl Overload {
    /// Records whether calls are queued at `now`.
    pub fn record_queue(&mut self, is_empty: bool, now: Instant) {
        match self.standing_since {
            _ if is_empty => self.standing_since = None,
            None => self.standing_since = Some(now),
            Some(since) if now >= since + WINDOW => self.sustained_until = Some(now + WINDOW),
            Some(_) => {}
        }
    }

    /// Records that a call was refused at `now` for lack of a slot.
    pub fn record_refusal(&mut self, now: Instant) {
        if self.is_sustained(now) {
            self.sustained_until = Some(now + WINDOW);
        }
    }

    /// Returns whether more calls have arrived than the upstream runs for longer than a burst.
    pub fn is_sustained(&self, now: Instant) -> bool {
        self.sustained_until.is_some_and(|until| now < until)
    }
}
