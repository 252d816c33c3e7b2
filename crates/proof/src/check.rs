//! What must always hold, as functions of a history.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::{Call, CallResult, Fault, History, Moment, Verdict};

/// Time after a drain until its upstream must get no new call, in microseconds.
const DRAIN_BOUND: Moment = Moment(3_000_000);

/// A rule that must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No VM moves back from a version to an older one.
    VersionsNeverFall,
    /// Every route leads to pools and services that the snapshot has.
    RoutesResolve,
    /// A snapshot holds exactly one version.
    NoMixedVersion,
    /// An answer belongs to its request.
    AnswerBelongs,
    /// A call that is reported as not run was not run.
    NotRunIsTrue,
    /// A call that is not idempotent runs at most once.
    RunsOnce,
    /// A drained upstream gets no new call after the bound.
    DrainHolds,
    /// A planned stop cuts no call in flight.
    StopCutsNothing,
    /// Every accept that was reported as accepted is in the chain, and none that was not.
    AcceptsLast,
    /// The head is a register that only moves on.
    HeadIsLinear,
    /// What was accepted is in force on every VM.
    Converges,
}

/// A rule that a history breaks.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Rule.
    pub rule: Rule,
    /// What shows it.
    pub detail: String,
}

impl Violation {
    fn new(rule: Rule, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { rule, detail }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.detail)
    }
}

/// Returns every rule that `history` breaks.
pub fn check(history: &History) -> Vec<Violation> {
    let checks: [fn(&History) -> Vec<Violation>; 11] = [
        versions_never_fall,
        routes_resolve,
        no_mixed_version,
        answer_belongs,
        not_run_is_true,
        runs_once,
        drain_holds,
        stop_cuts_nothing,
        accepts_last,
        head_is_linear,
        converges,
    ];
    checks.iter().flat_map(|check| check(history)).collect()
}

/// Reports each VM whose version in force fell.
pub fn versions_never_fall(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for forced in &history.forced {
        let newest = newest.entry(&forced.vm).or_default();
        if forced.version < *newest {
            let detail = format!(
                "VM {} went from version {newest} to {}",
                forced.vm, forced.version
            );
            found.push(Violation::new(Rule::VersionsNeverFall, detail));
        }
        *newest = (*newest).max(forced.version);
    }
    found
}

/// Reports each route and pool that leads elsewhere than its configuration says.
pub fn routes_resolve(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for view in &history.views {
        let pools = view.pools.iter().filter(|pool| pool.wants != pool.has);
        let pools = pools.map(|pool| format!("pool {} has service {}", pool.name, pool.has));
        let routes = view.routes.iter().filter(|route| route.wants != route.has);
        let routes = routes.map(|route| format!("route {} has {:?}", route.name, route.has));
        for what in pools.chain(routes) {
            let detail = format!("version {}: {what}", view.version);
            found.push(Violation::new(Rule::RoutesResolve, detail));
        }
    }
    found
}

/// Reports each snapshot whose items are not those of its version.
pub fn no_mixed_version(history: &History) -> Vec<Violation> {
    let mixed = history
        .views
        .iter()
        .filter(|view| history.versions.get(&view.version) != Some(&view.items));
    let violations = mixed.map(|view| {
        let detail = format!("a snapshot of version {} holds other items", view.version);
        Violation::new(Rule::NoMixedVersion, detail)
    });
    violations.collect()
}

/// Reports each answer that belongs to another request.
pub fn answer_belongs(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for call in &history.calls {
        let CallResult::Answered(answer) = &call.result else {
            continue;
        };
        let same = answer.id == call.id
            && answer.path == call.path
            && answer.digest == call.digest
            && answer.service == call.service;
        if !same {
            let detail = format!("call {} to {} got {answer:?}", call.id, call.path);
            found.push(Violation::new(Rule::AnswerBelongs, detail));
        }
    }
    found
}

/// Reports each call that ran although its caller was told `not-run`.
pub fn not_run_is_true(history: &History) -> Vec<Violation> {
    let runs = count_runs(history);
    // A caller may send a call again under the same id after `not-run`, so only the ids of which
    // every try was refused are looked at.
    let other = history
        .calls
        .iter()
        .filter(|call| call.result != CallResult::NotRun);
    let other: BTreeSet<&str> = other.map(|call| call.id.as_str()).collect();
    let refused = history
        .calls
        .iter()
        .filter(|call| call.result == CallResult::NotRun && !other.contains(call.id.as_str()));
    let refused: BTreeSet<&str> = refused.map(|call| call.id.as_str()).collect();
    let ran = refused.iter().filter(|id| runs.contains_key(**id));
    let violations = ran.map(|id| {
        let detail = format!(
            "call {id} was reported as not run and ran {} times",
            runs[id]
        );
        Violation::new(Rule::NotRunIsTrue, detail)
    });
    violations.collect()
}

/// Reports each call that is not idempotent and ran more than once.
pub fn runs_once(history: &History) -> Vec<Violation> {
    let runs = count_runs(history);
    let once = history.calls.iter().filter(|call| !call.idempotent);
    let once: BTreeSet<&str> = once.map(|call| call.id.as_str()).collect();
    let twice = once
        .iter()
        .filter(|id| runs.get(**id).is_some_and(|count| *count > 1));
    let violations = twice.map(|id| {
        let detail = format!("call {id} is not idempotent and ran {} times", runs[id]);
        Violation::new(Rule::RunsOnce, detail)
    });
    violations.collect()
}

fn count_runs(history: &History) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for run in &history.runs {
        *runs.entry(run.id.as_str()).or_default() += 1;
    }
    runs
}

/// Reports each drained upstream that began a call after the bound.
pub fn drain_holds(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &history.drains {
        let from = Moment(drain.at.0 + DRAIN_BOUND.0);
        let counts = history.counts.iter().filter(|count| {
            count.vm == drain.vm
                && count.at >= from
                && drain.until.is_none_or(|until| count.at < until)
        });
        let counts: Vec<usize> = counts.map(|count| count.count).collect();
        let (Some(first), Some(last)) = (counts.first(), counts.last()) else {
            continue;
        };
        if last > first {
            let detail = format!(
                "the upstream on {} began {} calls after its drain",
                drain.vm,
                last - first
            );
            found.push(Violation::new(Rule::DrainHolds, detail));
        }
    }
    found
}

/// Reports each planned stop that cut a connection, or a call that was in flight.
pub fn stop_cuts_nothing(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &history.stops {
        // Connections of peers that stand still or are gone cannot end; their calls are looked at.
        let gone = stop.cut.is_some() && is_faulty(&history.faults, stop.start, stop.end);
        if stop.cut != Some(0) && !gone {
            let detail = format!("the daemon on {} cut {:?} connections", stop.vm, stop.cut);
            found.push(Violation::new(Rule::StopCutsNothing, detail));
        }
        let lost = history.calls.iter().filter(|call| {
            call.vm == stop.vm
                && call.start < stop.start
                && call.end >= stop.start
                && call.result == CallResult::Lost
                && !is_hit(&history.faults, call)
        });
        for call in lost {
            let detail = format!("call {} was cut by the stop of {}", call.id, stop.vm);
            found.push(Violation::new(Rule::StopCutsNothing, detail));
        }
    }
    found
}

/// Returns whether a fault hit the daemon that took `call` while it was in flight.
fn is_hit(faults: &[Fault], call: &Call) -> bool {
    let own = faults.iter().filter(|fault| fault.vm == call.vm);
    let own: Vec<Fault> = own.cloned().collect();
    is_faulty(&own, call.start, call.end)
}

/// Returns whether a fault was present between `start` and `end`.
fn is_faulty(faults: &[Fault], start: Moment, end: Moment) -> bool {
    faults
        .iter()
        .any(|fault| fault.start <= end && fault.end.is_none_or(|over| over >= start))
}

/// Reports each accept whose verdict the chain contradicts.
pub fn accepts_last(history: &History) -> Vec<Violation> {
    let mut versions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for entry in &history.chain {
        versions.entry(&entry.id).or_default().push(entry.version);
    }
    let mut found = Vec::new();
    for (id, versions) in &versions {
        if versions.len() > 1 {
            let detail = format!("accept {id} made the versions {versions:?}");
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    for accept in &history.accepts {
        let held = versions.get(accept.id.as_str());
        let broken = match accept.verdict {
            Verdict::Accepted(version) => !held.is_some_and(|held| held.contains(&version)),
            Verdict::NotAccepted => held.is_some(),
            Verdict::Unchanged(_) | Verdict::Unknown => false,
        };
        if broken {
            let detail = format!(
                "accept {} was told {:?}, the chain has {held:?}",
                accept.id, accept.verdict
            );
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    for pair in history.chain.windows(2) {
        if pair[1].version != pair[0].version + 1 {
            let detail = format!("{} follows {}", pair[1].version, pair[0].version);
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    found
}

/// An operation on the head: whether it writes, and the version that it wrote or saw.
struct HeadOp {
    start: Moment,
    end: Moment,
    version: u64,
    writes: bool,
}

/// Reports each pair of operations on the head that no order of single steps explains.
///
/// Every operation names its version, which gives the only possible order; the history is
/// linearizable if that order agrees with real time.
pub fn head_is_linear(history: &History) -> Vec<Violation> {
    let reads = history.reads.iter().map(|read| HeadOp {
        start: read.start,
        end: read.end,
        version: read.version,
        writes: false,
    });
    let accepts = history.accepts.iter().filter_map(|accept| {
        let (version, writes) = match accept.verdict {
            Verdict::Accepted(version) => (version, true),
            Verdict::Unchanged(version) => (version, false),
            Verdict::NotAccepted | Verdict::Unknown => return None,
        };
        Some(HeadOp {
            start: accept.start,
            end: accept.end,
            version,
            writes,
        })
    });
    let ops: Vec<HeadOp> = reads.chain(accepts).collect();
    let mut found = Vec::new();
    for later in &ops {
        let earlier = ops.iter().filter(|op| op.end < later.start);
        let Some(newest) = earlier.map(|op| op.version).max() else {
            continue;
        };
        let fits = match later.writes {
            true => later.version > newest,
            false => later.version >= newest,
        };
        if !fits {
            let detail = format!("version {} came after version {newest}", later.version);
            found.push(Violation::new(Rule::HeadIsLinear, detail));
        }
    }
    found
}

/// Reports each VM that does not serve the newest accepted version in the end.
pub fn converges(history: &History) -> Vec<Violation> {
    let Some(head) = history.chain.last() else {
        return Vec::new();
    };
    let behind = history
        .settled
        .iter()
        .filter(|(_, version)| **version != head.version);
    let violations = behind.map(|(vm, version)| {
        let detail = format!(
            "{vm} serves version {version}, the head is {}",
            head.version
        );
        Violation::new(Rule::Converges, detail)
    });
    violations.collect()
}
