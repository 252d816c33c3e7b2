//! How long an upstream takes for the calls of each route.

use std::collections::HashMap;
use std::time::Duration;

use model::RouteName;

/// Routes that are kept at most; beyond that all are learnt anew.
const MAX_ROUTES: usize = 512;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Samples from which a mean is believed.
const MIN_SAMPLES: u32 = 3;

/// Mean of one route's calls.
#[derive(Debug)]
struct Mean {
    samples: u32,
    seconds: f64,
}

/// Means by route.
#[derive(Debug, Default)]
pub struct Works(HashMap<RouteName, Mean>);

impl Works {
    /// Learns from a call of `route` that the upstream ran for `latency`.
    pub fn observe(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        if let Some(mean) = self.0.get_mut(route) {
            mean.samples = mean.samples.saturating_add(1);
            mean.seconds += (seconds - mean.seconds) * MEAN_WEIGHT;
            return;
        }
        if self.0.len() >= MAX_ROUTES {
            self.0.clear();
        }
        let first = Mean {
            samples: 1,
            seconds,
        };
        self.0.insert(route.clone(), first);
    }

    /// Returns the time that a call of `route` takes, once it is known.
    pub fn get(&self, route: &RouteName) -> Option<Duration> {
        let mean = self.0.get(route)?;
        (mean.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(mean.seconds))
    }
}
