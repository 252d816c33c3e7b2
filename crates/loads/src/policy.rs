//! Scheduling policies that a simulation switches on or off.

use serde::Serialize;

/// The scheduling policies in force; each one that is off falls back to the simpler behaviour.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Policy {
    /// Queueing time is bounded by the latency objective of the call's route.
    pub bounded: bool,
    /// A call queries several gates for a free slot before it queues.
    pub asks: bool,
    /// Load balancing considers the relative latency of upstreams besides their load.
    pub paced: bool,
    /// Calls of routes with a low admission rate are ordered earlier.
    pub fair: bool,
}

impl Policy {
    /// Every policy is on.
    pub const ALL: Self = Self {
        bounded: true,
        asks: true,
        paced: true,
        fair: true,
    };

    /// Every policy is off.
    pub const NONE: Self = Self {
        bounded: false,
        asks: false,
        paced: false,
        fair: false,
    };
}
