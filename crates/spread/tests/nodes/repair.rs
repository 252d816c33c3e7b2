//! Comparison with peers carries what the links cannot.

use std::time::Duration;

use member::{LinkId, UpstreamState};
use standin::Kv;
use tokio::time::sleep;

use crate::support::{TestNode, accept, accept_large, serving, set_down, wait};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn orphans_exchange_membership_while_store_and_relay_are_out() {
    let kv = Kv::open();
    let relay = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    wait("the duty is taken", || relay.node.is_relay()).await;
    let mut nodes = Vec::new();
    for i in 1..6 {
        nodes.push(TestNode::spawn(&kv, &format!("a-{i}"), "a", &[]).await);
    }
    wait("everybody knows everybody", || {
        nodes.iter().all(|node| node.live().len() == 6)
    })
    .await;
    set_down(&kv, true);
    relay.kill().await;
    wait("the daemons are orphans", || {
        nodes.iter().all(|node| !node.node.is_rooted())
    })
    .await;
    nodes[0]
        .table
        .announce(|record| record.state = UpstreamState::Draining);
    let vm = "a-1".parse().expect("a valid id");
    wait("every orphan hears of it", || {
        nodes.iter().all(|node| {
            let record = node.table.members().get(&vm);
            record.is_some_and(|record| record.state == UpstreamState::Draining)
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn expiry_of_a_living_daemon_is_answered_by_it() {
    let kv = Kv::open();
    let nodes = [
        TestNode::spawn(&kv, "a-0", "a", &[]).await,
        TestNode::spawn(&kv, "a-1", "a", &[]).await,
        TestNode::spawn(&kv, "b-0", "b", &[]).await,
    ];
    wait("everybody knows everybody", || {
        nodes.iter().all(|node| node.live().len() == 3)
    })
    .await;
    let before = nodes[1].table.members().own().counter;
    nodes[2].table.expire(&"a-1".parse().expect("a valid id"));
    wait("the expired daemon answers", || {
        nodes[1].table.members().own().counter > before
    })
    .await;
    wait("everybody knows everybody again", || {
        nodes.iter().all(|node| node.live().len() == 3)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_daemon_and_one_known_through_it_expire() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for i in 0..12 {
        nodes.push(TestNode::spawn(&kv, &format!("a-{i}"), "a", &[]).await);
    }
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    wait("everybody knows everybody", || {
        nodes.iter().all(|node| node.live().len() == 12)
    })
    .await;
    nodes.pop().expect("a node").kill().await;
    wait("the killed daemon expires", || {
        nodes.iter().all(|node| node.live().len() == 11)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn equal_peers_exchange_next_to_nothing() {
    let kv = Kv::open();
    let nodes = [
        TestNode::spawn(&kv, "a-0", "a", &[]).await,
        TestNode::spawn(&kv, "b-0", "b", &[]).await,
    ];
    wait("everybody knows everybody", || {
        nodes.iter().all(|node| node.live().len() == 2)
    })
    .await;
    let crowd = crowd(2_000, &nodes);
    for node in &nodes {
        node.table.merge(crowd.clone(), LinkId(77));
    }
    wait("both know the crowd", || {
        let root = |node: &TestNode| node.table.members().buckets().root();
        root(&nodes[0]) == root(&nodes[1])
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let before = received(&nodes[0]);
    sleep(Duration::from_secs(3)).await;
    let rate = (received(&nodes[0]) - before) / 3;
    // 2,000 whole records every 0.3 s would be hundreds of kilobytes.
    assert!(rate < 10_000, "{rate} bytes a second");
}

/// Returns records of `count` more daemons, all of which answer at the addresses of `nodes`.
fn crowd(count: usize, nodes: &[TestNode]) -> Vec<member::Record> {
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

/// Returns the bytes that a node received from others.
fn received(node: &TestNode) -> u64 {
    let name = "sardinestall_fleet_received_bytes_total";
    let families = node.registry.gather();
    let family = families.iter().find(|family| family.name() == name);
    let metric = family.and_then(|family| family.get_metric().first().cloned());
    metric.map_or(0, |metric| metric.get_counter().get_value() as u64)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn joining_daemon_gets_a_large_version_compressed() {
    let kv = Kv::open();
    let relay = TestNode::spawn(&kv, "a-0", "a", &[]).await;
    let size = accept_large(&kv).await;
    wait("the relay serves", || relay.version() == 1).await;
    let late = TestNode::spawn(&kv, "a-1", "a", &[]).await;
    wait("the late daemon serves", || late.version() == 1).await;
    let got = received(&late) as usize;
    assert!(got * 4 < size, "{got} bytes for a change of {size}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemons_of_a_lost_failure_domain_expire_and_come_back_with_it() {
    let kv = Kv::open();
    let mut nodes = Vec::new();
    for vm in ["a-0", "a-1", "a-2", "b-0", "b-1"] {
        nodes.push(TestNode::spawn(&kv, vm, &vm[..1], &[]).await);
    }
    wait("everybody knows everybody", || {
        nodes.iter().all(|node| node.live().len() == 5)
    })
    .await;
    for node in nodes.split_off(3) {
        node.kill().await;
    }
    wait("the lost daemons expire", || {
        nodes
            .iter()
            .all(|node| node.live() == ["a-0", "a-1", "a-2"])
    })
    .await;
    let back = TestNode::spawn(&kv, "b-0", "b", &[]).await;
    wait("the daemon that came back is known", || {
        nodes.iter().all(|node| node.live().len() == 4) && back.live().len() == 4
    })
    .await;
}
