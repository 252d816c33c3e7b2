//! Load balancing: chooses a pool and an upstream in it.

use std::time::Duration;

use rand::{Rng, RngExt};
use table::{PoolIndex, RouteTable};

use crate::health::Availability;

/// Load (1 is full) from which calls spill over to farther upstreams: a full upstream with a short queue.
/// Traffic between failure domains costs the operators more than a short wait.
const SPILL_LOAD: f64 = 1.25;

/// Relative latency from which calls spill over to farther upstreams: well above the usual differences
/// between upstreams of one service.
const SPILL_RELATIVE_LATENCY: f64 = 2.0;

/// Factor on both limits for calls with large responses, which cost far more between failure domains.
const LARGE_SPILL_FACTOR: f64 = 1.6;

/// Maximum number of random draws; a draw of an upstream in slow start is partly rejected.
const MAX_DRAWS: usize = 8;

/// Distance of an upstream, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same failure domain.
    Domain,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// An upstream that can be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its distance.
    pub distance: Distance,
    /// Its load, 1 for full.
    pub load: f64,
    /// Share of its regular traffic that it receives: below 1 during slow start.
    pub weight: f64,
    /// Its latency relative to the mean of all upstreams.
    pub relative_latency: f64,
    /// Whether it receives calls.
    pub availability: Availability,
    /// Whether this call has already attempted it.
    pub attempted: bool,
    /// Queueing time that its gate reported when it last refused a call, less the time since.
    pub wait: Duration,
}

impl Candidate {
    /// Returns the expected cost of a call: relative latency, scaled up by load.
    fn cost(&self) -> f64 {
        self.relative_latency * (1.0 + self.load)
    }
}

/// What the choice of an upstream depends on besides the candidates.
#[derive(Debug, Clone, Copy, Default)]
pub struct Preference {
    /// Whether this is the call's first attempt, which may be a trial of an ejected upstream.
    pub first: bool,
    /// Whether the response is large.
    pub large: bool,
}

/// Returns one of the route's pools at random, by weight.
pub fn pool(route: &RouteTable, rng: &mut impl Rng) -> PoolIndex {
    let total: u64 = route
        .targets
        .iter()
        .map(|(_, weight)| u64::from(weight.get()))
        .sum();
    let mut rest = rng.random_range(0..total.max(1));
    for (index, weight) in &route.targets {
        let weight = u64::from(weight.get());
        if rest < weight {
            return *index;
        }
        rest -= weight;
    }
    route.targets[0].0
}

/// Returns the index of the candidate that receives the call, or `None` if all were attempted.
///
/// Picks the better of two random candidates in the failure domain; if that one is loaded or slow, also
/// considers the region, then all. On a call's first attempt, an upstream due for a trial call takes
/// precedence. An ejected one is chosen only if there is no other.
pub fn upstream(
    candidates: &[Candidate],
    preference: Preference,
    rng: &mut impl Rng,
) -> Option<usize> {
    let factor = if preference.large {
        LARGE_SPILL_FACTOR
    } else {
        1.0
    };
    let remaining = || (0..candidates.len()).filter(|i| !candidates[*i].attempted);
    let mut trial = remaining().filter(|i| candidates[*i].availability == Availability::Trial);
    if preference.first
        && let Some(trial) = trial.next()
    {
        return Some(trial);
    }
    let mut open: Vec<usize> = remaining()
        .filter(|i| candidates[*i].availability == Availability::Available)
        .collect();
    if open.is_empty() {
        open = remaining().collect();
    }
    let mut best: Option<usize> = None;
    for farthest in [Distance::Domain, Distance::Region, Distance::Far] {
        let near: Vec<usize> = open
            .iter()
            .copied()
            .filter(|i| candidates[*i].distance <= farthest)
            .collect();
        let Some(found) = better_of_two(candidates, &near, rng) else {
            continue;
        };
        if candidates[found].load < SPILL_LOAD * factor
            && candidates[found].relative_latency < SPILL_RELATIVE_LATENCY * factor
        {
            return Some(found);
        }
        best = match best {
            Some(best) if candidates[best].cost() <= candidates[found].cost() => Some(best),
            _ => Some(found),
        };
    }
    best
}

/// Returns the candidate of lower cost of two random ones of `among`.
fn better_of_two(candidates: &[Candidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let first = draw(candidates, among, rng)?;
    let second = draw(candidates, among, rng)?;
    match candidates[second].cost() < candidates[first].cost() {
        true => Some(second),
        false => Some(first),
    }
}

/// Returns a random candidate of `among`, weighted.
fn draw(candidates: &[Candidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    if among.is_empty() {
        return None;
    }
    for _ in 0..MAX_DRAWS {
        let drawn = among[rng.random_range(0..among.len())];
        if rng.random::<f64>() < candidates[drawn].weight {
            return Some(drawn);
        }
    }
    Some(among[rng.random_range(0..among.len())])
}
