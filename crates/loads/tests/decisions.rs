//! Compares each scheduling policy on and off, on the load pattern it is designed for, over seeded runs.
//!
//! Guards against a change that makes a policy ineffective or harmful under its load pattern.

use loads::{Load, Policy, Tally, play};

const SEEDS: u64 = 10;

/// Simulates `load` under `policy` with every seed.
fn days(load: &Load, policy: Policy) -> Vec<Tally> {
    (0..SEEDS).map(|seed| play(load, policy, seed)).collect()
}

fn mean(days: &[Tally], of: impl Fn(&Tally) -> f64) -> f64 {
    days.iter().map(of).sum::<f64>() / days.len() as f64
}

/// Returns the mean worth of `load` with every policy on, and with those off that `change` turns off.
fn compare(load: &Load, change: impl Fn(&mut Policy)) -> (f64, f64) {
    let mut without = Policy::ALL;
    change(&mut without);
    let worth = |policy| mean(&days(load, policy), |day| day.worth);
    (worth(Policy::ALL), worth(without))
}

#[test]
fn every_call_is_accounted_for() {
    for load in Load::all() {
        for policy in [Policy::ALL, Policy::NONE] {
            for day in days(&load, policy) {
                for kind in day.kinds {
                    assert_eq!(kind.asked, kind.in_aim + kind.late + kind.unserved);
                }
            }
        }
    }
}

#[test]
fn waits_bounded_by_the_objective_serve_more_in_time_under_overload() {
    for load in [Load::overload(), Load::burst()] {
        let (with, without) = compare(&load, |policy| policy.bounded = false);
        assert!(
            with > without,
            "{}: {with} with, {without} without",
            load.name
        );
    }
}

#[test]
fn gates_asked_for_a_free_slot_serve_more_than_one_wait() {
    let (with, without) = compare(&Load::burst(), |policy| policy.asks = false);
    assert!(with > without, "{with} with, {without} without");
}

#[test]
fn choice_by_pace_answers_sooner_beside_a_slow_upstream() {
    let load = Load::slow();
    let time = |policy| mean(&days(&load, policy), |day| day.mean);
    let without = Policy {
        paced: false,
        ..Policy::ALL
    };
    assert!(time(Policy::ALL) < time(without));
}

#[test]
fn no_kind_is_served_a_quarter_as_often_as_another() {
    let load = Load::mixed();
    let worst = |policy| {
        mean(&days(&load, policy), |day| {
            day.kinds[1].served() / day.kinds[0].served()
        })
    };
    let without = Policy {
        fair: false,
        ..Policy::ALL
    };
    assert!(worst(Policy::ALL) > 0.25, "{}", worst(Policy::ALL));
    assert!(worst(Policy::ALL) > worst(without));
}
