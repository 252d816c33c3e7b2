//! Seeded loads against the decisions of the call path, on simulated time.

use clap::Args;
use loads::{KindSummary, Load, Policy, simulate};
use serde::Serialize;

use crate::report;

/// Seeded loads.
#[derive(Debug, Args)]
pub(crate) struct LoadsArgs {
    /// Seeded days of each load under each policy.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
}

/// The mean over all seeds of one load under one policy.
#[derive(Debug, Serialize)]
struct Line {
    load: &'static str,
    policy: &'static str,
    seeds: u64,
    /// Worth of the answers, of all that could have been.
    worth: f64,
    /// Mean time of an answer, in milliseconds.
    mean_ms: f64,
    /// Calls of each kind over all seeds.
    kinds: Vec<KindSummary>,
}

/// Returns every policy that is compared.
fn policies() -> [(&'static str, Policy); 6] {
    let all = Policy::ALL;
    [
        ("all", all),
        ("none", Policy::NONE),
        (
            "waits not bounded",
            Policy {
                bounded: false,
                ..all
            },
        ),
        ("one gate asked", Policy { asks: false, ..all }),
        (
            "pace not weighed",
            Policy {
                paced: false,
                ..all
            },
        ),
        ("order by aim alone", Policy { fair: false, ..all }),
    ]
}

/// Plays every load under every policy and prints a line for each.
pub(crate) fn run(args: &LoadsArgs) {
    for load in Load::all() {
        for (name, policy) in policies() {
            report::print(&measure(&load, name, policy, args.seeds));
        }
    }
}

fn measure(load: &Load, name: &'static str, policy: Policy, seeds: u64) -> Line {
    let mut line = Line {
        load: load.name,
        policy: name,
        seeds,
        worth: 0.0,
        mean_ms: 0.0,
        kinds: vec![KindSummary::default(); load.kinds.len()],
    };
    for seed in 0..seeds {
        let day = simulate(load, policy, seed);
        line.worth += day.worth / seeds as f64;
        line.mean_ms += day.mean / seeds as f64;
        for (sum, kind) in line.kinds.iter_mut().zip(day.kinds) {
            sum.asked += kind.asked;
            sum.in_aim += kind.in_aim;
            sum.late += kind.late;
            sum.unserved += kind.unserved;
        }
    }
    line
}
