//! The checks report what happens without the mechanism that they are about: each test runs once
//! with the mechanism, which passes, and once with a double that lacks it, which is reported.

mod chain;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use chain::{accept, config};
use ledger::{Error as LedgerError, Ledger};
use model::Millis;
use proof::{
    Accept, CallResult, ChainEntry, HANG_LIMIT, History, Kind, Recorder, Rule, Verdict, World,
    check,
};
use standin::{Behaviour, Faults, Kv};
use store::{Changes, Entry, Error, Expect, LeaseId, Put, Revision, Store};

/// Teams that race.
const TEAMS: &[&str] = &["red", "blue", "green"];

/// What a store fails to do.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Lack {
    /// Nothing.
    Nothing,
    /// It ignores what a write expects.
    CompareAndSwap,
    /// It says that a write whose answer was lost had no effect.
    UnknownAnswers,
}

/// A store without one of the promises of its port.
#[derive(Debug)]
struct Broken {
    kv: Kv,
    lack: Lack,
    /// Whether the next write of the head loses its answer.
    loses: AtomicBool,
}

#[async_trait]
impl Store for Broken {
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
        let expect = match self.lack {
            Lack::CompareAndSwap => Expect::Any,
            _ => expect,
        };
        let put = self.kv.put(key, value, expect, lease).await?;
        if key != "head" || !self.loses.swap(false, Ordering::SeqCst) {
            return Ok(put);
        }
        match self.lack {
            Lack::UnknownAnswers => Err(Error::Unavailable("no answer".into())),
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

/// Accepts at the same moment at as many daemons as there are teams; returns the rules broken.
async fn race(lack: Lack, loses: bool, teams: &'static [&'static str]) -> Vec<Rule> {
    let kv = Kv::open();
    kv.set_faults(Faults {
        delay: Millis::new(5),
        ..Faults::default()
    });
    let store = Arc::new(Broken {
        kv,
        lack,
        loses: AtomicBool::new(loses),
    });
    let recorder = Recorder::default();
    let mut tasks = tokio::task::JoinSet::new();
    for (i, team) in teams.iter().enumerate() {
        let ledger = Ledger::open(Arc::clone(&store) as Arc<dyn Store>);
        let recorder = recorder.clone();
        tasks.spawn(async move {
            let id = format!("id-{i}");
            let start = recorder.now();
            let answer = accept(&ledger, config(team, i as u64), &id).await;
            let verdict = match answer {
                Ok(accepted) => Verdict::Accepted(accepted.version.get()),
                Err(LedgerError::Unknown(_)) => Verdict::Unknown,
                Err(_) => Verdict::NotAccepted,
            };
            let end = recorder.now();
            let accept = Accept {
                id,
                start,
                end,
                verdict,
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
    assert_eq!(race(Lack::Nothing, false, TEAMS).await, []);
    let found = race(Lack::CompareAndSwap, false, TEAMS).await;
    assert!(found.contains(&Rule::AcceptsLast), "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn store_that_hides_lost_answers_is_reported() {
    assert_eq!(race(Lack::Nothing, true, &["red"]).await, []);
    let found = race(Lack::UnknownAnswers, true, &["red"]).await;
    assert_eq!(found, [Rule::AcceptsLast]);
    // A lost answer among racing operators.
    assert_eq!(race(Lack::Nothing, true, TEAMS).await, []);
}

/// Sends notices that are slow and then cut off; a caller that `repeats` sends them again at once.
async fn notices(repeats: bool) -> Vec<Rule> {
    let mut world = World::open(&["red"]).await.expect("a store");
    for (vm, team) in [("a-1", None), ("a-2", Some("red")), ("a-3", Some("red"))] {
        world.start(vm, "a", team).await.expect("a daemon");
    }
    let agent = world.agent("a-1").expect("a daemon");
    agent.accept("red", 1, "one").await.expect("a valid id");
    world.settle(HANG_LIMIT).await.expect("settled");
    for vm in ["a-2", "a-3"] {
        let slow = Behaviour {
            service_time: Millis::new(300),
            ..Behaviour::default()
        };
        world.behave(vm, &slow).await.expect("an upstream");
    }
    wait_for_answer(&world).await;
    let mut tasks = tokio::task::JoinSet::new();
    for i in 0..16 {
        let agent = agent.clone();
        tasks.spawn(async move {
            let id = format!("notice-{i}");
            let first = agent.call("red", Kind::Notice, &id);
            let first = tokio::time::timeout(Duration::from_millis(100), first).await;
            if repeats && first.is_err() {
                agent.call("red", Kind::Notice, &id).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let history = world.collect().await.expect("a history");
    check(&history).iter().map(|found| found.rule).collect()
}

async fn wait_for_answer(world: &World) {
    let agent = world.agent("a-1").expect("a daemon");
    for i in 0..400 {
        let result = agent.call("red", Kind::Read, &format!("early-{i}")).await;
        if let CallResult::Answered(_) = result {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no upstream became known");
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_repeats_blindly_is_reported() {
    assert_eq!(notices(false).await, []);
    let found = notices(true).await;
    assert!(found.contains(&Rule::RunsOnce), "{found:?}");
}
