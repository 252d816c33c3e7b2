//! Replays seeded loads against the decisions of the call path, on simulated time.

use clap::Args;
use loads::{KindSummary, Load, Policy, simulate};
use serde::Serialize;

use crate::report;

/// Parameters of the run.
#[derive(Debug, Args)]
pub(crate) struct LoadsArgs {
    /// Number of seeds with which each load is replayed under each policy.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
}

/// Results of one load under one policy, over all seeds.
#[derive(Debug, Serialize)]
struct ReplayReport {
    load: &'static str,
    policy: &'static str,
    seeds: u64,
    /// Value of the responses, as a share of their value if all were in time; mean over all seeds.
    worth: f64,
    /// Mean response time, in milliseconds.
    mean_ms: f64,
    /// Calls of each kind, summed over all seeds.
    kinds: Vec<KindSummary>,
}

/// Returns the policies to compare, with their names in the report.
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

/// Replays every load under every policy and prints a result for each.
pub(crate) fn run(args: &LoadsArgs) {
    for load in Load::all() {
        for (name, policy) in policies() {
            report::print(&measure(&load, name, policy, args.seeds));
        }
    }
}

/// Replays one load under one policy with seeds from 0 to `seeds`, exclusive.
fn measure(load: &Load, name: &'static str, policy: Policy, seeds: u64) -> ReplayReport {
    let mut report = ReplayReport {
        load: load.name,
        policy: name,
        seeds,
        worth: 0.0,
        mean_ms: 0.0,
        kinds: vec![KindSummary::default(); load.kinds.len()],
    };
    for seed in 0..seeds {
        let result = simulate(load, policy, seed);
        report.worth += result.worth / seeds as f64;
        report.mean_ms += result.mean / seeds as f64;
        for (sum, kind) in report.kinds.iter_mut().zip(result.kinds) {
            sum.asked += kind.asked;
            sum.in_aim += kind.in_aim;
            sum.late += kind.late;
            sum.unserved += kind.unserved;
        }
    }
    report
}
