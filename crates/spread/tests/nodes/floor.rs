//! No restarted daemon serves an older version than before, whatever is out.

use standin::Kv;

use crate::support::{TestNode, accept, hold, serving, set_down, wait};

/// Starts a relay and a daemon below it in each of three failure domains.
async fn open(kv: &Kv) -> Vec<TestNode> {
    let mut nodes = Vec::new();
    for i in 0..2 {
        for domain in ["a", "b", "c"] {
            let vm = format!("{domain}-{i}");
            nodes.push(TestNode::spawn(kv, &vm, domain, &[]).await);
        }
        wait("every node has a place", || {
            nodes.iter().all(|node| node.node.is_rooted())
        })
        .await;
    }
    nodes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemon_comes_back_with_the_newest_version_while_the_store_is_out() {
    let kv = Kv::open();
    let mut nodes = open(&kv).await;
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    accept(&kv, 2).await;
    serving(&nodes, 2).await;
    set_down(&kv, true);
    nodes.remove(3).kill().await;

    let seeds = [nodes[1].address, nodes[2].address];
    let restarted = TestNode::spawn(&kv, "a-1", "a", &seeds).await;
    wait("the restarted daemon is ready", || {
        restarted.node.is_ready()
    })
    .await;
    assert_eq!(restarted.version(), 2);

    set_down(&kv, false);
    accept(&kv, 3).await;
    serving(&nodes, 3).await;
    wait("the restarted daemon follows", || restarted.version() == 3).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_daemon_serves_nothing_from_a_daemon_that_cannot_vouch_for_it() {
    let kv = Kv::open();
    let mut nodes = open(&kv).await;
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    set_down(&kv, true);
    // Two failure domains lose their relays, and with them perhaps the newest version.
    let survivor = nodes.remove(2);
    for node in nodes {
        node.kill().await;
    }
    let restarted = TestNode::spawn(&kv, "c-1", "c", &[survivor.address]).await;
    hold("the restarted daemon serves nothing", || {
        restarted.version() == 0 && !restarted.node.is_ready()
    })
    .await;

    set_down(&kv, false);
    wait("the store vouches for the version", || {
        restarted.node.is_ready() && restarted.version() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn version_waits_until_a_relay_of_another_failure_domain_holds_it() {
    let kv = Kv::open();
    let mut nodes = open(&kv).await;
    accept(&kv, 1).await;
    serving(&nodes, 1).await;
    // The relay of `a` alone still reads the store; the others are as good as frozen.
    for node in nodes.split_off(1) {
        node.kill().await;
    }
    accept(&kv, 2).await;
    hold("the lonely relay keeps the version back", || {
        nodes[0].version() == 1
    })
    .await;
    let lags = nodes[0].node.lags();
    assert_eq!(lags.len(), 1, "{lags:?}");
    assert_eq!(lags[0].vm.as_str(), "a-0");
    assert!(lags[0].reason.contains("failure domain"), "{lags:?}");
    // The leases of the others lapse, so that there is one failure domain left.
    wait("the version is released", || nodes[0].version() == 2).await;
}
