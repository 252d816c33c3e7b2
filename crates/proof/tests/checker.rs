//! Each check reports a history that violates its rule and accepts a similar valid history.

use proof::{
    Accept, AcceptResult, Activation, Answered, Call, CallResult, ChainEntry, Drain, Fault,
    HeadRead, History, Moment, PoolView, RouteView, Rule, Run, RunCount, SnapshotView, Stop, check,
};

/// Returns the rules that `history` violates.
fn rules(history: &History) -> Vec<Rule> {
    check(history).iter().map(|found| found.rule).collect()
}

fn activations(versions: &[u64]) -> History {
    let activations = versions.iter().map(|version| Activation {
        vm: "a-1".into(),
        version: *version,
    });
    History {
        activations: activations.collect(),
        ..History::default()
    }
}

#[test]
fn version_decrease_is_reported() {
    assert_eq!(rules(&activations(&[1, 2, 2, 5])), []);
    // A restarted daemon serves an older version than before.
    assert_eq!(rules(&activations(&[1, 2, 1])), [Rule::VersionsNeverFall]);
}

fn view(version: u64, item: &str, pool: &str, service: &str) -> SnapshotView {
    SnapshotView {
        version,
        items: vec![item.into()],
        pools: vec![PoolView {
            name: "p".into(),
            configured: "s".into(),
            resolved: service.into(),
        }],
        routes: vec![RouteView {
            name: "r".into(),
            configured: vec!["p".into()],
            resolved: vec![pool.into()],
        }],
    }
}

#[test]
fn unresolved_or_mixed_snapshot_is_reported() {
    let history = |view| History {
        snapshots: vec![view],
        version_items: [(1, vec!["one".into()]), (2, vec!["two".into()])].into(),
        ..History::default()
    };
    assert_eq!(rules(&history(view(2, "two", "p", "s"))), []);
    let resolve = [Rule::RoutesResolve];
    assert_eq!(rules(&history(view(2, "two", "q", "s"))), resolve);
    assert_eq!(rules(&history(view(2, "two", "p", "t"))), resolve);
    let mixed = [Rule::NoMixedVersion];
    assert_eq!(rules(&history(view(2, "one", "p", "s"))), mixed);
    assert_eq!(rules(&history(view(3, "one", "p", "s"))), mixed);
}

fn call(id: &str, result: CallResult) -> Call {
    Call {
        id: id.into(),
        vm: "a-1".into(),
        path: "/t/notices/1".into(),
        digest: "d".into(),
        service: "s".into(),
        idempotent: false,
        start: Moment(10),
        end: Moment(20),
        result,
    }
}

fn answered(id: &str, digest: &str) -> CallResult {
    CallResult::Answered(Answered {
        id: id.into(),
        path: "/t/notices/1".into(),
        digest: digest.into(),
        service: "s".into(),
    })
}

fn calls(calls: Vec<Call>, runs: &[&str]) -> History {
    let runs = runs.iter().map(|id| Run {
        vm: "b-1".into(),
        id: (*id).into(),
    });
    History {
        calls,
        runs: runs.collect(),
        ..History::default()
    }
}

#[test]
fn response_to_another_request_is_reported() {
    let history = |result| calls(vec![call("c", result)], &["c"]);
    assert_eq!(rules(&history(answered("c", "d"))), []);
    assert_eq!(rules(&history(answered("x", "d"))), [Rule::AnswerBelongs]);
    assert_eq!(rules(&history(answered("c", "e"))), [Rule::AnswerBelongs]);
}

#[test]
fn not_run_call_that_ran_is_reported() {
    let refused = || call("c", CallResult::NotRun);
    assert_eq!(rules(&calls(vec![refused()], &[])), []);
    let found = rules(&calls(vec![refused()], &["c"]));
    assert_eq!(found, [Rule::NotRunIsTrue]);
    // The call was sent again after the refusal and ran then.
    let retried = calls(vec![refused(), call("c", answered("c", "d"))], &["c"]);
    assert_eq!(rules(&retried), []);
}

#[test]
fn non_idempotent_call_that_ran_twice_is_reported() {
    let lost = || call("c", CallResult::Lost);
    assert_eq!(rules(&calls(vec![lost()], &["c"])), []);
    let found = rules(&calls(vec![lost()], &["c", "c"]));
    assert_eq!(found, [Rule::RunsOnce]);
    let mut idempotent = lost();
    idempotent.idempotent = true;
    assert_eq!(rules(&calls(vec![idempotent], &["c", "c"])), []);
}

#[test]
fn call_after_drain_bound_is_reported() {
    let history = |counts: &[(u64, usize)], until| History {
        drains: vec![Drain {
            vm: "a-1".into(),
            at: Moment(1_000_000),
            until,
        }],
        run_counts: counts
            .iter()
            .map(|(at, count)| RunCount {
                vm: "a-1".into(),
                at: Moment(*at),
                count: *count,
            })
            .collect(),
        ..History::default()
    };
    let counts = [(1_500_000, 1), (4_000_000, 3), (9_000_000, 4)];
    assert_eq!(rules(&history(&counts, None)), [Rule::DrainHolds]);
    assert_eq!(rules(&history(&counts, Some(Moment(8_000_000)))), []);
    assert_eq!(rules(&history(&counts[..2], None)), []);
}

#[test]
fn stop_that_cuts_connection_or_call_is_reported() {
    let history = |cut_connections, result, faults| History {
        stops: vec![Stop {
            vm: "a-1".into(),
            start: Moment(15),
            end: Moment(30),
            cut_connections,
        }],
        calls: vec![call("c", result)],
        faults,
        ..History::default()
    };
    let kill = |vm: &str| Fault {
        kind: "kill",
        vm: vm.into(),
        start: Moment(12),
        end: None,
    };
    let cuts = [Rule::StopCutsNothing];
    assert_eq!(rules(&history(Some(0), answered("c", "d"), vec![])), []);
    assert_eq!(rules(&history(Some(1), answered("c", "d"), vec![])), cuts);
    assert_eq!(rules(&history(None, answered("c", "d"), vec![])), cuts);
    assert_eq!(rules(&history(Some(0), CallResult::Lost, vec![])), cuts);
    let other_vm = vec![kill("b-1")];
    assert_eq!(rules(&history(Some(0), CallResult::Lost, other_vm)), cuts);
    let same_vm = vec![kill("a-1")];
    assert_eq!(rules(&history(Some(0), CallResult::Lost, same_vm)), []);
    // A dead peer keeps its connection open, so a cut connection is allowed; a daemon that logs no
    // count is still reported.
    let peer = || vec![kill("b-1")];
    assert_eq!(rules(&history(Some(1), answered("c", "d"), peer())), []);
    assert_eq!(rules(&history(None, answered("c", "d"), peer())), cuts);
}

fn accept(id: &str, start: u64, end: u64, result: AcceptResult) -> Accept {
    Accept {
        id: id.into(),
        start: Moment(start),
        end: Moment(end),
        result,
    }
}

fn chain(entries: &[(u64, &str)]) -> Vec<ChainEntry> {
    let entries = entries.iter().map(|(version, id)| ChainEntry {
        version: *version,
        id: (*id).into(),
    });
    entries.collect()
}

#[test]
fn chain_that_contradicts_accept_result_is_reported() {
    let history = |result, entries: &[(u64, &str)]| History {
        accepts: vec![accept("x", 1, 2, result)],
        chain: chain(entries),
        ..History::default()
    };
    let violated = [Rule::AcceptsLast];
    assert_eq!(rules(&history(AcceptResult::Accepted(1), &[(1, "x")])), []);
    assert_eq!(
        rules(&history(AcceptResult::Accepted(1), &[(1, "y")])),
        violated
    );
    assert_eq!(
        rules(&history(AcceptResult::Accepted(2), &[(1, "x")])),
        violated
    );
    assert_eq!(rules(&history(AcceptResult::NotAccepted, &[(1, "y")])), []);
    assert_eq!(
        rules(&history(AcceptResult::NotAccepted, &[(1, "x")])),
        violated
    );
    assert_eq!(rules(&history(AcceptResult::Unknown, &[(1, "x")])), []);
    assert_eq!(rules(&history(AcceptResult::Unknown, &[(1, "y")])), []);
    let duplicate = [(1, "x"), (2, "x")];
    assert_eq!(
        rules(&history(AcceptResult::Accepted(1), &duplicate)),
        violated
    );
    let gap = [(1, "x"), (3, "y")];
    assert_eq!(rules(&history(AcceptResult::Accepted(1), &gap)), violated);
}

#[test]
fn non_linearizable_head_is_reported() {
    let history = |accepts: Vec<Accept>, read: u64| History {
        accepts,
        head_reads: vec![HeadRead {
            start: Moment(50),
            end: Moment(60),
            version: read,
        }],
        chain: chain(&[(1, "x"), (2, "y")]),
        ..History::default()
    };
    let one = || accept("x", 1, 10, AcceptResult::Accepted(1));
    let two = || accept("y", 5, 40, AcceptResult::Accepted(2));
    assert_eq!(rules(&history(vec![one(), two()], 2)), []);
    // A read that began after an accept ended must return its version or a later one.
    let found = rules(&history(vec![one(), two()], 1));
    assert_eq!(found, [Rule::HeadIsLinear]);
    // During the accept, a read may return either version.
    let late = accept("y", 5, 70, AcceptResult::Accepted(2));
    assert_eq!(rules(&history(vec![one(), late], 1)), []);
    // An accept that began after another ended must create a later version.
    let early = accept("y", 1, 10, AcceptResult::Accepted(2));
    let after = accept("x", 20, 30, AcceptResult::Accepted(1));
    let found = rules(&history(vec![early, after], 2));
    assert_eq!(found, [Rule::HeadIsLinear]);
}

#[test]
fn vm_that_does_not_converge_is_reported() {
    let history = |serving| History {
        chain: chain(&[(1, "x"), (2, "y")]),
        final_versions: [("a-1".to_owned(), serving)].into(),
        ..History::default()
    };
    assert_eq!(rules(&history(2)), []);
    assert_eq!(rules(&history(1)), [Rule::Converges]);
    assert_eq!(rules(&history(3)), [Rule::Converges]);
}
