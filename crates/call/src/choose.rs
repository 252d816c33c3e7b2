//! Choice of a pool and of an upstream in it.

use rand::{Rng, RngExt};
use table::{PoolIndex, RouteTable};

use crate::health::Standing;

/// Load from which calls go farther away, 1 for full: bytes between failure domains cost the operators
/// more than a question to a gate that has filled up meanwhile.
const SPILL_LOAD: f64 = 1.0;

/// Pace from which calls go farther away: far beyond how upstreams of one service usually differ.
const SPILL_PACE: f64 = 2.0;

/// Draws of a random candidate at most; cold ones are drawn again in part.
const MAX_DRAWS: usize = 8;

/// How near an upstream is, the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nearness {
    /// In the same failure domain.
    Domain,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// An upstream as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// How near it is.
    pub nearness: Nearness,
    /// Calls on it, 1 for full.
    pub load: f64,
    /// Share of its size that it gets, 1 but for a cold start.
    pub weight: f64,
    /// Time that calls take there, as a multiple of what they take at any upstream.
    pub pace: f64,
    /// Whether it takes calls.
    pub standing: Standing,
    /// Whether this call tried it already.
    pub tried: bool,
}

impl Candidate {
    /// Returns how little a call is expected to like it there: by its pace and by its load.
    fn cost(&self) -> f64 {
        self.pace * (1.0 + self.load)
    }
}

/// Returns one of the route's pools, by weight.
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

/// Returns the position of the candidate that takes the call.
///
/// The better of two random ones of the failure domain, then of the region, then of all; the
/// next farther ones where the better one is loaded. One that is due for a trial goes first, one
/// that is set aside only where there is no other. `None` if all were tried.
pub fn upstream(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let untried = || (0..candidates.len()).filter(|i| !candidates[*i].tried);
    let first_try = untried().count() == candidates.len();
    let mut trial = untried().filter(|i| candidates[*i].standing == Standing::Trial);
    if first_try && let Some(trial) = trial.next() {
        return Some(trial);
    }
    let mut open: Vec<usize> = untried()
        .filter(|i| candidates[*i].standing == Standing::Open)
        .collect();
    if open.is_empty() {
        open = untried().collect();
    }
    let mut best: Option<usize> = None;
    for farthest in [Nearness::Domain, Nearness::Region, Nearness::Far] {
        let near: Vec<usize> = open
            .iter()
            .copied()
            .filter(|i| candidates[*i].nearness <= farthest)
            .collect();
        let Some(found) = better_of_two(candidates, &near, rng) else {
            continue;
        };
        if candidates[found].load < SPILL_LOAD && candidates[found].pace < SPILL_PACE {
            return Some(found);
        }
        best = match best {
            Some(best) if candidates[best].cost() <= candidates[found].cost() => Some(best),
            _ => Some(found),
        };
    }
    best
}

/// Returns the cheaper of two random positions of `among`.
fn better_of_two(candidates: &[Candidate], among: &[usize], rng: &mut impl Rng) -> Option<usize> {
    let first = draw(candidates, among, rng)?;
    let second = draw(candidates, among, rng)?;
    match candidates[second].cost() < candidates[first].cost() {
        true => Some(second),
        false => Some(first),
    }
}

/// Returns a random position of `among`, each as probable as its weight.
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
