//! What became of the calls of a day.

use serde::Serialize;

/// What became of the calls of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct KindTally {
    /// Calls made, repeats of callers not counted.
    pub asked: u32,
    /// Answered within the objective.
    pub in_aim: u32,
    /// Answered later.
    pub late: u32,
    /// Never answered.
    pub unserved: u32,
}

impl KindTally {
    /// Returns the share that was answered at all.
    pub fn served(&self) -> f64 {
        f64::from(self.in_aim + self.late) / f64::from(self.asked.max(1))
    }
}

/// What became of the calls of a day, by kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Tally {
    /// One entry for each kind, in the order of the load.
    pub kinds: Vec<KindTally>,
    /// Worth of the answers, as a share of what all in time would have been worth.
    pub worth: f64,
    /// Mean time of an answer, in milliseconds.
    pub mean: f64,
}
