//! Invariants of the system, checked on a recorded history.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::{AcceptResult, Call, CallResult, Fault, History, Moment};

/// Time after a confirmed drain from which the upstream must receive no new call: 3 s.
const DRAIN_BOUND: Moment = Moment(3_000_000);

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No VM moves from a version to an older one.
    VersionsNeverFall,
    /// Every route resolves to the pools and services that its configuration names.
    RoutesResolve,
    /// A snapshot contains the items of exactly one version.
    NoMixedVersion,
    /// A response belongs to its request.
    AnswerBelongs,
    /// A call that is reported as `not-run` did not run.
    NotRunIsTrue,
    /// A call that is not idempotent runs at most once.
    RunsOnce,
    /// A drained upstream receives no new call after the bound.
    DrainHolds,
    /// A planned stop cuts no call in flight.
    StopCutsNothing,
    /// The chain contains every accept that was reported as accepted and none that was refused.
    AcceptsLast,
    /// The head is a linearizable register whose version only increases.
    HeadIsLinear,
    /// The last accepted version is in force on every VM at the end.
    Converges,
}

/// A violation of a rule in a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Events that violate the rule.
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

/// Returns all violations in `history`.
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

/// Reports each decrease of the version in force on a VM.
pub fn versions_never_fall(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for activation in &history.activations {
        let newest = newest.entry(&activation.vm).or_default();
        if activation.version < *newest {
            let detail = format!(
                "VM {} went from version {newest} to {}",
                activation.vm, activation.version
            );
            found.push(Violation::new(Rule::VersionsNeverFall, detail));
        }
        *newest = (*newest).max(activation.version);
    }
    found
}

/// Reports each route and pool that resolves differently from its configuration.
pub fn routes_resolve(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for view in &history.snapshots {
        let pools = view
            .pools
            .iter()
            .filter(|pool| pool.configured != pool.resolved);
        let pools = pools.map(|pool| format!("pool {} has service {}", pool.name, pool.resolved));
        let routes = view
            .routes
            .iter()
            .filter(|route| route.configured != route.resolved);
        let routes = routes.map(|route| format!("route {} has {:?}", route.name, route.resolved));
        for what in pools.chain(routes) {
            let detail = format!("version {}: {what}", view.version);
            found.push(Violation::new(Rule::RoutesResolve, detail));
        }
    }
    found
}

/// Reports each snapshot whose items differ from those accepted as its version.
pub fn no_mixed_version(history: &History) -> Vec<Violation> {
    let mixed = history
        .snapshots
        .iter()
        .filter(|view| history.version_items.get(&view.version) != Some(&view.items));
    let violations = mixed.map(|view| {
        let detail = format!(
            "a snapshot of version {} differs from its accepted items",
            view.version
        );
        Violation::new(Rule::NoMixedVersion, detail)
    });
    violations.collect()
}

/// Reports each response that belongs to another request.
pub fn answer_belongs(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for call in &history.calls {
        let CallResult::Answered(response) = &call.result else {
            continue;
        };
        let same = response.id == call.id
            && response.path == call.path
            && response.digest == call.digest
            && response.service == call.service;
        if !same {
            let detail = format!("call {} to {} got {response:?}", call.id, call.path);
            found.push(Violation::new(Rule::AnswerBelongs, detail));
        }
    }
    found
}

/// Reports each call that ran although its caller received `not-run`.
pub fn not_run_is_true(history: &History) -> Vec<Violation> {
    let runs = count_runs(history);
    // A caller may send a call again with the same id after `not-run`, so only ids of which every
    // attempt was refused are checked.
    let not_refused = history
        .calls
        .iter()
        .filter(|call| call.result != CallResult::NotRun);
    let not_refused: BTreeSet<&str> = not_refused.map(|call| call.id.as_str()).collect();
    let refused = history.calls.iter().filter(|call| {
        call.result == CallResult::NotRun && !not_refused.contains(call.id.as_str())
    });
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

/// Reports each non-idempotent call that ran more than once.
pub fn runs_once(history: &History) -> Vec<Violation> {
    let runs = count_runs(history);
    let once = history.calls.iter().filter(|call| !call.idempotent);
    let once: BTreeSet<&str> = once.map(|call| call.id.as_str()).collect();
    let repeated = once
        .iter()
        .filter(|id| runs.get(**id).is_some_and(|count| *count > 1));
    let violations = repeated.map(|id| {
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

/// Reports each drained upstream that began calls after [`DRAIN_BOUND`].
pub fn drain_holds(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &history.drains {
        let bound = Moment(drain.at.0 + DRAIN_BOUND.0);
        let counts = history.run_counts.iter().filter(|count| {
            count.vm == drain.vm
                && count.at >= bound
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

/// Reports each planned stop that cut a connection or a call in flight.
pub fn stop_cuts_nothing(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for stop in &history.stops {
        // Connections of frozen or dead peers cannot close in time, so a cut is allowed during a
        // fault; the calls are still checked below.
        let allowed =
            stop.cut_connections.is_some() && overlaps_fault(&history.faults, stop.start, stop.end);
        if stop.cut_connections != Some(0) && !allowed {
            let detail = format!(
                "the daemon on {} cut {:?} connections",
                stop.vm, stop.cut_connections
            );
            found.push(Violation::new(Rule::StopCutsNothing, detail));
        }
        let lost = history.calls.iter().filter(|call| {
            call.vm == stop.vm
                && call.start < stop.start
                && call.end >= stop.start
                && call.result == CallResult::Lost
                && !is_under_fault(&history.faults, call)
        });
        for call in lost {
            let detail = format!("call {} was cut by the stop of {}", call.id, stop.vm);
            found.push(Violation::new(Rule::StopCutsNothing, detail));
        }
    }
    found
}

/// Returns whether the daemon that received `call` was under a fault while the call was in flight.
fn is_under_fault(faults: &[Fault], call: &Call) -> bool {
    let local = faults.iter().filter(|fault| fault.vm == call.vm);
    let local: Vec<Fault> = local.cloned().collect();
    overlaps_fault(&local, call.start, call.end)
}

/// Returns whether any of `faults` overlaps the time from `start` to `end`.
fn overlaps_fault(faults: &[Fault], start: Moment, end: Moment) -> bool {
    faults.iter().any(|fault| {
        fault.start <= end && fault.end.is_none_or(|end_of_fault| end_of_fault >= start)
    })
}

/// Reports each accept whose result contradicts the chain, and each gap in the chain.
pub fn accepts_last(history: &History) -> Vec<Violation> {
    let mut versions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for entry in &history.chain {
        versions.entry(&entry.id).or_default().push(entry.version);
    }
    let mut found = Vec::new();
    for (id, versions) in &versions {
        if versions.len() > 1 {
            let detail = format!("accept {id} created the versions {versions:?}");
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    for accept in &history.accepts {
        let held = versions.get(accept.id.as_str());
        let broken = match accept.result {
            AcceptResult::Accepted(version) => !held.is_some_and(|held| held.contains(&version)),
            AcceptResult::NotAccepted => held.is_some(),
            AcceptResult::Unchanged(_) | AcceptResult::Unknown => false,
        };
        if broken {
            let detail = format!(
                "accept {} was reported as {:?}, the chain has {held:?}",
                accept.id, accept.result
            );
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    for pair in history.chain.windows(2) {
        if pair[1].version != pair[0].version + 1 {
            let detail = format!(
                "version {} follows version {}",
                pair[1].version, pair[0].version
            );
            found.push(Violation::new(Rule::AcceptsLast, detail));
        }
    }
    found
}

/// An operation on the head, with the version that it wrote or read.
struct HeadOp {
    start: Moment,
    end: Moment,
    version: u64,
    writes: bool,
}

/// Reports each operation on the head that is not linearizable.
///
/// Every operation names its version, so only one order is possible. The history is linearizable
/// if that order agrees with real time.
pub fn head_is_linear(history: &History) -> Vec<Violation> {
    let reads = history.head_reads.iter().map(|read| HeadOp {
        start: read.start,
        end: read.end,
        version: read.version,
        writes: false,
    });
    let accepts = history.accepts.iter().filter_map(|accept| {
        let (version, writes) = match accept.result {
            AcceptResult::Accepted(version) => (version, true),
            AcceptResult::Unchanged(version) => (version, false),
            AcceptResult::NotAccepted | AcceptResult::Unknown => return None,
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
        let in_order = match later.writes {
            true => later.version > newest,
            false => later.version >= newest,
        };
        if !in_order {
            let detail = format!("version {} came after version {newest}", later.version);
            found.push(Violation::new(Rule::HeadIsLinear, detail));
        }
    }
    found
}

/// Reports each VM that does not serve the newest accepted version at the end.
pub fn converges(history: &History) -> Vec<Violation> {
    let Some(head) = history.chain.last() else {
        return Vec::new();
    };
    let behind = history
        .final_versions
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
