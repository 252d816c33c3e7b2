//! Decides when a call that has got no answer is also sent to another upstream.

use std::time::Duration;

use tokio::time::Instant;

/// Time without an answer, in multiples of the route's mean latency, after which an upstream counts as
/// silent rather than slow. About one call in a hundred takes longer.
const SILENCE_RATIO: f64 = 4.0;

/// Minimum of that time: delays of busy VMs, which short calls notice most.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Time left until the deadline, in multiples of the route's mean latency, that a second attempt needs.
const MIN_TIME_LEFT: f64 = 1.5;

/// Times of a call that decide about a second attempt.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// When the first attempt was sent.
    pub sent: Instant,
    /// When the response is due under the route's latency objective, if it has one.
    pub objective: Option<Instant>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Mean latency of the route, if known.
    pub usual: Option<Duration>,
}

/// Returns when a second attempt is due, or `None` if it would come too late or the usual latency is not
/// known.
///
/// Designed for upstreams that fall silent: full ones that never answer what they cannot queue, connections
/// that have died without a reset, and VMs that have lost power. Each holds its calls until their deadline.
/// A second attempt before the objective would also be made for many calls that are merely slow.
pub fn due(timing: &Timing) -> Option<Instant> {
    let usual = timing.usual?;
    let silent = timing.sent + usual.mul_f64(SILENCE_RATIO).max(MIN_SILENCE);
    let due = timing.objective.map_or(silent, |due| due.max(silent));
    let latest = timing.deadline.checked_sub(usual.mul_f64(MIN_TIME_LEFT))?;
    (due < latest).then_some(due)
}
