//! Anti-entropy between random peers, and expiry of lost daemons.

use std::time::Duration;

use member::{LinkId, UpstreamState};
use standin::Kv;
use tokio::time::sleep;

use crate::support::{
    TestNode, accept, accept_large, set_store_down, wait_for_version, wait_until,
};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_exchange_membership_without_store_and_relay() {
    let kv = Kv::open();
    let relay = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait_until("the first daemon is a relay", || relay.node.is_relay()).await;
    let mut nodes = Vec::new();
    for i in 1..6 {
        nodes.push(TestNode::spawn(&kv, &format!("a-{i}"), "a", &[]).await);
    }
    wait_until("the membership has converged", || {
        nodes.iter().all(|node| node.live().len() == 6)
    })
    .await;
    set_store_down(&kv, true);
    relay.kill().await;
    wait_until("the daemons are disconnected from the relay", || {
        nodes.iter().all(|node| !node.node.is_connected())
    })
    .await;
    nodes[0]
        .table
        .announce(|record| record.state = UpstreamState::Draining);
    let vm = "a-1".parse().expect("a valid id");
    wait_until("every daemon receives the update", || {
        nodes.iter().all(|node| {
            let record = node.table.members().get(&vm);
            record.is_some_and(|record| record.state == UpstreamState::Draining)
        })
    })
    .await;
}

/// Guards against the permanent loss of a live daemon that was expired by mistake.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn live_daemon_refutes_its_expiry() {
    let kv = Kv::open();
    let nodes = [
        TestNode::spawn(&kv, "a-0", "a", &[]).await,
        TestNode::spawn(&kv, "a-1", "a", &[]).await,
        TestNode::spawn(&kv, "b-0", "b", &[]).await,
    ];
    wait_until("the membership has converged", || {
        nodes.iter().all(|node| node.live().len() == 3)
    })
    .await;
    let before = nodes[1].table.members().own().counter;
    nodes[2].table.expire(&"a-1".parse().expect("a valid id"));
    wait_until("the expired daemon announces a newer record", || {
        nodes[1].table.members().own().counter > before
    })
    .await;
    wait_until("the membership has converged again", || {
        nodes.iter().all(|node| node.live().len() == 3)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_daemon_expires() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for i in 0..12 {
        nodes.push(TestNode::spawn(&kv, &format!("a-{i}"), "a", &[]).await);
    }
    accept(&kv, 1).await;
    wait_for_version(&nodes, 1).await;
    wait_until("the membership has converged", || {
        nodes.iter().all(|node| node.live().len() == 12)
    })
    .await;
    nodes.pop().expect("a node").kill().await;
    wait_until("the killed daemon expires", || {
        nodes.iter().all(|node| node.live().len() == 11)
    })
    .await;
}

/// Guards against comparisons that send full records although the digests are equal.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn peers_with_equal_membership_exchange_little_data() {
    let kv = Kv::open();
    let nodes = [
        TestNode::spawn(&kv, "a-0", "a", &[]).await,
        TestNode::spawn(&kv, "b-0", "b", &[]).await,
    ];
    wait_until("the membership has converged", || {
        nodes.iter().all(|node| node.live().len() == 2)
    })
    .await;
    let records = records(2_000, &nodes);
    for node in &nodes {
        node.table.merge(records.clone(), LinkId(77));
    }
    wait_until("the added records are merged", || {
        let root = |node: &TestNode| node.table.members().buckets().root();
        root(&nodes[0]) == root(&nodes[1])
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let before = received_bytes(&nodes[0]);
    sleep(Duration::from_secs(3)).await;
    let rate = (received_bytes(&nodes[0]) - before) / 3;
    // Exchanging 2,000 full records every 0.3 s would take hundreds of kilobytes.
    assert!(rate < 10_000, "{rate} bytes per second received");
}

/// Returns records of `count` further daemons that are reachable at the addresses of `nodes`.
fn records(count: usize, nodes: &[TestNode]) -> Vec<member::Record> {
    let own = nodes[0].table.members().own();
    let records = (0..count).map(|i| {
        let mut record = own.clone();
        record.vm = format!("z-{:08x}", (i as u32).wrapping_mul(2_654_435_761))
            .parse()
            .expect("a valid id");
        record.fleet = nodes[i % nodes.len()].address;
        record
    });
    records.collect()
}

/// Returns the number of bytes that a node received from other daemons.
fn received_bytes(node: &TestNode) -> u64 {
    let name = "sardinestall_fleet_received_bytes_total";
    let families = node.registry.gather();
    let family = families.iter().find(|family| family.name() == name);
    let metric = family.and_then(|family| family.get_metric().first().cloned());
    metric.map_or(0, |metric| metric.get_counter().get_value() as u64)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn joining_daemon_receives_large_version_compressed() {
    let kv = Kv::open();
    let relay = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    let size = accept_large(&kv).await;
    wait_until("the relay serves version 1", || relay.version() == 1).await;
    let late = TestNode::spawn(&kv, "a-1", "a", &[]).await;
    wait_until("the late daemon serves version 1", || late.version() == 1).await;
    let received = received_bytes(&late) as usize;
    assert!(
        received * 4 < size,
        "{received} bytes received for a configuration of {size} bytes"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_of_lost_failure_domain_expire_and_rejoin() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "a-2", "b-0", "b-1"] {
        nodes.push(TestNode::spawn(&kv, vm, &vm[..1], &[]).await);
    }
    wait_until("the membership has converged", || {
        nodes.iter().all(|node| node.live().len() == 5)
    })
    .await;
    for node in nodes.split_off(3) {
        node.kill().await;
    }
    wait_until("the lost daemons expire", || {
        nodes
            .iter()
            .all(|node| node.live() == ["a-0", "a-1", "a-2"])
    })
    .await;
    let rejoined = TestNode::spawn(&kv, "b-0", "b", &[]).await;
    wait_until("the rejoined daemon is known", || {
        nodes.iter().all(|node| node.live().len() == 4) && rejoined.live().len() == 4
    })
    .await;
}
