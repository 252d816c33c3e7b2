//! Cold start of a whole fleet from the membership backup in the store.

use standin::Kv;
use store::{Expect, Store};
use tokio::time::{sleep, timeout};

use crate::support::{POLL_INTERVAL, TestNode, WAIT_TIMEOUT, wait_until};

/// Guards against a relay without membership after all other daemons have stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_start_restores_membership_from_store() {
    let kv = Kv::open();
    let members: Vec<String> = (0..5_000).map(|i| format!("a-known-{i}")).collect();
    let writer = TestNode::spawn_with_members(&kv, "a-0", "a", &[], 1, &members).await;
    let written = async {
        while kv
            .list("members/a/", "", 9)
            .await
            .expect("list the entries")
            .len()
            < 3
        {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, written)
        .await
        .expect("membership not written to the store in time");
    let entries = kv
        .list("members/a/", "", 9)
        .await
        .expect("list the entries");
    assert!(entries.iter().all(|entry| entry.value.len() < 1_000_000));
    writer.kill().await;
    kv.delete("relay/a/0", Expect::Any)
        .await
        .expect("delete the relay key");

    let cold = TestNode::spawn(&kv, "a-9", "a", &[]).await;
    wait_until("the membership is restored", || cold.live().len() == 5_002).await;
}
