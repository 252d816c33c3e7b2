//! Paces calls to an upstream that states a limit of calls a second.

use std::time::Duration;

use model::CallRate;
use tokio::time::Instant;

/// Time by which calls may run ahead of an even pace, so that small bursts need not queue.
const MAX_LEAD: Duration = Duration::from_millis(250);

/// Longest time between two calls. An upstream withdraws its limit in a response, so one that takes no calls
/// still gets some.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Pace of the calls to one upstream.
#[derive(Debug)]
pub struct Pacer {
    limit: Option<CallRate>,
    /// When the next call is due at an even pace.
    due: Instant,
}

impl Pacer {
    /// Returns a pacer without a limit.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            due: now,
        }
    }

    /// Sets the limit. Calls that have run count toward it.
    pub fn set_limit(&mut self, limit: Option<CallRate>, now: Instant) {
        self.limit = limit;
        self.due = self.due.min(now + MAX_LEAD + self.interval());
    }

    /// Takes the turn of one call, if it is due.
    pub fn take(&mut self, now: Instant) -> bool {
        let is_due = self.wait(0, now).is_zero();
        if is_due && self.limit.is_some() {
            self.due = self.due.max(now) + self.interval();
        }
        is_due
    }

    /// Returns the time until a call may run after `before` others.
    pub fn wait(&self, before: u32, now: Instant) -> Duration {
        if self.limit.is_none() {
            return Duration::ZERO;
        }
        let due = self.due + self.interval() * before;
        due.saturating_duration_since(now + MAX_LEAD)
    }

    /// Returns the calls ahead of an even pace, in percent of those allowed.
    pub fn load(&self, now: Instant) -> u32 {
        if self.limit.is_none() {
            return 0;
        }
        let lead = self.due.saturating_duration_since(now);
        (lead.as_millis() * 100 / MAX_LEAD.as_millis()) as u32
    }

    /// Returns the time between two calls at an even pace; zero without a limit.
    fn interval(&self) -> Duration {
        self.limit
            .map_or(Duration::ZERO, |limit| limit.interval().min(MAX_INTERVAL))
    }
}
