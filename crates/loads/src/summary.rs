//! Results of a simulated run.

use serde::Serialize;

/// Results of the calls of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct KindSummary {
    /// Number of calls, without the callers' retries.
    pub asked: u32,
    /// Calls served within the objective.
    pub in_aim: u32,
    /// Calls served after the objective but within the caller's time-out.
    pub late: u32,
    /// Calls not served within the caller's time-out.
    pub unserved: u32,
}

impl KindSummary {
    /// Returns the share of calls that were served, in time or late.
    pub fn served(&self) -> f64 {
        f64::from(self.in_aim + self.late) / f64::from(self.asked.max(1))
    }
}

/// Results of a simulated run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Results by kind, in the order of the load pattern.
    pub kinds: Vec<KindSummary>,
    /// Worth of all responses, as a share of their worth if all had met the objective.
    pub worth: f64,
    /// Mean latency over all calls, in milliseconds; a call that was never run counts as 0.
    pub mean: f64,
}
