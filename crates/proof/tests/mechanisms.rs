//! The checks detect that a mechanism is missing. Each test runs with the mechanism, where the
//! checks must pass, and with a double that lacks it, where they must report a violation.

mod chain;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use chain::{accept, config};
use ledger::{Error as LedgerError, Ledger};
use model::Millis;
use proof::{
    Accept, AcceptResult, CallKind, CallResult, ChainEntry, HANG_LIMIT, History, Recorder, Rule,
    TestFleet, check,
};
use standin::{Behaviour, Faults, Kv};
use store::{Changes, Entry, Error, Expect, LeaseId, Put, Revision, Store};

/// Teams of the concurrent accepts.
const TEAMS: &[&str] = &["red", "blue", "green"];

/// Guarantee that a store lacks.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Missing {
    /// None; the store is correct.
    Nothing,
    /// The store ignores the expected revision of a write.
    CompareAndSwap,
    /// The store reports a write with a lost response as having had no effect.
    UnknownOutcome,
}

/// A store that lacks one guarantee of the `Store` trait.
#[derive(Debug)]
struct FaultyStore {
    kv: Kv,
    missing: Missing,
    /// Whether the response to the next write of the head is lost.
    lose_response: AtomicBool,
}

#[async_trait]
impl Store for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.kv.get(key).await
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        self.kv.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        let expect = match self.missing {
            Missing::CompareAndSwap => Expect::Any,
            _ => expect,
        };
        let put = self.kv.put(key, value, expect, lease).await?;
        if key != "head" || !self.lose_response.swap(false, Ordering::SeqCst) {
            return Ok(put);
        }
        match self.missing {
            Missing::UnknownOutcome => Err(Error::Unavailable("no answer".into())),
            _ => Err(Error::Unknown("no answer".into())),
        }
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error> {
        self.kv.delete(key, expect).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.kv.watch(prefix, after, wait).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.kv.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        self.kv.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.kv.revoke(lease).await
    }
}

/// Sends an accept of each team at the same time through a ledger of its own; returns the violated
/// rules.
async fn accept_concurrently(
    missing: Missing,
    lose_response: bool,
    teams: &'static [&'static str],
) -> Vec<Rule> {
    let kv = Kv::open();
    kv.set_faults(Faults {
        delay: Millis::new(5),
        ..Faults::default()
    });
    let store = Arc::new(FaultyStore {
        kv,
        missing,
        lose_response: AtomicBool::new(lose_response),
    });
    let recorder = Recorder::default();
    let mut tasks = tokio::task::JoinSet::new();
    for (i, team) in teams.iter().enumerate() {
        let ledger = Ledger::open(Arc::clone(&store) as Arc<dyn Store>);
        let recorder = recorder.clone();
        tasks.spawn(async move {
            let id = format!("id-{i}");
            let start = recorder.now();
            let response = accept(&ledger, config(team, i as u64), &id).await;
            let result = match response {
                Ok(accepted) => AcceptResult::Accepted(accepted.version.get()),
                Err(LedgerError::Unknown(_)) => AcceptResult::Unknown,
                Err(_) => AcceptResult::NotAccepted,
            };
            let end = recorder.now();
            let accept = Accept {
                id,
                start,
                end,
                result,
            };
            recorder.history().accepts.push(accept);
        });
    }
    while tasks.join_next().await.is_some() {}
    let ledger = Ledger::open(store);
    let changes = ledger.log(None, 100).await.expect("a chain");
    let chain = changes.iter().rev().map(|change| ChainEntry {
        version: change.version.get(),
        id: change.accept_id.to_string(),
    });
    let mut history: History = recorder.history().clone();
    history.chain = chain.collect();
    assert_eq!(history.accepts.len(), teams.len());
    let mut rules: Vec<Rule> = check(&history).iter().map(|found| found.rule).collect();
    rules.sort();
    rules.dedup();
    rules
}

#[tokio::test(start_paused = true)]
async fn store_without_compare_and_swap_is_reported() {
    assert_eq!(
        accept_concurrently(Missing::Nothing, false, TEAMS).await,
        []
    );
    let found = accept_concurrently(Missing::CompareAndSwap, false, TEAMS).await;
    assert!(found.contains(&Rule::AcceptsLast), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn store_that_hides_lost_responses_is_reported() {
    assert_eq!(
        accept_concurrently(Missing::Nothing, true, &["red"]).await,
        []
    );
    let found = accept_concurrently(Missing::UnknownOutcome, true, &["red"]).await;
    assert_eq!(found, [Rule::AcceptsLast]);
    // A lost response during concurrent accepts.
    assert_eq!(accept_concurrently(Missing::Nothing, true, TEAMS).await, []);
}

/// Sends slow non-idempotent calls and abandons each after 100 ms. A caller with `repeats` then sends
/// the call again at once. Returns the violated rules.
async fn non_idempotent_calls(repeats: bool) -> Vec<Rule> {
    let mut fleet = TestFleet::open(&["red"]).await.expect("a store");
    for (vm, team) in [("a-1", None), ("a-2", Some("red")), ("a-3", Some("red"))] {
        fleet.start(vm, "a", team).await.expect("a daemon");
    }
    let agent = fleet.agent("a-1").expect("a daemon");
    agent.accept("red", 1, "one").await.expect("a valid id");
    fleet
        .await_convergence(HANG_LIMIT)
        .await
        .expect("the fleet converged");
    for vm in ["a-2", "a-3"] {
        let slow = Behaviour {
            service_time: Millis::new(300),
            ..Behaviour::default()
        };
        fleet.set_behaviour(vm, &slow).await.expect("an upstream");
    }
    wait_for_response(&fleet).await;
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..16 {
        let agent = agent.clone();
        tasks.spawn(async move {
            let id = format!("notice-{i}");
            let first = agent.call("red", CallKind::NonIdempotent, &id);
            let first = tokio::time::timeout(Duration::from_millis(100), first).await;
            if repeats && first.is_err() {
                agent.call("red", CallKind::NonIdempotent, &id).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let history = fleet.collect().await.expect("a history");
    check(&history).iter().map(|found| found.rule).collect()
}

async fn wait_for_response(fleet: &TestFleet) {
    let agent = fleet.agent("a-1").expect("a daemon");
    for i in 0..400 {
        let result = agent
            .call("red", CallKind::Idempotent, &format!("early-{i}"))
            .await;
        if let CallResult::Answered(_) = result {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no upstream responded within 400 attempts");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_repeats_non_idempotent_calls_is_reported() {
    assert_eq!(non_idempotent_calls(false).await, []);
    let found = non_idempotent_calls(true).await;
    assert!(found.contains(&Rule::RunsOnce), "{found:?}");
}
