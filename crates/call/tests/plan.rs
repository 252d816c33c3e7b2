//! Tests of the selection of upstreams for the attempts of one call.

use std::time::Duration;

use call::choose::{Candidate, Distance};
use call::health::Availability;
use call::selection::{Next, Selection, Wait};
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
        wait: Duration::ZERO,
    }
}

/// Simulates a call whose gates are all full and expect waits of `waits` milliseconds. Returns the
/// attempts, each with how long it may queue.
fn simulate(waits: &[u64]) -> Vec<(usize, Wait)> {
    simulate_at(&vec![candidate(); waits.len()], waits)
}

/// Does the same as [`simulate`] with these candidates.
fn simulate_at(candidates: &[Candidate], waits: &[u64]) -> Vec<(usize, Wait)> {
    let vms = vms(waits.len());
    let refs: Vec<&VmId> = vms.iter().collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut selection = Selection::default();
    let mut attempts = Vec::new();
    while let Next::Attempt { index, wait } = selection.next(&refs, candidates, &mut rng) {
        attempts.push((index, wait));
        selection.record_attempt(wait);
        selection.record_full(
            vms[index].clone(),
            wait,
            Duration::from_millis(waits[index]),
        );
    }
    attempts
}

#[test]
fn full_gates_are_queried_once_before_the_call_queues_at_the_shortest() {
    let attempts = simulate(&[300, 20, 200]);
    assert_eq!(attempts.len(), 5, "{attempts:?}");
    let queried = &attempts[..3];
    assert!(
        queried.iter().all(|(_, wait)| *wait == Wait::Briefly),
        "{attempts:?}"
    );
    assert_eq!(attempts[3..], [(1, Wait::Fully), (2, Wait::Fully)]);
}

#[test]
fn number_of_queried_gates_is_bounded() {
    let waits: Vec<u64> = (1..=44).collect();
    let attempts = simulate(&waits);
    assert_eq!(attempts.len(), 6, "{attempts:?}");
    let shortest = attempts[..4].iter().map(|(index, _)| waits[*index]).min();
    assert_eq!(Some(waits[attempts[4].0]), shortest);
}

#[test]
fn call_queues_directly_at_the_only_gate() {
    assert_eq!(simulate(&[50]), [(0, Wait::Fully)]);
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
            wait: Wait::Fully
        }
    );
    selection.exclude(vms[1].clone());
    assert_eq!(selection.next(&refs, &candidates, &mut rng), Next::Stop);
}

/// Returns a near candidate and `far` ones in another failure domain.
fn spread_out(far: usize) -> Vec<Candidate> {
    let elsewhere = Candidate {
        distance: Distance::Region,
        ..candidate()
    };
    let mut candidates = vec![elsewhere; far + 1];
    candidates[0] = candidate();
    candidates
}

/// Under an overload every gate is full, and each call used to query four of them before it queued.
#[test]
fn gates_that_are_known_to_be_full_are_not_queried() {
    let vms = vms(4);
    let refs: Vec<&VmId> = vms.iter().collect();
    let mut candidates = spread_out(3);
    for candidate in &mut candidates {
        candidate.wait = Duration::from_millis(60);
    }
    candidates[2].wait = Duration::from_millis(20);
    let mut rng = SmallRng::seed_from_u64(7);
    let next = Selection::default().next(&refs, &candidates, &mut rng);
    let queue_at = |index| Next::Attempt {
        index,
        wait: Wait::Fully,
    };
    assert_eq!(next, queue_at(2));
    // A gate that is only little worse, in the call's failure domain, goes first.
    candidates[0].wait = Duration::from_millis(30);
    let next = Selection::default().next(&refs, &candidates, &mut rng);
    assert_eq!(next, queue_at(0));
}

/// Bytes between failure domains are dear, so a call joins a short queue nearby before it asks elsewhere.
#[test]
fn call_may_queue_briefly_nearby_and_not_at_all_elsewhere() {
    let attempts = simulate_at(&spread_out(1), &[40, 40]);
    assert_eq!(attempts[..2], [(0, Wait::Briefly), (1, Wait::Never)]);
    assert_eq!(attempts[2], (0, Wait::Fully));
}

/// A large response costs far more between failure domains than a call that waits nearby.
#[test]
fn large_response_stays_near_in_spite_of_a_longer_queue() {
    let vms = vms(2);
    let refs: Vec<&VmId> = vms.iter().collect();
    let mut candidates = spread_out(1);
    candidates[0].wait = Duration::from_millis(120);
    candidates[1].wait = Duration::from_millis(20);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut target = |large: bool| match Selection::new(large).next(&refs, &candidates, &mut rng) {
        Next::Attempt { index, .. } => index,
        Next::Stop => panic!("an upstream is left"),
    };
    assert_eq!(target(false), 1);
    assert_eq!(target(true), 0);
}

/// While every other gate was full, each call was sent to the gates of upstreams that leave.
#[test]
fn leaving_upstream_is_not_tried_in_place_of_full_ones() {
    let vms = vms(3);
    let refs: Vec<&VmId> = vms.iter().collect();
    let mut candidates = vec![candidate(); 3];
    candidates[0].availability = Availability::Ejected;
    candidates[1].wait = Duration::from_millis(80);
    candidates[2].wait = Duration::from_millis(60);
    let mut rng = SmallRng::seed_from_u64(7);
    let next = Selection::default().next(&refs, &candidates, &mut rng);
    assert_eq!(
        next,
        Next::Attempt {
            index: 2,
            wait: Wait::Fully
        }
    );
    let alone = Selection::default().next(&refs[..1], &candidates[..1], &mut rng);
    assert!(matches!(alone, Next::Attempt { index: 0, .. }));
}
