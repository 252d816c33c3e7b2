//! Statistics of all upstreams, as observed by this daemon's calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{DomainName, Millis, RegionName, RouteName, lock};
use table::Upstream;
use tokio::time::Instant;

use crate::choose::{Candidate, Distance};
use crate::health::{Availability, CallResult, Health, OutlierStats, may_eject};
use crate::route_stats::RouteStats;

/// Maximum number of upstreams with statistics; the one called longest ago is evicted first.
const MAX_UPSTREAMS: usize = 32_768;

/// Minimum share of its regular traffic that an upstream receives during slow start.
const MIN_WEIGHT: f64 = 0.05;

/// Location of this daemon.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Failure domain.
    pub(crate) domain: DomainName,
    /// Region.
    pub(crate) region: RegionName,
}

/// Statistics of upstreams, by the address of their gate.
#[derive(Debug, Default)]
pub(crate) struct UpstreamTracker(Mutex<State>);

/// Statistics under one lock.
#[derive(Debug, Default)]
struct State {
    healths: HashMap<SocketAddr, Health>,
    /// Service time of each route over all upstreams.
    route_stats: RouteStats,
}

impl UpstreamTracker {
    /// Returns `upstreams` as candidates for load balancing.
    pub(crate) fn candidates(
        &self,
        upstreams: &[Arc<Upstream>],
        site: &Site,
        slow_start: Millis,
    ) -> Vec<Candidate> {
        let now = Instant::now();
        let state = self.lock();
        let healths = &state.healths;
        let describe = |upstream: &Arc<Upstream>| {
            let health = healths.get(&upstream.gate);
            let in_flight = upstream.stats.in_flight.load(Ordering::Relaxed);
            let local_load = f64::from(in_flight) / f64::from(upstream.slots.max(1));
            Candidate {
                distance: distance(upstream, site),
                load: local_load.max(health.map_or(0.0, |health| health.load(now))),
                weight: weight(upstream, slow_start, now),
                relative_latency: health.map_or(1.0, Health::relative_latency),
                availability: health
                    .map_or(Availability::Available, |health| health.availability(now)),
                attempted: false,
                wait: health.map_or(Duration::ZERO, |health| health.wait(now)),
            }
        };
        upstreams.iter().map(describe).collect()
    }

    /// Returns the mean latency of `route` over all upstreams, once there are enough calls.
    pub(crate) fn usual_latency(&self, route: &RouteName) -> Option<Duration> {
        self.lock().route_stats.service_time(route)
    }

    /// Records that a call is sent to `upstream`.
    pub(crate) fn record_call(&self, upstream: &Upstream) {
        let now = Instant::now();
        let healths = &mut self.lock().healths;
        if healths.len() >= MAX_UPSTREAMS && !healths.contains_key(&upstream.gate) {
            let oldest = healths.iter().min_by_key(|(_, health)| health.last_used);
            if let Some(oldest) = oldest.map(|(gate, _)| *gate) {
                healths.remove(&oldest);
            }
        }
        let health = healths.entry(upstream.gate);
        health.or_insert_with(|| Health::new(now)).record_call(now);
    }

    /// Records the result of a call to `upstream`, a member of `pool`, and the load that its gate reported.
    ///
    /// Ejects the upstream if it is an outlier, but at most half of a pool and never its last upstream.
    /// Returns the statistics that led to the ejection, if this call caused one.
    pub(crate) fn observe(
        &self,
        pool: &[Arc<Upstream>],
        upstream: &Upstream,
        route: &RouteName,
        result: CallResult,
        load: Option<u64>,
    ) -> Option<OutlierStats> {
        let now = Instant::now();
        let state = &mut *self.lock();
        let healths = &mut state.healths;
        let health = healths.get_mut(&upstream.gate)?;
        health.observe(result, now);
        if let CallResult::Success(latency) | CallResult::Unanswered(latency) = result
            && let Some(usual) = state.route_stats.service_time(route)
        {
            health.observe_relative_latency(latency, usual);
        }
        if let CallResult::Success(latency) = result {
            state.route_stats.observe(route, latency);
        }
        if let Some(percent) = load {
            health.set_load(percent as f64 / 100.0, now);
        }
        if health.is_ejected() || matches!(result, CallResult::Full(_) | CallResult::Leaving) {
            return None;
        }
        let peers = || pool.iter().filter_map(|peer| healths.get(&peer.gate));
        let ejected = peers().filter(|peer| peer.is_ejected()).count();
        if !may_eject(ejected, pool.len()) {
            return None;
        }
        let median = median(peers().filter_map(Health::latency).collect());
        if let Some(health) = healths.get_mut(&upstream.gate)
            && health.is_outlier(median)
        {
            let stats = health.stats();
            health.eject(now);
            return Some(stats);
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }
}

/// Returns the lower median of at least two latencies.
fn median(mut latencies: Vec<f64>) -> Option<f64> {
    if latencies.len() < 2 {
        return None;
    }
    latencies.sort_by(f64::total_cmp);
    Some(latencies[(latencies.len() - 1) / 2])
}

fn distance(upstream: &Upstream, site: &Site) -> Distance {
    if upstream.domain == site.domain {
        Distance::Domain
    } else if upstream.region == site.region {
        Distance::Region
    } else {
        Distance::Far
    }
}

/// Returns the share of its regular traffic that an upstream receives, below 1 during slow start.
fn weight(upstream: &Upstream, slow_start: Millis, now: Instant) -> f64 {
    if !upstream.warming || slow_start.get() == 0 {
        return 1.0;
    }
    let age = now.duration_since(upstream.first_seen).as_secs_f64();
    (age / slow_start.duration().as_secs_f64()).clamp(MIN_WEIGHT, 1.0)
}
