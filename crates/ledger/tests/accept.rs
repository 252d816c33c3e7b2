//! What an accept makes, refuses and answers.

mod common;

use common::{config, ledger, parented, request, team};
use ledger::Error;
use model::{Config, FORMAT, Version};
use standin::Kv;

#[tokio::test]
async fn other_teams_parts_are_rebased_and_own_ones_refused() {
    let kv = Kv::open();
    let ledger = ledger(kv);
    let first = request(parented(config("a", 1, 20), 0), "a1");
    assert_eq!(
        ledger.accept(&first).await.expect("accepted").version,
        Version::new(1)
    );
    let other = request(parented(config("b", 1, 20), 0), "b1");
    assert_eq!(
        ledger.accept(&other).await.expect("rebased").version,
        Version::new(2)
    );
    let stale = request(parented(config("a", 1, 30), 0), "a2");
    let refused = ledger.accept(&stale).await;
    let Err(Error::Conflict { parent, head, keys }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((parent, head), (Version::new(0), Version::new(2)));
    let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
    assert_eq!(keys, ["service/a-0", "pool/a-0", "route/a-0"]);
    assert_eq!(ledger.tip().await.expect("read").version, Version::new(2));
}

#[tokio::test]
async fn accept_id_stands_for_one_configuration() {
    let ledger = ledger(Kv::open());
    let first = request(config("a", 1, 20), "id");
    let accepted = ledger.accept(&first).await.expect("accepted");
    assert_eq!(ledger.accept(&first).await.expect("settled"), accepted);
    let other = request(config("a", 1, 30), "id");
    let refused = ledger.accept(&other).await;
    assert!(matches!(refused, Err(Error::Reused { .. })), "{refused:?}");
    assert_eq!(ledger.tip().await.expect("read").version, Version::new(1));
}

#[tokio::test]
async fn accept_that_changes_nothing_makes_no_version() {
    let ledger = ledger(Kv::open());
    let first = request(config("a", 1, 20), "one");
    ledger.accept(&first).await.expect("accepted");
    let again = request(config("a", 1, 20), "two");
    let same = ledger.accept(&again).await.expect("nothing to do");
    assert_eq!((same.version, same.keys.len()), (Version::new(1), 0));
}

#[tokio::test]
async fn parent_after_the_head_is_refused() {
    let ledger = ledger(Kv::open());
    let early = request(parented(config("a", 1, 20), 7), "one");
    let refused = ledger.accept(&early).await;
    assert!(matches!(refused, Err(Error::NoVersion(_))), "{refused:?}");
    assert_eq!(ledger.tip().await.expect("read").version, Version::new(0));
}

#[tokio::test]
async fn last_part_of_a_team_can_be_removed_unless_others_need_it() {
    let ledger = ledger(Kv::open());
    ledger
        .accept(&request(config("a", 1, 20), "one"))
        .await
        .expect("accepted");
    let mut other = config("b", 1, 20);
    other.routes[0].to[0].pool = "a-0".parse().expect("valid");
    ledger
        .accept(&request(other, "two"))
        .await
        .expect("accepted");
    let nothing = |id: &str| {
        let empty = Config {
            format: FORMAT,
            parent: None,
            teams: vec![team("a")],
            services: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
        };
        request(empty, id)
    };
    let refused = ledger.accept(&nothing("three")).await;
    let Err(Error::Invalid(problems)) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(problems.0[0].place, "route/b-0.to[0].pool");
    ledger
        .accept(&request(config("b", 1, 20), "four"))
        .await
        .expect("accepted");
    let removed = ledger.accept(&nothing("five")).await.expect("accepted");
    assert_eq!(removed.keys.len(), 3);
    assert_eq!(ledger.tip().await.expect("read").state.len(), 3);
}

#[tokio::test]
async fn change_over_the_stores_value_limit_is_carried_in_parts() {
    let kv = Kv::open();
    let big = request(config("team-with-a-rather-long-name", 5_000, 20), "big");
    let writer = ledger(kv.clone());
    let accepted = writer.accept(&big).await.expect("accepted");
    assert_eq!(accepted.keys.len(), 15_000);
    let reader = ledger(kv);
    let tip = reader.tip().await.expect("read");
    let change = tip.change.as_ref().expect("a version");
    assert!(change.to_bytes().len() > 2 * store::MAX_VALUE_BYTES);
    assert_eq!(tip.state.root(), change.root);
    assert_eq!(tip.state.len(), 15_000);
}

#[tokio::test]
async fn accept_costs_few_store_calls_on_a_long_chain() {
    let kv = Kv::open();
    let ledger = ledger(kv.clone());
    for i in 0..700 {
        let one = request(config("a", 1, i % 100), &format!("id-{i}"));
        ledger.accept(&one).await.expect("accepted");
    }
    let before = kv.counts();
    let last = request(config("a", 1, 101), "last");
    ledger.accept(&last).await.expect("accepted");
    let after = kv.counts();
    let reads = after.gets + after.lists - before.gets - before.lists;
    let writes = after.puts - before.puts;
    // The head, what follows the cached tip, and one write each for the change and the head.
    assert!(reads <= 3, "{reads} reads");
    assert!(writes <= 2, "{writes} writes");
    let cold = common::ledger(kv.clone());
    let before = kv.counts();
    let again = cold.accept(&last).await.expect("settled");
    let after = kv.counts();
    assert_eq!(again.version, Version::new(701));
    let reads = after.gets + after.lists - before.gets - before.lists;
    // Pages of 512 changes, the checkpoint and the head.
    assert!(reads <= 10, "{reads} reads");
}

#[tokio::test]
async fn every_version_can_be_listed_and_read() {
    let kv = Kv::open();
    let writer = ledger(kv.clone());
    let mut roots = Vec::new();
    for i in 0..600 {
        let one = request(config("a", 1 + i % 3, i as u32), &format!("id-{i}"));
        writer.accept(&one).await.expect("accepted");
        roots.push(writer.tip().await.expect("read").state.root());
    }
    let reader = ledger(kv);
    let log = reader.log(None, 1_000).await.expect("read");
    let versions: Vec<u64> = log.iter().map(|change| change.version.get()).collect();
    assert_eq!(versions, (1..=600).rev().collect::<Vec<_>>());
    let page = reader.log(Some(Version::new(100)), 3).await.expect("read");
    let versions: Vec<u64> = page.iter().map(|change| change.version.get()).collect();
    assert_eq!(versions, [100, 99, 98]);
    for version in [1, 2, 255, 256, 257, 300, 512, 513, 599, 600] {
        let state = reader.at(Version::new(version)).await.expect("kept");
        assert_eq!(state.root(), roots[version as usize - 1], "{version}");
    }
    let none = reader.at(Version::new(601)).await;
    assert!(matches!(none, Err(Error::NoVersion(_))));
}
