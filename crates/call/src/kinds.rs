//! What an upstream's gate, or an ingress, learns of the calls of each route.

use std::collections::HashMap;
use std::time::Duration;

use model::RouteName;

/// Routes that are kept at most; beyond that all are learnt anew.
const MAX_ROUTES: usize = 512;

/// Weight of a new sample in the mean time that calls take.
const WORK_WEIGHT: f64 = 0.1;

/// Samples from which a mean time is believed.
const MIN_SAMPLES: u32 = 3;

/// Weight of a new call in the share of a route's calls that are admitted.
const SHARE_WEIGHT: f64 = 0.03;

/// Weight of a new call in the share of all calls that are admitted.
const OVERALL_WEIGHT: f64 = 0.01;

/// Part of the overall share that each route is to have at least.
const FAIR_PART: f64 = 0.5;

/// Time, in multiples of the nearest aim of all routes, before which no call is moved.
const NEAREST_MARGIN: f64 = 1.2;

/// Precedence of a route none of whose calls are admitted, beside others all of whose calls are.
const MAX_BOOST: Duration = Duration::from_secs(2);

/// The calls of one route.
#[derive(Debug)]
struct Kind {
    samples: u32,
    /// Mean time that the upstream takes, in seconds.
    work: f64,
    /// Share of the calls that are admitted.
    admitted: f64,
    /// Longest time until its aim that a call arrived with: nearly what the route allows.
    aim: Option<Duration>,
}

/// The calls of all routes.
#[derive(Debug)]
pub struct Kinds {
    routes: HashMap<RouteName, Kind>,
    /// Share of all calls that are admitted.
    admitted: f64,
    /// Nearest aim of all routes. Kept, as every call that waits is compared with it.
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
    /// Learns from a call of `route` that the upstream ran for `latency`.
    pub fn observe(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let kind = self.kind(route);
        kind.samples = kind.samples.saturating_add(1);
        kind.work = match kind.samples {
            1 => seconds,
            _ => kind.work + (seconds - kind.work) * WORK_WEIGHT,
        };
    }

    /// Returns the time that a call of `route` takes, once it is known.
    pub fn work(&self, route: &RouteName) -> Option<Duration> {
        let kind = self.routes.get(route)?;
        (kind.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(kind.work))
    }

    /// Notes whether a call of `route` was admitted.
    pub fn decided(&mut self, route: &RouteName, admitted: bool) {
        let value = if admitted { 1.0 } else { 0.0 };
        self.admitted += (value - self.admitted) * OVERALL_WEIGHT;
        let kind = self.kind(route);
        kind.admitted += (value - kind.admitted) * SHARE_WEIGHT;
    }

    /// Returns by how much a call of `route` that arrives with `aim` left goes before others of its
    /// priority.
    ///
    /// Answers the load pattern of an upstream that is asked for more than it can run by several
    /// routes: in order of their aims alone, the calls with the latest aim would be starved. The route
    /// with the nearest aim keeps its place: most such calls are made by others that are running, whose
    /// work is lost without them.
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

    /// Returns whether calls of `route` have the nearest aim of all: most likely they are made by others
    /// that are running, which need an answer by the deadline more than one by the aim.
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
