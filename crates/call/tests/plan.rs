//! Tests of the selection of upstreams for the attempts of one call.

use std::time::Duration;

use call::choose::{Candidate, Distance};
use call::health::Availability;
use call::selection::{Next, Selection};
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
        distance: Distance::Domain,
        load: 0.0,
        weight: 1.0,
        relative_latency: 1.0,
        availability: Availability::Available,
        attempted: false,
    }
}

/// Simulates a call whose gates are all full and expect waits of `waits` milliseconds. Returns the
/// attempts, each with whether it may queue.
fn simulate(waits: &[u64]) -> Vec<(usize, bool)> {
    let vms = vms(waits.len());
    let refs: Vec<&VmId> = vms.iter().collect();
    let candidates = vec![candidate(); waits.len()];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut selection = Selection::default();
    let mut attempts = Vec::new();
    while let Next::Attempt { index, wait } = selection.next(&refs, &candidates, &mut rng) {
        attempts.push((index, wait));
        selection.record_attempt(wait);
        selection.record_full(vms[index].clone(), Duration::from_millis(waits[index]));
    }
    attempts
}

#[test]
fn full_gates_are_queried_once_before_the_call_queues_at_the_shortest() {
    let attempts = simulate(&[300, 20, 200]);
    assert_eq!(attempts.len(), 4, "{attempts:?}");
    assert!(attempts[..3].iter().all(|(_, wait)| !wait), "{attempts:?}");
    assert_eq!(attempts[3], (1, true));
}

#[test]
fn number_of_queried_gates_is_bounded() {
    let waits: Vec<u64> = (1..=44).collect();
    let attempts = simulate(&waits);
    assert_eq!(attempts.len(), 5, "{attempts:?}");
    let shortest = attempts[..4].iter().map(|(index, _)| waits[*index]).min();
    assert_eq!(Some(waits[attempts[4].0]), shortest);
}

#[test]
fn call_queues_directly_at_the_only_gate() {
    assert_eq!(simulate(&[50]), [(0, true)]);
}

#[test]
fn excluded_upstreams_are_not_attempted_again() {
    let vms = vms(2);
    let refs: Vec<&VmId> = vms.iter().collect();
    let candidates = vec![candidate(); 2];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut selection = Selection::default();
    selection.exclude(vms[0].clone());
    let next = selection.next(&refs, &candidates, &mut rng);
    assert_eq!(
        next,
        Next::Attempt {
            index: 1,
            wait: true
        }
    );
    selection.exclude(vms[1].clone());
    assert_eq!(selection.next(&refs, &candidates, &mut rng), Next::Stop);
}
