//! Results of accepts: new versions, refusals, repeated accepts, and the number of store calls.

mod common;

use common::{config, ledger, parented, request, team};
use ledger::Error;
use model::{Config, FORMAT, Version};
use standin::Kv;

#[tokio::test]
async fn stale_accept_is_rebased_over_other_teams_and_refused_over_its_own() {
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
    assert_eq!(ledger.head().await.expect("read").version, Version::new(2));
}

#[tokio::test]
async fn accept_id_cannot_be_reused_for_another_configuration() {
    let ledger = ledger(Kv::open());
    let first = request(config("a", 1, 20), "id");
    let accepted = ledger.accept(&first).await.expect("accepted");
    assert_eq!(
        ledger
            .accept(&first)
            .await
            .expect("repeated accept succeeds"),
        accepted
    );
    let other = request(config("a", 1, 30), "id");
    let refused = ledger.accept(&other).await;
    assert!(matches!(refused, Err(Error::Reused { .. })), "{refused:?}");
    assert_eq!(ledger.head().await.expect("read").version, Version::new(1));
}

#[tokio::test]
async fn accept_without_changes_creates_no_version() {
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
    assert_eq!(ledger.head().await.expect("read").version, Version::new(0));
}

#[tokio::test]
async fn items_of_a_team_can_be_removed_unless_other_teams_refer_to_them() {
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
    assert_eq!(ledger.head().await.expect("read").state.len(), 3);
}

#[tokio::test]
async fn change_over_the_stores_value_limit_is_stored_in_parts() {
    let kv = Kv::open();
    let big = request(config("team-with-a-rather-long-name", 5_000, 20), "big");
    let writer = ledger(kv.clone());
    let accepted = writer.accept(&big).await.expect("accepted");
    assert_eq!(accepted.keys.len(), 15_000);
    let reader = ledger(kv);
    let tip = reader.head().await.expect("read");
    let change = tip.change.as_ref().expect("a version");
    assert!(change.to_bytes().len() > 2 * store::MAX_VALUE_BYTES);
    assert_eq!(tip.state.root(), change.root);
    assert_eq!(tip.state.len(), 15_000);
}

#[tokio::test]
async fn accept_on_a_long_chain_needs_few_store_calls() {
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
    // Reads the head and the changes after the cached one; writes the change and the head.
    assert!(reads <= 3, "{reads} reads");
    assert!(writes <= 2, "{writes} writes");
    let uncached = common::ledger(kv.clone());
    let before = kv.counts();
    let again = uncached
        .accept(&last)
        .await
        .expect("repeated accept succeeds");
    let after = kv.counts();
    assert_eq!(again.version, Version::new(701));
    let reads = after.gets + after.lists - before.gets - before.lists;
    // Reads the head, the checkpoint and pages of 512 changes.
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
        roots.push(writer.head().await.expect("read").state.root());
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
