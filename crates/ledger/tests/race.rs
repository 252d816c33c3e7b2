//! Concurrent accepts by many operators, through one or several daemons.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::{config, ledger, parented, request};
use ledger::{Accepted, Error, Ledger};
use model::{Millis, Version};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::{Faults, Kv};
use tokio::task::JoinSet;
use tokio::time::sleep;

const OPERATORS: usize = 64;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Accepts one configuration per operator within 10 ms, spread over `daemons` ledgers.
async fn race(
    kv: &Kv,
    seed: u64,
    daemons: usize,
    team: impl Fn(usize) -> String,
) -> Vec<Result<Accepted, Error>> {
    let mut random = StdRng::seed_from_u64(seed);
    kv.set_faults(Faults {
        delay: Millis::new(2),
        ..Faults::default()
    });
    let ledgers: Vec<Arc<Ledger>> = (0..daemons).map(|_| Arc::new(ledger(kv.clone()))).collect();
    let mut tasks = JoinSet::new();
    for i in 0..OPERATORS {
        let ledger = Arc::clone(&ledgers[i % daemons]);
        let one = request(
            parented(config(&team(i), 1, i as u32), 0),
            &format!("id-{i}"),
        );
        let pause = Duration::from_micros(random.random_range(0..10_000));
        tasks.spawn(async move {
            sleep(pause).await;
            ledger.accept(&one).await
        });
    }
    tasks.join_all().await
}

/// Asserts that the chain has no gaps, and returns its accept ids.
async fn chain(kv: &Kv) -> Vec<String> {
    let log = ledger(kv.clone()).log(None, 1_000).await.expect("read");
    let head = log.first().map_or(0, |change| change.version.get());
    let versions: Vec<u64> = log.iter().map(|change| change.version.get()).collect();
    assert_eq!(versions, (1..=head).rev().collect::<Vec<_>>());
    log.iter()
        .map(|change| change.accept_id.to_string())
        .collect()
}

#[tokio::test(start_paused = true)]
async fn concurrent_accepts_of_different_teams_all_succeed() {
    for seed in SEEDS {
        for daemons in [1, 8, OPERATORS] {
            let kv = Kv::open();
            let results = race(&kv, seed, daemons, |i| format!("team-{i}")).await;
            let versions: BTreeSet<Version> = results
                .into_iter()
                .map(|result| result.expect("accepted").version)
                .collect();
            assert_eq!(versions.len(), OPERATORS, "seed {seed}, {daemons} daemons");
            let ids: BTreeSet<String> = chain(&kv).await.into_iter().collect();
            assert_eq!(ids.len(), OPERATORS);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn one_of_the_concurrent_accepts_of_a_team_succeeds() {
    for seed in SEEDS {
        for daemons in [1, 8, OPERATORS] {
            let kv = Kv::open();
            let results = race(&kv, seed, daemons, |_| "team".into()).await;
            let won: Vec<&Accepted> = results.iter().filter_map(|r| r.as_ref().ok()).collect();
            assert_eq!(won.len(), 1, "seed {seed}, {daemons} daemons");
            for lost in results.iter().filter_map(|result| result.as_ref().err()) {
                let Error::Conflict { head, .. } = lost else {
                    panic!("{lost}");
                };
                assert_eq!(*head, Version::new(1));
                assert!(lost.to_string().starts_with("not accepted, head is 1"));
            }
            assert_eq!(chain(&kv).await.len(), 1);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn accept_repeated_through_several_daemons_creates_one_version() {
    for seed in SEEDS {
        let kv = Kv::open();
        race(&kv, seed, 8, |i| format!("team-{}", i % 4)).await;
        let before = chain(&kv).await.len();
        let mut tasks = JoinSet::new();
        for _ in 0..8 {
            let ledger = ledger(kv.clone());
            let one = request(config("late", 1, 20), "late");
            tasks.spawn(async move { ledger.accept(&one).await.expect("accepted").version });
        }
        let versions: BTreeSet<Version> = tasks.join_all().await.into_iter().collect();
        assert_eq!(versions.len(), 1);
        assert_eq!(chain(&kv).await.len(), before + 1);
    }
}

#[tokio::test(start_paused = true)]
async fn rate_limited_store_delays_accepts_and_loses_none() {
    let kv = Kv::open();
    kv.set_faults(Faults {
        writes: 40,
        reads: 200,
        ..Faults::default()
    });
    let ledger = Arc::new(ledger(kv.clone()));
    let mut tasks = JoinSet::new();
    for i in 0..OPERATORS {
        let ledger = Arc::clone(&ledger);
        let one = request(config(&format!("team-{i}"), 1, 20), &format!("id-{i}"));
        tasks.spawn(async move { ledger.accept(&one).await });
    }
    for result in tasks.join_all().await {
        result.expect("accepted");
    }
    kv.set_faults(Faults::default());
    assert!(kv.counts().limited > 0);
    assert_eq!(chain(&kv).await.len(), OPERATORS);
}
