//! Load patterns: kinds of calls, and the upstreams that serve them.

use model::Priority;

/// One kind of calls.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name of the route.
    pub name: &'static str,
    /// Calls per second.
    pub rate: f64,
    /// Mean service time at an upstream of relative latency 1, in milliseconds.
    pub service_time: f64,
    /// Latency objective, in milliseconds.
    pub objective: u64,
    /// Time-out of the caller, in milliseconds.
    pub limit: u64,
    /// Priority of the route.
    pub priority: Priority,
    /// Worth of a response within the objective; a late one is worth half.
    pub worth: f64,
}

/// A load pattern of one service.
#[derive(Debug, Clone)]
pub struct Load {
    /// Name of the pattern.
    pub name: &'static str,
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// Service time at each upstream, as a multiple of the mean of the kind.
    pub relative_latencies: Vec<f64>,
    /// Number of slots per upstream.
    pub slots: u32,
    /// Start and end of a burst, in milliseconds, and the factor on the call rate.
    pub burst: Option<(u64, u64, f64)>,
}

/// Length of a simulated run, in milliseconds.
pub(crate) const RUN_MS: u64 = 30_000;

impl Load {
    /// More calls of one kind than the upstreams can run, for the whole run.
    pub fn overload() -> Self {
        Self {
            name: "overload",
            kinds: vec![Self::page(420.0)],
            relative_latencies: vec![0.7, 0.7, 1.6, 1.0],
            slots: 12,
            burst: None,
        }
    }

    /// Fewer calls than the upstreams can run, but 2.5 times as many, and more than they can run, during a
    /// burst.
    pub fn burst() -> Self {
        Self {
            name: "burst",
            kinds: vec![Self::page(150.0)],
            burst: Some((10_000, 16_000, 2.5)),
            ..Self::overload()
        }
    }

    /// Short calls that alone fill an upstream, mixed with long ones.
    pub fn mixed() -> Self {
        let short = Kind {
            name: "status",
            rate: 130.0,
            service_time: 90.0,
            objective: 200,
            limit: 1_200,
            priority: Priority::Normal,
            worth: 2.0,
        };
        let long = Kind {
            name: "upload",
            rate: 27.0,
            service_time: 280.0,
            objective: 600,
            limit: 4_000,
            ..short.clone()
        };
        Self {
            name: "mixed",
            kinds: vec![short, long],
            relative_latencies: vec![1.0],
            slots: 12,
            burst: None,
        }
    }

    /// Fewer calls than the upstreams can run, with one slow upstream.
    pub fn slow() -> Self {
        Self {
            name: "slow",
            kinds: vec![Self::page(130.0)],
            relative_latencies: vec![1.0, 1.0, 1.0, 4.0],
            slots: 12,
            burst: None,
        }
    }

    /// Returns every load pattern.
    pub fn all() -> Vec<Self> {
        vec![Self::overload(), Self::burst(), Self::mixed(), Self::slow()]
    }

    fn page(rate: f64) -> Kind {
        Kind {
            name: "page",
            rate,
            service_time: 180.0,
            objective: 600,
            limit: 2_500,
            priority: Priority::Normal,
            worth: 1.0,
        }
    }

    /// Returns the factor on the call rate at `now`, in milliseconds.
    pub(crate) fn rate_factor(&self, now: u64) -> f64 {
        match self.burst {
            Some((from, until, times)) if (from..until).contains(&now) => times,
            _ => 1.0,
        }
    }
}
