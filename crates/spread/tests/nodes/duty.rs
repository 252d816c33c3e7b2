//! The relay's duty changes hands without a gap, and a lapsed one does no harm.

use standin::Kv;
use store::Store;

use crate::support::{TestNode, accept, serving, set_down, wait};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn remaining_relay_finds_a_successor_for_one_that_stops_or_dies() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for i in 0..6 {
        nodes.push(TestNode::spawn_with(&kv, &format!("a-{i}"), "a", &[], 2).await);
        let last = nodes.len() - 1;
        wait("the node has a place", || nodes[last].node.is_rooted()).await;
    }
    assert_eq!(relays(&nodes), 2);
    // A planned stop: nobody loses a relay in between who could not follow the other one.
    let stopped = nodes.remove(0);
    stopped.node.stop().await;
    wait("a successor of the stopped relay", || relays(&nodes) == 2).await;
    // A crash: the place is vacant once the lease has lapsed.
    let place = nodes.iter().position(|node| node.node.is_relay());
    nodes.remove(place.expect("a relay")).kill().await;
    wait("a successor of the dead relay", || relays(&nodes) == 2).await;
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
}

fn relays(nodes: &[TestNode]) -> usize {
    nodes.iter().filter(|node| node.node.is_relay()).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relays_find_new_failure_domains_without_polling_the_store() {
    let kv = Kv::open();
    let one = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait("the duty is taken", || one.node.is_relay()).await;
    let two = TestNode::spawn(&kv, "b-0", "b", &[]).await;
    wait("memberships meet", || {
        one.live() == ["a-0", "b-0"] && two.live() == ["a-0", "b-0"]
    })
    .await;
    let lists = kv.counts().lists;
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    assert_eq!(kv.counts().lists, lists);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relay_whose_lease_lapsed_and_crossed_versions_move_nobody_back() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "a-2"] {
        nodes.push(TestNode::spawn(&kv, vm, "a", &[]).await);
    }
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    // The key is taken away behind the holder's back, as if it had slept through its lease.
    kv.delete("relay/a/0", store::Expect::Any)
        .await
        .expect("deleted");
    kv.put(
        "relay/a/0",
        b"127.0.0.1:1".to_vec(),
        store::Expect::Any,
        None,
    )
    .await
    .expect("written");
    accept(&kv, 2).await;
    serving(&nodes, 2).await;
    // A daemon that missed it all is brought up by its peers, never the other way round.
    let late = TestNode::spawn(&kv, "a-3", "a", &[nodes[0].address]).await;
    wait("the late daemon serves", || late.version() == 2).await;
    assert!(nodes.iter().all(|node| node.version() == 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn fleet_keeps_its_versions_and_converges_again_after_an_outage() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "b-0", "b-1"] {
        nodes.push(TestNode::spawn(&kv, vm, &vm[..1], &[]).await);
    }
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    set_down(&kv, true);
    // Longer than the leases live.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    assert!(nodes.iter().all(|node| node.version() == 1));
    set_down(&kv, false);
    accept(&kv, 2).await;
    serving(&nodes, 2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn guest_below_another_failure_domain_takes_the_vacant_duty_of_its_own() {
    let kv = Kv::open();
    let host = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait("the duty is taken", || host.node.is_relay()).await;
    let guest = TestNode::spawn(&kv, "b-0", "b", &[host.address]).await;
    wait("the guest has a place", || guest.node.is_rooted()).await;
    assert!(!guest.node.is_relay());
    wait("the guest takes the duty", || guest.node.is_relay()).await;
}
