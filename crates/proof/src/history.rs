//! Recorded history of a fleet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use model::lock;
use tokio::time::Instant;

use crate::SnapshotView;

/// A point in time, in microseconds since recording started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(pub u64);

/// Result of an accept, as reported to the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum AcceptResult {
    /// Accepted as this version.
    Accepted(u64),
    /// The configuration equals this version; nothing was written.
    Unchanged(u64),
    /// Refused; no version was created.
    NotAccepted,
    /// The accept may have taken effect, or no response arrived.
    Unknown,
}

/// One accept. Several attempts with the same id are one accept, with the last result.
#[derive(Debug, Clone, PartialEq)]
pub struct Accept {
    /// Accept id.
    pub id: String,
    /// Time of the first request.
    pub start: Moment,
    /// Time of the last response.
    pub end: Moment,
    /// Last result.
    pub result: AcceptResult,
}

/// One read of the chain head.
#[derive(Debug, Clone, PartialEq)]
pub struct HeadRead {
    /// Start of the request.
    pub start: Moment,
    /// End of the request.
    pub end: Moment,
    /// Version read.
    pub version: u64,
}

/// A version that a daemon logged as in force. Entries of one VM are in the order of its log.
#[derive(Debug, Clone, PartialEq)]
pub struct Activation {
    /// VM.
    pub vm: String,
    /// Version.
    pub version: u64,
}

/// One version of the chain, as read at the end of the run.
#[derive(Debug, Clone, PartialEq)]
pub struct ChainEntry {
    /// Version.
    pub version: u64,
    /// Id of the accept that created the version.
    pub id: String,
}

/// Request that an upstream's response describes.
#[derive(Debug, Clone, PartialEq)]
pub struct Answered {
    /// Id of the call.
    pub id: String,
    /// Path of the call.
    pub path: String,
    /// Digest of the request body that the upstream received.
    pub digest: String,
    /// Service of the upstream.
    pub service: String,
}

/// Result of a call, as seen by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// Response of an upstream.
    Answered(Answered),
    /// Refusal by the system with the outcome `not-run`.
    NotRun,
    /// Refusal by the system with the outcome `ran` or `unknown`, or a response of an upstream that
    /// describes no request.
    Unknown,
    /// No complete response.
    Lost,
}

/// One call.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Request id chosen by the caller.
    pub id: String,
    /// VM whose ingress received the call.
    pub vm: String,
    /// Request path.
    pub path: String,
    /// Digest of the request body.
    pub digest: String,
    /// Service that the route targets.
    pub service: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time of sending.
    pub start: Moment,
    /// Time of the response or failure.
    pub end: Moment,
    /// Result seen by the caller.
    pub result: CallResult,
}

/// One execution of a call at an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// VM of the upstream.
    pub vm: String,
    /// Id of the call.
    pub id: String,
}

/// Number of calls that an upstream had begun at a point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct RunCount {
    /// VM of the upstream.
    pub vm: String,
    /// Time of the reading.
    pub at: Moment,
    /// Calls begun since the upstream process started.
    pub count: usize,
}

/// A confirmed drain.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// VM.
    pub vm: String,
    /// Time of the confirmation.
    pub at: Moment,
    /// Time at which the upstream was replaced or allowed to take calls again.
    pub until: Option<Moment>,
}

/// A planned stop of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// VM.
    pub vm: String,
    /// Time of the stop request.
    pub start: Moment,
    /// Time at which the process had exited.
    pub end: Moment,
    /// Connections that the daemon reports as cut; `None` if it logged no count.
    pub cut_connections: Option<u64>,
}

/// A fault other than a planned stop that may end calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: &'static str,
    /// VM that the fault applies to.
    pub vm: String,
    /// Start of the fault.
    pub start: Moment,
    /// End of the fault; `None` while it lasts.
    pub end: Option<Moment>,
}

/// All events recorded of one fleet.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// Accepts.
    pub accepts: Vec<Accept>,
    /// Reads of the chain head.
    pub head_reads: Vec<HeadRead>,
    /// Versions put in force.
    pub activations: Vec<Activation>,
    /// Chain at the end of the run, oldest version first.
    pub chain: Vec<ChainEntry>,
    /// Calls.
    pub calls: Vec<Call>,
    /// Executions at the upstreams.
    pub runs: Vec<Run>,
    /// Readings of the number of executions.
    pub run_counts: Vec<RunCount>,
    /// Drains.
    pub drains: Vec<Drain>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Other faults.
    pub faults: Vec<Fault>,
    /// Snapshots seen by readers.
    pub snapshots: Vec<SnapshotView>,
    /// Accepted items of each version; the snapshots are compared with them.
    pub version_items: BTreeMap<u64, Vec<String>>,
    /// Version that each VM serves after all faults have ended and the bound for convergence has
    /// passed.
    pub final_versions: BTreeMap<String, u64>,
}

/// Records the history of a fleet; clones share it, so that many tasks can record.
#[derive(Debug, Clone)]
pub struct Recorder {
    started: Instant,
    history: Arc<Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            history: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the time since recording started.
    pub fn now(&self) -> Moment {
        Moment(self.started.elapsed().as_micros() as u64)
    }

    /// Locks the history.
    pub fn history(&self) -> MutexGuard<'_, History> {
        lock(&self.history)
    }
}
