//! A fleet that starts anew knows from the store whom to expect.

use standin::Kv;
use store::{Expect, Store};
use tokio::time::{sleep, timeout};

use crate::support::{LIMIT, LOOK_PAUSE, TestNode, wait};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn first_daemon_of_a_cold_fleet_reads_the_membership_from_the_store() {
    let kv = Kv::open();
    let crowd: Vec<String> = (0..5_000).map(|i| format!("a-crowd-{i}")).collect();
    let writer = TestNode::spawn_among(&kv, "a-0", "a", &[], 1, &crowd).await;
    let written = async {
        while kv.list("members/a/", "", 9).await.expect("entries").len() < 3 {
            sleep(LOOK_PAUSE).await;
        }
    };
    timeout(LIMIT, written)
        .await
        .expect("the membership is in the store");
    let entries = kv.list("members/a/", "", 9).await.expect("entries");
    assert!(entries.iter().all(|entry| entry.value.len() < 1_000_000));
    writer.kill().await;
    kv.delete("relay/a/0", Expect::Any).await.expect("deleted");

    let cold = TestNode::spawn(&kv, "a-9", "a", &[]).await;
    wait("the membership is known", || cold.live().len() == 5_002).await;
}
