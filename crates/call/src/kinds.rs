//! Statistics of the calls of each route, as kept by a gate or an ingress.

use std::collections::HashMap;
use std::time::Duration;

use model::RouteName;

/// Maximum number of routes with statistics; beyond it, all are reset.
const MAX_ROUTES: usize = 512;

/// Weight of a new sample in the moving mean of the service time.
const WORK_WEIGHT: f64 = 0.1;

/// Minimum number of samples for a mean service time.
const MIN_SAMPLES: u32 = 3;

/// Weight of a new call in a route's admission rate.
const SHARE_WEIGHT: f64 = 0.03;

/// Weight of a new call in the overall admission rate.
const OVERALL_WEIGHT: f64 = 0.01;

/// Minimum admission rate of each route, as a share of the overall rate.
const FAIR_PART: f64 = 0.5;

/// Multiple of the tightest objective of all routes ahead of which no call is moved.
const NEAREST_MARGIN: f64 = 1.2;

/// Boost per unit of admission rate that a route is below its minimum.
const MAX_BOOST: Duration = Duration::from_secs(2);

/// Statistics of one route.
#[derive(Debug)]
struct Kind {
    samples: u32,
    /// Moving mean of the service time, in seconds.
    work: f64,
    /// Moving mean of the admission rate.
    admitted: f64,
    /// Longest time to the objective that a call arrived with: close to the route's configured objective.
    aim: Option<Duration>,
}

/// Statistics of all routes.
#[derive(Debug)]
pub struct Kinds {
    routes: HashMap<RouteName, Kind>,
    /// Moving mean of the admission rate of all calls.
    admitted: f64,
    /// Tightest objective of all routes. Cached because every queued call is compared with it.
    nearest: Option<Duration>,
}

impl Default for Kinds {
    fn default() -> Self {
        Self {
            routes: HashMap::new(),
            admitted: 1.0,
            nearest: None,
        }
    }
}

impl Kinds {
    /// Records a call of `route` that the upstream ran for `latency`.
    pub fn observe(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let kind = self.kind(route);
        kind.samples = kind.samples.saturating_add(1);
        kind.work = match kind.samples {
            1 => seconds,
            _ => kind.work + (seconds - kind.work) * WORK_WEIGHT,
        };
    }

    /// Returns the mean service time of `route`, once there are enough samples.
    pub fn work(&self, route: &RouteName) -> Option<Duration> {
        let kind = self.routes.get(route)?;
        (kind.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(kind.work))
    }

    /// Records whether a call of `route` was admitted.
    pub fn decided(&mut self, route: &RouteName, admitted: bool) {
        let value = if admitted { 1.0 } else { 0.0 };
        self.admitted += (value - self.admitted) * OVERALL_WEIGHT;
        let kind = self.kind(route);
        kind.admitted += (value - kind.admitted) * SHARE_WEIGHT;
    }

    /// Returns the time by which the due time of a call of `route` is moved forward within its priority;
    /// `objective` is the time left to its objective.
    ///
    /// Designed for an upstream that receives more calls of several routes than it can run: ordered by
    /// objective alone, the calls with the latest objective would starve. No call is moved ahead of the
    /// route with the tightest objective: most of its calls are made by other running calls, whose work
    /// is lost without them.
    pub fn boost(&mut self, route: &RouteName, aim: Duration) -> Duration {
        let overall = self.admitted;
        let kind = self.kind(route);
        let is_longer = kind.aim < Some(aim);
        kind.aim = kind.aim.max(Some(aim));
        let behind = overall * FAIR_PART - kind.admitted;
        if is_longer {
            self.nearest = self.routes.values().filter_map(|kind| kind.aim).min();
        }
        if behind <= 0.0 {
            return Duration::ZERO;
        }
        MAX_BOOST
            .mul_f64(behind)
            .min(aim.saturating_sub(self.near_limit()))
    }

    /// Returns whether `route` has the tightest objective of several routes. Its calls are most likely
    /// made by other running calls, for which a response by the deadline matters more than one by the
    /// objective.
    pub fn is_nearest(&self, route: &RouteName) -> bool {
        let aim = self.routes.get(route).and_then(|kind| kind.aim);
        self.routes.len() > 1 && aim.is_some_and(|aim| aim <= self.near_limit())
    }

    fn near_limit(&self) -> Duration {
        self.nearest.unwrap_or_default().mul_f64(NEAREST_MARGIN)
    }

    fn kind(&mut self, route: &RouteName) -> &mut Kind {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
            self.nearest = None;
        }
        self.routes.entry(route.clone()).or_insert(Kind {
            samples: 0,
            work: 0.0,
            admitted: 1.0,
            aim: None,
        })
    }
}
