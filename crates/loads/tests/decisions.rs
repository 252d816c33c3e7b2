//! Compares each scheduling policy on and off, on the load pattern it is designed for, over seeded runs.
//!
//! Guards against a change that makes a policy ineffective or harmful under its load pattern.

use loads::{Load, Policy, Summary, simulate};

const SEEDS: u64 = 10;

/// Simulates `load` under `policy` with every seed.
fn runs(load: &Load, policy: Policy) -> Vec<Summary> {
    (0..SEEDS)
        .map(|seed| simulate(load, policy, seed))
        .collect()
}

fn mean(runs: &[Summary], of: impl Fn(&Summary) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

/// Returns the mean worth of `load` with every policy on, and with those off that `change` turns off.
fn compare(load: &Load, change: impl Fn(&mut Policy)) -> (f64, f64) {
    let mut without = Policy::ALL;
    change(&mut without);
    let worth = |policy| mean(&runs(load, policy), |run| run.worth);
    (worth(Policy::ALL), worth(without))
}

#[test]
fn every_call_is_accounted_for() {
    for load in Load::all() {
        for policy in [Policy::ALL, Policy::NONE] {
            for run in runs(&load, policy) {
                for kind in run.kinds {
                    assert_eq!(kind.asked, kind.in_aim + kind.late + kind.unserved);
                }
            }
        }
    }
}

#[test]
fn bounded_queueing_serves_more_in_time_under_overload() {
    for load in [Load::overload(), Load::burst()] {
        let (with, without) = compare(&load, |policy| policy.bounded = false);
        assert!(
            with > without,
            "{}: worth {with} with the policy, {without} without it",
            load.name
        );
    }
}

#[test]
fn querying_several_gates_serves_more_than_queueing_at_one() {
    let (with, without) = compare(&Load::burst(), |policy| policy.asks = false);
    assert!(
        with > without,
        "worth {with} with the policy, {without} without it"
    );
}

#[test]
fn balancing_by_relative_latency_lowers_the_mean_beside_a_slow_upstream() {
    let load = Load::slow();
    let time = |policy| mean(&runs(&load, policy), |run| run.mean);
    let without = Policy {
        paced: false,
        ..Policy::ALL
    };
    assert!(time(Policy::ALL) < time(without));
}

#[test]
fn no_kind_is_starved_under_mixed_load() {
    let load = Load::mixed();
    let ratio = |policy| {
        mean(&runs(&load, policy), |run| {
            run.kinds[1].served() / run.kinds[0].served()
        })
    };
    let without = Policy {
        fair: false,
        ..Policy::ALL
    };
    assert!(
        ratio(Policy::ALL) > 0.25,
        "long calls served {} times as often as short ones",
        ratio(Policy::ALL)
    );
    assert!(ratio(Policy::ALL) > ratio(without));
}
