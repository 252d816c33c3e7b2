//! What was recorded of a fleet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use model::lock;
use tokio::time::Instant;

use crate::View;

/// An instant, in microseconds since the history began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(pub u64);

/// What an operator was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Accepted as this version.
    Accepted(u64),
    /// The configuration equals this version; nothing was written.
    Unchanged(u64),
    /// Nothing was accepted.
    NotAccepted,
    /// It may have been accepted, or no answer came.
    Unknown,
}

/// One accept. Several tries under one id are one accept, with the last verdict.
#[derive(Debug, Clone, PartialEq)]
pub struct Accept {
    /// Id.
    pub id: String,
    /// When it was asked for.
    pub start: Moment,
    /// When its verdict came.
    pub end: Moment,
    /// Verdict.
    pub verdict: Verdict,
}

/// One read of the head.
#[derive(Debug, Clone, PartialEq)]
pub struct HeadRead {
    /// When it began.
    pub start: Moment,
    /// When it ended.
    pub end: Moment,
    /// Version read.
    pub version: u64,
}

/// A version that a daemon logged as in force. Entries of one VM stand in the order of its log.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// VM.
    pub vm: String,
    /// Version.
    pub version: u64,
}

/// One version of the chain, as read at the end.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainEntry {
    /// Version.
    pub version: u64,
    /// Id of the accept that made it.
    pub id: String,
}

/// What an upstream says that it answers.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// Id of the call that was answered.
    pub id: String,
    /// Path of the call that was answered.
    pub path: String,
    /// Digest of the body that the upstream got.
    pub digest: String,
    /// Service that answered.
    pub service: String,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// An upstream's answer.
    Answered(Answered),
    /// An answer of the system itself that states `not-run`.
    NotRun,
    /// An answer of the system itself that states `ran` or `unknown`, or one of an upstream's that
    /// describes nothing.
    Unknown,
    /// No whole answer.
    Lost,
}

/// One call.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Id that the caller chose.
    pub id: String,
    /// VM whose ingress took the call.
    pub vm: String,
    /// Path.
    pub path: String,
    /// Digest of the request's body.
    pub digest: String,
    /// Service that the route leads to.
    pub service: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it was sent.
    pub start: Moment,
    /// When it ended.
    pub end: Moment,
    /// What the caller got.
    pub result: CallResult,
}

/// One run at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// VM of the upstream.
    pub vm: String,
    /// Id of the call.
    pub id: String,
}

/// How many calls an upstream had begun at an instant.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCount {
    /// VM of the upstream.
    pub vm: String,
    /// When it was asked.
    pub at: Moment,
    /// Calls begun since its start.
    pub count: usize,
}

/// A drain that was confirmed.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// VM.
    pub vm: String,
    /// When it was confirmed.
    pub at: Moment,
    /// When the upstream was replaced or allowed to take calls again.
    pub until: Option<Moment>,
}

/// A planned stop of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// VM.
    pub vm: String,
    /// When it was asked for.
    pub start: Moment,
    /// When the process had ended.
    pub end: Moment,
    /// Connections that the daemon says it cut; `None` if it did not say so.
    pub cut: Option<u64>,
}

/// A fault that may end calls without a planned stop's doing.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// What was done.
    pub what: &'static str,
    /// VM that it was done to.
    pub vm: String,
    /// When it began.
    pub start: Moment,
    /// When it was over.
    pub end: Option<Moment>,
}

/// Everything recorded of one fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Accepts.
    pub accepts: Vec<Accept>,
    /// Reads of the head.
    pub reads: Vec<HeadRead>,
    /// Versions put in force.
    pub forced: Vec<InForce>,
    /// Chain at the end, oldest first.
    pub chain: Vec<ChainEntry>,
    /// Calls.
    pub calls: Vec<Call>,
    /// Runs.
    pub runs: Vec<Run>,
    /// Looks at the number of runs.
    pub counts: Vec<RunCount>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Other faults.
    pub faults: Vec<Fault>,
    /// Snapshots seen by readers.
    pub views: Vec<View>,
    /// Items of each version, as accepted; what views are held against.
    pub versions: BTreeMap<u64, Vec<String>>,
    /// Versions that VMs serve after all faults have ended and the bound for convergence passed.
    pub settled: BTreeMap<String, u64>,
}

/// Records a history from many tasks.
#[derive(Debug, Clone)]
pub struct Recorder {
    began: Instant,
    history: Arc<Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            history: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the present instant.
    pub fn now(&self) -> Moment {
        Moment(self.began.elapsed().as_micros() as u64)
    }

    /// Gives access to the history.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }
}
