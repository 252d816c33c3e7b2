//! Removal of old changes and checkpoints, which must keep everything the head refers to.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{config, ledger, request};
use ledger::{Error, Ledger, Retention};
use model::{Digest, Version};
use standin::Kv;
use store::{Expect, Store};
use tokio::time::sleep;

async fn keys(kv: &Kv, prefix: &str) -> Vec<String> {
    let mut keys: Vec<String> = Vec::new();
    loop {
        let after = keys.last().cloned().unwrap_or_default();
        let page = kv.list(prefix, &after, 1_000).await.expect("up");
        if page.is_empty() {
            return keys;
        }
        keys.extend(page.into_iter().map(|entry| entry.key));
    }
}

#[tokio::test(start_paused = true)]
async fn old_changes_checkpoints_and_orphaned_changes_are_removed() {
    let kv = Kv::open();
    let retention = Retention { versions: 1_000 };
    let ledger = Ledger::open_with(Arc::new(kv.clone()), retention);
    // A change that is not on the chain, as a lost swap leaves it behind.
    let orphan = format!("change/{:020}/{}/0000", 300, Digest::of(b"lost"));
    kv.put(&orphan, b"lost".into(), Expect::Any, None)
        .await
        .expect("up");
    for i in 0..3_600 {
        let one = request(config("a", 1, i), &format!("id-{i}"));
        ledger.accept(&one).await.expect("accepted");
        if i % 256 == 0 {
            // Lets the removal after the checkpoint complete.
            sleep(Duration::from_secs(60)).await;
        }
    }
    let changes = keys(&kv, "change/").await;
    assert!(!changes.contains(&orphan));
    // Changes past the limit are removed only at the next checkpoint, up to 256 versions later.
    assert!(changes.len() <= 1_000 + 256 + 16, "{}", changes.len());
    let checkpoints = keys(&kv, "checkpoint/").await;
    assert!(checkpoints.len() <= 10, "{checkpoints:?}");
    let reader = common::ledger(kv);
    let head = reader.head().await.expect("read").version;
    assert_eq!(head, Version::new(3_600));
    reader.at(Version::new(3_000)).await.expect("kept");
    let gone = reader.at(Version::new(1_000)).await;
    assert!(matches!(gone, Err(Error::NoVersion(_))), "{gone:?}");
    let log = reader.log(None, 10_000).await.expect("read");
    assert!(log.len() >= 1_000);
}

#[tokio::test(start_paused = true)]
async fn removal_by_daemons_with_an_outdated_head_keeps_recent_versions() {
    let kv = Kv::open();
    let writers: Vec<Ledger> = (0..4)
        .map(|_| Ledger::open_with(Arc::new(kv.clone()), Retention { versions: 300 }))
        .collect();
    for i in 0..2_000 {
        let one = request(config("a", 1, i), &format!("id-{i}"));
        writers[i as usize % 4]
            .accept(&one)
            .await
            .expect("accepted");
        if i % 100 == 0 {
            sleep(Duration::from_secs(5)).await;
        }
    }
    let reader = ledger(kv);
    assert_eq!(
        reader.head().await.expect("read").version,
        Version::new(2_000)
    );
    let oldest = reader.at(Version::new(1_800)).await;
    oldest.expect("within the retention");
}
