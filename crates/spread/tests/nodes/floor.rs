//! Version floor: a restarted daemon never serves an older version than before, also during outages.

use standin::Kv;

use crate::support::{
    TestNode, accept, assert_holds, set_store_down, wait_for_version, wait_until,
};

/// Starts a relay and a daemon below it in each of three failure domains.
async fn start_fleet(kv: &Kv) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for i in 0..2 {
        for domain in ["a", "b", "c"] {
            let vm = format!("{domain}-{i}");
            nodes.push(TestNode::spawn(kv, &vm, domain, &[]).await);
        }
        wait_until("every node is connected", || {
            nodes.iter().all(|node| node.node.is_connected())
        })
        .await;
    }
    nodes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_restarted_during_store_outage_serves_newest_version() {
    let kv = Kv::open();
    let mut nodes = start_fleet(&kv).await;
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    accept(&kv, 2).await;
    wait_for_version(&nodes, 2).await;
    set_store_down(&kv, true);
    nodes.remove(3).kill().await;

    let seeds = [nodes[1].address, nodes[2].address];
    let restarted = TestNode::spawn(&kv, "a-1", "a", &seeds).await;
    wait_until("the restarted daemon is ready", || {
        restarted.node.is_ready()
    })
    .await;
    assert_eq!(restarted.version(), 2);

    set_store_down(&kv, false);
    accept(&kv, 3).await;
    wait_for_version(&nodes, 3).await;
    wait_until("the restarted daemon serves version 3", || {
        restarted.version() == 3
    })
    .await;
}

/// Guards against a restarted daemon that applies an older version from a peer which missed the newest.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemon_serves_no_version_without_a_known_floor() {
    let kv = Kv::open();
    let mut nodes = start_fleet(&kv).await;
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    set_store_down(&kv, true);
    // Two failure domains lose their relays, which may have had a newer version.
    let survivor = nodes.remove(2);
    for node in nodes {
        node.kill().await;
    }
    let restarted = TestNode::spawn(&kv, "c-1", "c", &[survivor.address]).await;
    assert_holds("the restarted daemon serves no version", || {
        restarted.version() == 0 && !restarted.node.is_ready()
    })
    .await;

    set_store_down(&kv, false);
    wait_until(
        "the floor is read from the store and the version served",
        || restarted.node.is_ready() && restarted.version() == 1,
    )
    .await;
}

/// Guards against putting a version in force that is known to one failure domain only: if that domain
/// fails, restarted daemons elsewhere serve an older version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn version_is_released_only_after_another_failure_domain_holds_it() {
    let kv = Kv::open();
    let mut nodes = start_fleet(&kv).await;
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    // Only the relay of `a` still reads the store; the leases of the others have not expired yet.
    for node in nodes.split_off(1) {
        node.kill().await;
    }
    accept(&kv, 2).await;
    assert_holds("the remaining relay does not release the version", || {
        nodes[0].version() == 1
    })
    .await;
    let lags = nodes[0].node.lags();
    assert_eq!(lags.len(), 1, "{lags:?}");
    assert_eq!(lags[0].vm.as_str(), "a-0");
    assert!(lags[0].reason.contains("failure domain"), "{lags:?}");
    // The leases of the others expire, which leaves one failure domain.
    wait_until("the version is released", || nodes[0].version() == 2).await;
}
