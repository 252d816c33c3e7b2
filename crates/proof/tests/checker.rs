//! Each check reports a history that breaks its rule, and passes the sound one next to it.

use proof::{
    Accept, Answered, Call, CallResult, ChainEntry, Drain, Fault, HeadRead, History, InForce,
    Moment, PoolView, RouteView, Rule, Run, RunCount, Stop, Verdict, View, check,
};

/// Returns the rules that `history` breaks.
fn rules(history: &History) -> Vec<Rule> {
    check(history).iter().map(|found| found.rule).collect()
}

fn forced(versions: &[u64]) -> History {
    let forced = versions.iter().map(|version| InForce {
        vm: "a-1".into(),
        version: *version,
    });
    History {
        forced: forced.collect(),
        ..History::default()
    }
}

#[test]
fn fallen_version_is_reported() {
    assert_eq!(rules(&forced(&[1, 2, 2, 5])), []);
    // A restarted daemon that serves an older version than before its end.
    assert_eq!(rules(&forced(&[1, 2, 1])), [Rule::VersionsNeverFall]);
}

fn view(version: u64, item: &str, pool: &str, service: &str) -> View {
    View {
        version,
        items: vec![item.into()],
        pools: vec![PoolView {
            name: "p".into(),
            wants: "s".into(),
            has: service.into(),
        }],
        routes: vec![RouteView {
            name: "r".into(),
            wants: vec!["p".into()],
            has: vec![pool.into()],
        }],
    }
}

#[test]
fn snapshot_that_does_not_resolve_or_is_mixed_is_reported() {
    let history = |view| History {
        views: vec![view],
        versions: [(1, vec!["one".into()]), (2, vec!["two".into()])].into(),
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

fn answer(id: &str, digest: &str) -> CallResult {
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
fn crossed_answer_is_reported() {
    let history = |result| calls(vec![call("c", result)], &["c"]);
    assert_eq!(rules(&history(answer("c", "d"))), []);
    assert_eq!(rules(&history(answer("x", "d"))), [Rule::AnswerBelongs]);
    assert_eq!(rules(&history(answer("c", "e"))), [Rule::AnswerBelongs]);
}

#[test]
fn refused_call_that_ran_is_reported() {
    let refused = || call("c", CallResult::NotRun);
    assert_eq!(rules(&calls(vec![refused()], &[])), []);
    let found = rules(&calls(vec![refused()], &["c"]));
    assert_eq!(found, [Rule::NotRunIsTrue]);
    // Sent again after the refusal, and then run.
    let again = calls(vec![refused(), call("c", answer("c", "d"))], &["c"]);
    assert_eq!(rules(&again), []);
}

#[test]
fn call_that_ran_twice_is_reported() {
    let lost = || call("c", CallResult::Lost);
    assert_eq!(rules(&calls(vec![lost()], &["c"])), []);
    let found = rules(&calls(vec![lost()], &["c", "c"]));
    assert_eq!(found, [Rule::RunsOnce]);
    let mut idempotent = lost();
    idempotent.idempotent = true;
    assert_eq!(rules(&calls(vec![idempotent], &["c", "c"])), []);
}

#[test]
fn call_after_a_drain_is_reported() {
    let history = |counts: &[(u64, usize)], until| History {
        drains: vec![Drain {
            vm: "a-1".into(),
            at: Moment(1_000_000),
            until,
        }],
        counts: counts
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
fn stop_that_cuts_is_reported() {
    let history = |cut, result, faults| History {
        stops: vec![Stop {
            vm: "a-1".into(),
            start: Moment(15),
            end: Moment(30),
            cut,
        }],
        calls: vec![call("c", result)],
        faults,
        ..History::default()
    };
    let kill = |vm: &str| Fault {
        what: "kill",
        vm: vm.into(),
        start: Moment(12),
        end: None,
    };
    let cuts = [Rule::StopCutsNothing];
    assert_eq!(rules(&history(Some(0), answer("c", "d"), vec![])), []);
    assert_eq!(rules(&history(Some(1), answer("c", "d"), vec![])), cuts);
    assert_eq!(rules(&history(None, answer("c", "d"), vec![])), cuts);
    assert_eq!(rules(&history(Some(0), CallResult::Lost, vec![])), cuts);
    let elsewhere = vec![kill("b-1")];
    assert_eq!(rules(&history(Some(0), CallResult::Lost, elsewhere)), cuts);
    let here = vec![kill("a-1")];
    assert_eq!(rules(&history(Some(0), CallResult::Lost, here)), []);
    // A peer that is gone keeps its connection open; a daemon that says nothing is reported still.
    let peer = || vec![kill("b-1")];
    assert_eq!(rules(&history(Some(1), answer("c", "d"), peer())), []);
    assert_eq!(rules(&history(None, answer("c", "d"), peer())), cuts);
}

fn accept(id: &str, start: u64, end: u64, verdict: Verdict) -> Accept {
    Accept {
        id: id.into(),
        start: Moment(start),
        end: Moment(end),
        verdict,
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
fn chain_that_contradicts_an_accept_is_reported() {
    let history = |verdict, entries: &[(u64, &str)]| History {
        accepts: vec![accept("x", 1, 2, verdict)],
        chain: chain(entries),
        ..History::default()
    };
    let broken = [Rule::AcceptsLast];
    assert_eq!(rules(&history(Verdict::Accepted(1), &[(1, "x")])), []);
    assert_eq!(rules(&history(Verdict::Accepted(1), &[(1, "y")])), broken);
    assert_eq!(rules(&history(Verdict::Accepted(2), &[(1, "x")])), broken);
    assert_eq!(rules(&history(Verdict::NotAccepted, &[(1, "y")])), []);
    assert_eq!(rules(&history(Verdict::NotAccepted, &[(1, "x")])), broken);
    assert_eq!(rules(&history(Verdict::Unknown, &[(1, "x")])), []);
    assert_eq!(rules(&history(Verdict::Unknown, &[(1, "y")])), []);
    let twice = [(1, "x"), (2, "x")];
    assert_eq!(rules(&history(Verdict::Accepted(1), &twice)), broken);
    let hole = [(1, "x"), (3, "y")];
    assert_eq!(rules(&history(Verdict::Accepted(1), &hole)), broken);
}

#[test]
fn head_that_moves_back_is_reported() {
    let history = |accepts: Vec<Accept>, read: u64| History {
        accepts,
        reads: vec![HeadRead {
            start: Moment(50),
            end: Moment(60),
            version: read,
        }],
        chain: chain(&[(1, "x"), (2, "y")]),
        ..History::default()
    };
    let one = || accept("x", 1, 10, Verdict::Accepted(1));
    let two = || accept("y", 5, 40, Verdict::Accepted(2));
    assert_eq!(rules(&history(vec![one(), two()], 2)), []);
    // A read that began after an accept ended sees at least its version.
    let found = rules(&history(vec![one(), two()], 1));
    assert_eq!(found, [Rule::HeadIsLinear]);
    // While the accept still runs, either version may be seen.
    let late = accept("y", 5, 70, Verdict::Accepted(2));
    assert_eq!(rules(&history(vec![one(), late], 1)), []);
    // An accept that began after another ended makes a later version.
    let early = accept("y", 1, 10, Verdict::Accepted(2));
    let after = accept("x", 20, 30, Verdict::Accepted(1));
    let found = rules(&history(vec![early, after], 2));
    assert_eq!(found, [Rule::HeadIsLinear]);
}

#[test]
fn vm_left_behind_is_reported() {
    let history = |serving| History {
        chain: chain(&[(1, "x"), (2, "y")]),
        settled: [("a-1".to_owned(), serving)].into(),
        ..History::default()
    };
    assert_eq!(rules(&history(2)), []);
    assert_eq!(rules(&history(1)), [Rule::Converges]);
    assert_eq!(rules(&history(3)), [Rule::Converges]);
}
