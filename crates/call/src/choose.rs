//! Choice of a pool and of an upstream in it.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use model::{DomainName, VmId};
use rand::{Rng, RngExt};
use table::{PoolIndex, RouteTable, Upstream};

/// Returns one of the route's pools, by weight.
pub(crate) fn pool(route: &RouteTable, rng: &mut impl Rng) -> PoolIndex {
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

/// Returns the better of two random upstreams of `domain`, or of others where it has none free.
///
/// Upstreams in `tried` are left out.
pub(crate) fn upstream(
    upstreams: &[Arc<Upstream>],
    domain: &DomainName,
    tried: &[VmId],
    rng: &mut impl Rng,
) -> Option<Arc<Upstream>> {
    let open = |upstream: &&Arc<Upstream>| !tried.contains(&upstream.vm);
    let near = |upstream: &&Arc<Upstream>| upstream.domain == *domain && load(upstream) < 1.0;
    let local: Vec<_> = upstreams.iter().filter(open).filter(near).collect();
    let all: Vec<_> = match local.is_empty() {
        true => upstreams.iter().filter(open).collect(),
        false => local,
    };
    if all.is_empty() {
        return None;
    }
    let first = all[rng.random_range(0..all.len())];
    let second = all[rng.random_range(0..all.len())];
    let better = if load(second) < load(first) {
        second
    } else {
        first
    };
    Some(Arc::clone(better))
}

/// Returns the share of the upstream's slots that calls of this daemon use.
fn load(upstream: &Upstream) -> f64 {
    let in_flight = upstream.observed.in_flight.load(Ordering::Relaxed);
    f64::from(in_flight) / f64::from(upstream.slots.max(1))
}
