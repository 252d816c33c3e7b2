//! What calls of this daemon observe of all upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};

use model::{DomainName, Millis, RegionName, RouteName, lock};
use table::Upstream;
use tokio::time::Instant;

use crate::choose::{Candidate, Nearness};
use crate::health::{Evidence, Health, Seen, Standing, may_set_aside};
use crate::kinds::Kinds;

/// Upstreams observed at most; the one called longest ago is forgotten first.
const MAX_UPSTREAMS: usize = 32_768;

/// Smallest share of its size that a cold upstream gets.
const MIN_WEIGHT: f64 = 0.05;

/// Where this daemon is.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Failure domain.
    pub(crate) domain: DomainName,
    /// Region.
    pub(crate) region: RegionName,
}

/// What was observed of upstreams, by the address of the gate beside each.
#[derive(Debug, Default)]
pub(crate) struct Watch(Mutex<Observations>);

/// Observations under one lock.
#[derive(Debug, Default)]
struct Observations {
    healths: HashMap<SocketAddr, Health>,
    /// Time that the calls of each route take, at whatever upstream.
    kinds: Kinds,
}

impl Watch {
    /// Describes `upstreams` for the choice among them.
    pub(crate) fn candidates(
        &self,
        upstreams: &[Arc<Upstream>],
        site: &Site,
        slow_start: Millis,
    ) -> Vec<Candidate> {
        let now = Instant::now();
        let observations = self.lock();
        let healths = &observations.healths;
        let describe = |upstream: &Arc<Upstream>| {
            let health = healths.get(&upstream.gate);
            let in_flight = upstream.stats.in_flight.load(Ordering::Relaxed);
            let own = f64::from(in_flight) / f64::from(upstream.slots.max(1));
            Candidate {
                nearness: nearness(upstream, site),
                load: own.max(health.map_or(0.0, |health| health.load(now))),
                weight: weight(upstream, slow_start, now),
                pace: health.map_or(1.0, Health::pace),
                standing: health.map_or(Standing::Open, |health| health.standing(now)),
                tried: false,
            }
        };
        upstreams.iter().map(describe).collect()
    }

    /// Notes that a call goes to `upstream`.
    pub(crate) fn called(&self, upstream: &Upstream) {
        let now = Instant::now();
        let healths = &mut self.lock().healths;
        if healths.len() >= MAX_UPSTREAMS && !healths.contains_key(&upstream.gate) {
            let oldest = healths.iter().min_by_key(|(_, health)| health.used);
            if let Some(oldest) = oldest.map(|(gate, _)| *gate) {
                healths.remove(&oldest);
            }
        }
        let health = healths.entry(upstream.gate);
        health.or_insert_with(|| Health::new(now)).called(now);
    }

    /// Learns from a call to `upstream`, one of `pool`, and the load that its gate reported.
    ///
    /// At most half of a pool is set aside, and never its last upstream. Returns why, where this call
    /// is the one after which the upstream is set aside.
    pub(crate) fn observe(
        &self,
        pool: &[Arc<Upstream>],
        upstream: &Upstream,
        route: &RouteName,
        seen: Seen,
        load: Option<u64>,
    ) -> Option<Evidence> {
        let now = Instant::now();
        let observations = &mut *self.lock();
        let healths = &mut observations.healths;
        let health = healths.get_mut(&upstream.gate)?;
        health.observe(seen, now);
        if let Seen::Good(latency) = seen {
            if let Some(usual) = observations.kinds.work(route) {
                health.observe_pace(latency, usual);
            }
            observations.kinds.observe(route, latency);
        }
        if let Some(percent) = load {
            health.report(percent as f64 / 100.0, now);
        }
        if health.is_aside() || matches!(seen, Seen::Full | Seen::Leaving) {
            return None;
        }
        let peers = || pool.iter().filter_map(|peer| healths.get(&peer.gate));
        let aside = peers().filter(|peer| peer.is_aside()).count();
        if !may_set_aside(aside, pool.len()) {
            return None;
        }
        let median = median(peers().filter_map(Health::latency).collect());
        if let Some(health) = healths.get_mut(&upstream.gate)
            && health.is_suspect(median)
        {
            let evidence = health.evidence();
            health.set_aside(now);
            return Some(evidence);
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        lock(&self.0)
    }
}

/// Returns the lower median, if there are two latencies at least.
fn median(mut latencies: Vec<f64>) -> Option<f64> {
    if latencies.len() < 2 {
        return None;
    }
    latencies.sort_by(f64::total_cmp);
    Some(latencies[(latencies.len() - 1) / 2])
}

fn nearness(upstream: &Upstream, site: &Site) -> Nearness {
    if upstream.domain == site.domain {
        Nearness::Domain
    } else if upstream.region == site.region {
        Nearness::Region
    } else {
        Nearness::Far
    }
}

/// Returns the share of its size that an upstream gets in its cold start.
fn weight(upstream: &Upstream, slow_start: Millis, now: Instant) -> f64 {
    if !upstream.warming || slow_start.get() == 0 {
        return 1.0;
    }
    let age = now.duration_since(upstream.first_seen).as_secs_f64();
    (age / slow_start.duration().as_secs_f64()).clamp(MIN_WEIGHT, 1.0)
}
