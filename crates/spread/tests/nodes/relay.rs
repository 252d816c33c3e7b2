//! Relay role: failover, expired leases and store outages.

use std::time::Duration;

use standin::Kv;
use store::Store;
use tokio::time::{Instant, sleep};

use crate::support::{
    POLL_INTERVAL, TestNode, accept, deafen_watches, set_store_down, wait_for_version, wait_until,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopped_or_crashed_relay_is_replaced() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for i in 0..6 {
        nodes.push(TestNode::spawn_with_relays(&kv, &format!("a-{i}"), "a", &[], 2).await);
        let last = nodes.len() - 1;
        wait_until("the node is connected", || nodes[last].node.is_connected()).await;
    }
    assert_eq!(relays(&nodes), 2);
    // Graceful shutdown: the role is handed over, and the other relay serves the daemons meanwhile.
    let stopped = nodes.remove(0);
    stopped.node.stop().await;
    wait_until("the stopped relay is replaced", || relays(&nodes) == 2).await;
    // Crash: the slot is vacant once the lease has expired.
    let position = nodes.iter().position(|node| node.node.is_relay());
    nodes.remove(position.expect("a relay")).kill().await;
    wait_until("the crashed relay is replaced", || relays(&nodes) == 2).await;
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
}

/// Time from the acceptance of a version until it is in force everywhere.
const CONVERGENCE: Duration = Duration::from_secs(6);

/// A relay waited 10 s for a change on a watch that reported nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn version_that_the_watch_of_the_head_does_not_report_is_in_force_in_time() {
    let kv = Kv::open();
    let relay = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait_until("the first daemon is a relay", || relay.node.is_relay()).await;
    let child = TestNode::spawn(&kv, "a-1", "a", &[relay.address]).await;
    wait_until("the child is connected", || child.node.is_connected()).await;
    let nodes = [relay, child];
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    deafen_watches(&kv);
    for version in 2..4 {
        accept(&kv, version).await;
        let until = Instant::now() + CONVERGENCE;
        while !nodes.iter().all(|node| node.version() == version) {
            assert!(Instant::now() < until, "version {version} is not in force");
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn relays(nodes: &[TestNode]) -> usize {
    nodes.iter().filter(|node| node.node.is_relay()).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relays_discover_failure_domains_without_polling_store() {
    let kv = Kv::open();
    let one = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait_until("the first daemon is a relay", || one.node.is_relay()).await;
    let two = TestNode::spawn(&kv, "b-0", "b", &[]).await;
    wait_until("the memberships are merged", || {
        one.live() == ["a-0", "b-0"] && two.live() == ["a-0", "b-0"]
    })
    .await;
    let lists = kv.counts().lists;
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    assert_eq!(kv.counts().lists, lists);
}

/// Guards against a suspended relay that still acts as one after its lease has expired.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relay_with_expired_lease_moves_no_daemon_to_an_older_version() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "a-2"] {
        nodes.push(TestNode::spawn(&kv, vm, "a", &[]).await);
    }
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    // Replaces the relay's key without its knowledge, as if it had been suspended until its lease
    // expired.
    kv.delete("relay/a/0", store::Expect::Any)
        .await
        .expect("delete the relay key");
    kv.put(
        "relay/a/0",
        b"127.0.0.1:1".to_vec(),
        store::Expect::Any,
        None,
    )
    .await
    .expect("write the relay key");
    accept(&kv, 2).await;
    wait_for_version(&nodes, 2).await;
    // A daemon without any version is updated by its peers and does not affect theirs.
    let late = TestNode::spawn(&kv, "a-3", "a", &[nodes[0].address]).await;
    wait_until("the late daemon serves version 2", || late.version() == 2).await;
    assert!(nodes.iter().all(|node| node.version() == 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_keeps_version_during_store_outage_and_converges_after_it() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "b-0", "b-1"] {
        nodes.push(TestNode::spawn(&kv, vm, &vm[..1], &[]).await);
    }
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    set_store_down(&kv, true);
    // Longer than the lease duration.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    assert!(nodes.iter().all(|node| node.version() == 1));
    set_store_down(&kv, false);
    accept(&kv, 2).await;
    wait_for_version(&nodes, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_below_foreign_parent_claims_vacant_slot_of_its_own_domain() {
    let kv = Kv::open();
    let parent = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait_until("the first daemon is a relay", || parent.node.is_relay()).await;
    let child = TestNode::spawn(&kv, "b-0", "b", &[parent.address]).await;
    wait_until("the child is connected", || child.node.is_connected()).await;
    assert!(!child.node.is_relay());
    wait_until("the child becomes a relay", || child.node.is_relay()).await;
}
