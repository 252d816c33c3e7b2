//! Runs randomised fault schedules from seeds and reports the rule violations.

use std::process::ExitCode;

use clap::Parser;
use proof::{CallResult, ChaosReport, run_chaos};
use tokio::task::{JoinSet, LocalSet};

/// Runs randomised fault schedules from seeds and reports the rule violations.
#[derive(Debug, Parser)]
struct Cli {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, with consecutive seeds.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Number of concurrent runs; each has 11 processes.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Prints the schedule of each run, and the daemon logs of runs with violations.
    #[arg(long)]
    logs: bool,
}

/// Totals over all runs.
#[derive(Debug, Default)]
struct Sums {
    runs: u64,
    failed: u64,
    faults: usize,
    calls: usize,
    answered: usize,
    accepts: usize,
    versions: usize,
    violations: usize,
}

impl Sums {
    fn add(&mut self, report: &ChaosReport) {
        let history = &report.history;
        let answered = history
            .calls
            .iter()
            .filter(|call| matches!(call.result, CallResult::Answered(_)));
        self.runs += 1;
        self.faults += report.faults;
        self.calls += history.calls.len();
        self.answered += answered.count();
        self.accepts += history.accepts.len();
        self.versions += history.chain.len();
        self.violations += report.violations.len();
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    LocalSet::new().run_until(run(Cli::parse())).await
}

/// Runs all seeds on one thread, which suffices because the processes of the runs do the work.
async fn run(cli: Cli) -> ExitCode {
    let mut sums = Sums::default();
    let mut running = JoinSet::new();
    let mut seeds = cli.seed..cli.seed + cli.runs;
    loop {
        while running.len() < cli.jobs.max(1)
            && let Some(seed) = seeds.next()
        {
            running.spawn_local(async move { (seed, run_chaos(seed).await) });
        }
        let Some(joined) = running.join_next().await else {
            break;
        };
        match joined {
            Ok((seed, Ok(report))) => {
                print(seed, &report, cli.logs);
                sums.add(&report);
            }
            Ok((seed, Err(error))) => {
                println!("seed {seed}: not run to the end: {error}");
                sums.failed += 1;
            }
            Err(error) => {
                println!("a run panicked: {error}");
                sums.failed += 1;
            }
        }
    }
    println!("{sums:?}");
    ExitCode::from(u8::from(sums.violations > 0 || sums.failed > 0))
}

fn print(seed: u64, report: &ChaosReport, logs: bool) {
    println!(
        "seed {seed}: {} faults, {} calls, {} accepts, {} versions, {} violations",
        report.faults,
        report.history.calls.len(),
        report.history.accepts.len(),
        report.history.chain.len(),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  {violation}");
    }
    if logs {
        println!("{}", report.schedule);
    }
    for log in report.logs.iter().filter(|_| logs) {
        println!("{log}");
    }
}
