//! Loads: kinds of calls, and the upstreams that they meet.

use model::Priority;

/// One kind of calls.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name of its route.
    pub name: &'static str,
    /// Calls a second.
    pub rate: f64,
    /// Mean time at an upstream of pace 1, in milliseconds.
    pub work: f64,
    /// Time within which an answer is worth most, in milliseconds.
    pub objective: u64,
    /// Time that the caller waits, in milliseconds.
    pub limit: u64,
    /// Priority.
    pub priority: Priority,
    /// Worth of an answer in time; a late one is worth half.
    pub worth: f64,
}

/// A load on one service.
#[derive(Debug, Clone)]
pub struct Load {
    /// Name.
    pub name: &'static str,
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// Time that calls take at each upstream, as a multiple of their work.
    pub paces: Vec<f64>,
    /// Slots of each upstream.
    pub slots: u32,
    /// From and until when, in milliseconds, calls come so many times as often.
    pub burst: Option<(u64, u64, f64)>,
}

/// Length of a day, in milliseconds.
pub(crate) const DAY: u64 = 30_000;

impl Load {
    /// Calls of one kind beyond what the upstreams can run, all day.
    pub fn overload() -> Self {
        Self {
            name: "overload",
            kinds: vec![Self::page(420.0)],
            paces: vec![0.7, 0.7, 1.6, 1.0],
            slots: 12,
            burst: None,
        }
    }

    /// Calls that the upstreams can run, and 2.5 times as many for a while.
    pub fn burst() -> Self {
        Self {
            name: "burst",
            kinds: vec![Self::page(150.0)],
            burst: Some((10_000, 16_000, 2.5)),
            ..Self::overload()
        }
    }

    /// Short calls that alone fill an upstream, and long ones beside them.
    pub fn mixed() -> Self {
        let short = Kind {
            name: "status",
            rate: 130.0,
            work: 90.0,
            objective: 200,
            limit: 1_200,
            priority: Priority::Normal,
            worth: 2.0,
        };
        let long = Kind {
            name: "upload",
            rate: 27.0,
            work: 280.0,
            objective: 600,
            limit: 4_000,
            ..short.clone()
        };
        Self {
            name: "mixed",
            kinds: vec![short, long],
            paces: vec![1.0],
            slots: 12,
            burst: None,
        }
    }

    /// Calls that the upstreams can run, one of which has become slow.
    pub fn slow() -> Self {
        Self {
            name: "slow",
            kinds: vec![Self::page(130.0)],
            paces: vec![1.0, 1.0, 1.0, 4.0],
            slots: 12,
            burst: None,
        }
    }

    /// Returns every load.
    pub fn all() -> Vec<Self> {
        vec![Self::overload(), Self::burst(), Self::mixed(), Self::slow()]
    }

    fn page(rate: f64) -> Kind {
        Kind {
            name: "page",
            rate,
            work: 180.0,
            objective: 600,
            limit: 2_500,
            priority: Priority::Normal,
            worth: 1.0,
        }
    }

    /// Returns how many times as often calls come at `now`.
    pub(crate) fn press(&self, now: u64) -> f64 {
        match self.burst {
            Some((from, until, times)) if (from..until).contains(&now) => times,
            _ => 1.0,
        }
    }
}
