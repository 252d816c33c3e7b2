//! Tests of the selection of upstreams for the attempts of one call.

use std::time::Duration;

use call::choose::{Candidate, Nearness};
use call::health::Standing;
use call::plan::{Next, Plan};
use model::VmId;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn vms(count: usize) -> Vec<VmId> {
    (0..count)
        .map(|i| format!("vm-{i}").parse().expect("a valid id"))
        .collect()
}

fn candidate() -> Candidate {
    Candidate {
        nearness: Nearness::Domain,
        load: 0.0,
        weight: 1.0,
        pace: 1.0,
        standing: Standing::Open,
        tried: false,
    }
}

/// Simulates a call whose gates are all full and expect waits of `waits` milliseconds. Returns the
/// attempts, each with whether it may queue.
fn play(waits: &[u64]) -> Vec<(usize, bool)> {
    let vms = vms(waits.len());
    let refs: Vec<&VmId> = vms.iter().collect();
    let candidates = vec![candidate(); waits.len()];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut plan = Plan::default();
    let mut tries = Vec::new();
    while let Next::Try { index, wait } = plan.next(&refs, &candidates, &mut rng) {
        tries.push((index, wait));
        plan.tried(wait);
        plan.found_full(vms[index].clone(), Duration::from_millis(waits[index]));
    }
    tries
}

#[test]
fn call_asks_full_gates_once_and_waits_at_the_shortest_queue() {
    let tries = play(&[300, 20, 200]);
    assert_eq!(tries.len(), 4, "{tries:?}");
    assert!(tries[..3].iter().all(|(_, wait)| !wait), "{tries:?}");
    assert_eq!(tries[3], (1, true));
}

#[test]
fn call_asks_a_few_gates_of_a_large_pool() {
    let waits: Vec<u64> = (1..=44).collect();
    let tries = play(&waits);
    assert_eq!(tries.len(), 5, "{tries:?}");
    let asked = tries[..4].iter().map(|(index, _)| waits[*index]).min();
    assert_eq!(Some(waits[tries[4].0]), asked);
}

#[test]
fn call_waits_at_once_where_there_is_no_other() {
    assert_eq!(play(&[50]), [(0, true)]);
}

#[test]
fn spent_upstreams_are_not_tried_again() {
    let vms = vms(2);
    let refs: Vec<&VmId> = vms.iter().collect();
    let candidates = vec![candidate(); 2];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut plan = Plan::default();
    plan.spend(vms[0].clone());
    let next = plan.next(&refs, &candidates, &mut rng);
    assert_eq!(
        next,
        Next::Try {
            index: 1,
            wait: true
        }
    );
    plan.spend(vms[1].clone());
    assert_eq!(plan.next(&refs, &candidates, &mut rng), Next::Stop);
}
