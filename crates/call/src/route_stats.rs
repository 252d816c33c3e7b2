//! Statistics of the calls of each route, as kept by a gate or an ingress.

use std::collections::HashMap;
use std::time::Duration;

use model::{RouteName, Size};

/// Maximum number of routes with statistics; beyond it, all are reset.
const MAX_ROUTES: usize = 512;

/// Weight of a new sample in the moving mean of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the moving mean of the response's size.
const RESPONSE_SIZE_WEIGHT: f64 = 0.1;

/// Minimum number of samples for a mean service time.
const MIN_SAMPLES: u32 = 3;

/// Weight of a new call in a route's admission rate.
const ROUTE_RATE_WEIGHT: f64 = 0.03;

/// Weight of a new call in the overall admission rate.
const OVERALL_RATE_WEIGHT: f64 = 0.01;

/// Minimum admission rate of each route, as a share of the overall rate.
const MIN_FAIR_SHARE: f64 = 0.5;

/// Minimum time left until a boosted due time, in multiples of the tightest objective of all routes.
const TIGHTEST_MARGIN: f64 = 1.2;

/// Number of calls from which a route counts among those that an upstream usually runs.
const MIN_REGULAR_SAMPLES: u32 = 20;

/// Deadline of nested calls, as a share of the shortest deadline of the calls that make them.
const NESTED_DEADLINE_SHARE: f64 = 0.6;

/// Boost per unit of admission rate that a route is below its minimum.
const BOOST_SCALE: Duration = Duration::from_secs(2);

/// Statistics of one route.
#[derive(Debug)]
struct Stats {
    samples: u32,
    /// Moving mean of the service time, in seconds.
    service_time: f64,
    /// Moving mean of the admission rate.
    admission_rate: f64,
    /// Longest time to the objective that a call arrived with: close to the route's configured objective.
    objective: Option<Duration>,
    /// Longest time to the deadline that a call arrived with.
    deadline: Duration,
    /// Moving mean of the response's size, in bytes; 0 before the first response.
    response_bytes: f64,
}

/// Statistics of all routes.
#[derive(Debug)]
pub struct RouteStats {
    routes: HashMap<RouteName, Stats>,
    /// Moving mean of the admission rate of all calls.
    admission_rate: f64,
    /// Tightest objective of all routes. Cached because every queued call is compared with it.
    tightest: Option<Duration>,
}

impl Default for RouteStats {
    fn default() -> Self {
        Self {
            routes: HashMap::new(),
            admission_rate: 1.0,
            tightest: None,
        }
    }
}

impl RouteStats {
    /// Records a call of `route` that the upstream ran for `latency`.
    pub fn observe(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let stats = self.stats(route);
        stats.samples = stats.samples.saturating_add(1);
        stats.service_time = match stats.samples {
            1 => seconds,
            _ => stats.service_time + (seconds - stats.service_time) * SERVICE_TIME_WEIGHT,
        };
    }

    /// Returns the mean service time of `route`, once there are enough samples.
    pub fn service_time(&self, route: &RouteName) -> Option<Duration> {
        let stats = self.routes.get(route)?;
        (stats.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(stats.service_time))
    }

    /// Records the size of a response of `route`.
    pub fn record_response(&mut self, route: &RouteName, size: Size) {
        let bytes = size.get() as f64;
        let stats = self.stats(route);
        stats.response_bytes = match stats.response_bytes {
            0.0 => bytes,
            mean => mean + (bytes - mean) * RESPONSE_SIZE_WEIGHT,
        };
    }

    /// Returns the mean size of the responses of `route`, once there was one.
    pub fn response_size(&self, route: &RouteName) -> Option<Size> {
        let bytes = self.routes.get(route)?.response_bytes;
        (bytes > 0.0).then_some(Size::new(bytes as u64))
    }

    /// Records whether a call of `route` was admitted.
    pub fn record_decision(&mut self, route: &RouteName, admitted: bool) {
        let value = if admitted { 1.0 } else { 0.0 };
        self.admission_rate += (value - self.admission_rate) * OVERALL_RATE_WEIGHT;
        let stats = self.stats(route);
        stats.admission_rate += (value - stats.admission_rate) * ROUTE_RATE_WEIGHT;
    }

    /// Returns the time by which the due time of a call of `route` is moved forward within its priority;
    /// `objective` is the time left to its objective.
    ///
    /// Designed for an upstream that receives more calls of several routes than it can run: ordered by
    /// objective alone, the calls with the latest objective would starve. No call is moved ahead of the
    /// route with the tightest objective: most of its calls are made by other running calls, whose work
    /// is lost without them.
    pub fn boost(&mut self, route: &RouteName, objective: Duration) -> Duration {
        let overall = self.admission_rate;
        let stats = self.stats(route);
        let is_longest = stats.objective < Some(objective);
        stats.objective = stats.objective.max(Some(objective));
        let behind = overall * MIN_FAIR_SHARE - stats.admission_rate;
        if is_longest {
            self.tightest = self
                .routes
                .values()
                .filter_map(|stats| stats.objective)
                .min();
        }
        if behind <= 0.0 {
            return Duration::ZERO;
        }
        BOOST_SCALE
            .mul_f64(behind)
            .min(objective.saturating_sub(self.tight_limit()))
    }

    /// Records that a call of `route` arrived with `left` until its deadline.
    pub fn record_deadline(&mut self, route: &RouteName, left: Duration) {
        let stats = self.stats(route);
        stats.deadline = stats.deadline.max(left);
    }

    /// Returns whether the calls of `route` are most likely made by other running calls, for which a
    /// response by the deadline matters more than one by the objective.
    ///
    /// Nested calls expire well before the calls that make them, so theirs is the shortest deadline by far.
    /// A route whose deadline is merely the shortest is one of callers.
    pub fn is_nested(&self, route: &RouteName) -> bool {
        let Some(deadline) = self.routes.get(route).map(|stats| stats.deadline) else {
            return false;
        };
        let regular = |stats: &&Stats| stats.samples >= MIN_REGULAR_SAMPLES;
        let others = self.routes.iter().filter(|(name, _)| *name != route);
        let others = others.map(|(_, stats)| stats).filter(regular);
        let (longer, similar): (Vec<_>, Vec<_>) = others
            .map(|stats| stats.deadline)
            .partition(|other| deadline <= other.mul_f64(NESTED_DEADLINE_SHARE));
        !longer.is_empty()
            && similar.iter().all(|other| {
                let (short, long) = (deadline.min(*other), deadline.max(*other));
                long <= short.mul_f64(TIGHTEST_MARGIN)
            })
    }

    fn tight_limit(&self) -> Duration {
        self.tightest.unwrap_or_default().mul_f64(TIGHTEST_MARGIN)
    }

    fn stats(&mut self, route: &RouteName) -> &mut Stats {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
            self.tightest = None;
        }
        self.routes.entry(route.clone()).or_insert(Stats {
            samples: 0,
            service_time: 0.0,
            admission_rate: 1.0,
            objective: None,
            deadline: Duration::ZERO,
            response_bytes: 0.0,
        })
    }
}
