//! Which decisions are in force.

use serde::Serialize;

/// Which decisions are in force; the others are as they were before.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Policy {
    /// Waits are bounded by the objective of the call's route.
    pub bounded: bool,
    /// A call asks several gates for a free slot before it waits.
    pub asks: bool,
    /// Upstreams are chosen by the time that calls take there, beside their load.
    pub paced: bool,
    /// Routes that fall behind go earlier.
    pub fair: bool,
}

impl Policy {
    /// Every decision in force.
    pub const ALL: Self = Self {
        bounded: true,
        asks: true,
        paced: true,
        fair: true,
    };

    /// The decisions as they were before any of these.
    pub const NONE: Self = Self {
        bounded: false,
        asks: false,
        paced: false,
        fair: false,
    };
}
