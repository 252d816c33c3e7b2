//! Accepts per second on one head, and the latency after a lost store response.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use hdrhistogram::Histogram;
use ledger::{Ledger, Request};
use model::Millis;
use serde::Serialize;
use standin::{Counts, Faults};
use store::GrpcStore;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::design::config;
use crate::report::{self, DurationSummary};

/// Number of teams at the design size.
const TEAMS: usize = 64;

/// Number of serial accepts that are timed, once with and once without lost store responses.
const SERIAL_ACCEPTS: u64 = 20;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of concurrent operators, each of which accepts one change after the other.
    #[arg(long, default_value_t = 8)]
    operators: usize,
    /// Number of daemons that the operators accept through, each a ledger in this process.
    #[arg(long, default_value_t = 4)]
    daemons: usize,
    /// Makes all operators change the configuration of the same team.
    #[arg(long)]
    same_team: bool,
    /// Duration of the run, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Response delay of the key-value service, in milliseconds.
    #[arg(long, default_value_t = 2)]
    delay: u64,
    /// Limit of the key-value service, in writes per second; 0 means no limit.
    #[arg(long, default_value_t = 500)]
    writes: u32,
    /// Limit of the key-value service, in reads per second; 0 means no limit.
    #[arg(long, default_value_t = 2000)]
    reads: u32,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    operators: usize,
    daemons: usize,
    same_team: bool,
    store_delay_ms: u64,
    store_writes: u32,
    store_reads: u32,
    accepts: u64,
    accepts_per_s: f64,
    /// Refusals per accept because the same items had changed.
    conflicts_per_accept: f64,
    failed: u64,
    reads_per_accept: f64,
    writes_per_accept: f64,
    limited_per_accept: f64,
    accept_us: DurationSummary,
    alone_us: DurationSummary,
    lost_answer_us: DurationSummary,
}

/// Accepts of all operators, by result.
#[derive(Debug, Default)]
struct Tally {
    accepts: AtomicU64,
    conflicts: AtomicU64,
    failed: AtomicU64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = Fleet::open(&["bench"]).await?;
    let ledgers: Vec<Arc<Ledger>> = (0..args.daemons.max(1))
        .map(|_| Arc::new(Ledger::open(Arc::new(GrpcStore::open(fleet.kv.address)))))
        .collect();
    for team in 0..TEAMS {
        accept(&ledgers[0], team, 0, &format!("first-{team}")).await?;
    }
    let faults = Faults {
        delay: Millis::new(args.delay),
        writes: args.writes,
        reads: args.reads,
        ..Faults::default()
    };
    set_faults(&fleet, &faults).await?;
    let before = counts(&fleet).await?;
    let (tally, latency) = run_operators(&args, &ledgers).await;
    let after = counts(&fleet).await?;
    let alone_us = accept_serially(&fleet, &ledgers[0], &faults, false).await?;
    let lost_answer_us = accept_serially(&fleet, &ledgers[0], &faults, true).await?;
    let accepts = tally.accepts.into_inner();
    let per_accept = |count: u64| count as f64 / accepts.max(1) as f64;
    report::print(&Report {
        bench: "accepts",
        operators: args.operators,
        daemons: args.daemons,
        same_team: args.same_team,
        store_delay_ms: args.delay,
        store_writes: args.writes,
        store_reads: args.reads,
        accepts,
        accepts_per_s: accepts as f64 / args.seconds as f64,
        conflicts_per_accept: per_accept(tally.conflicts.into_inner()),
        failed: tally.failed.into_inner(),
        reads_per_accept: per_accept(after.gets + after.lists - before.gets - before.lists),
        writes_per_accept: per_accept(after.puts - before.puts),
        limited_per_accept: per_accept(after.limited - before.limited),
        accept_us: DurationSummary::from(&latency),
        alone_us,
        lost_answer_us,
    });
    Ok(())
}

/// Runs all operators concurrently until the time is up; returns the counts and the latency of the
/// successful accepts.
async fn run_operators(args: &Args, ledgers: &[Arc<Ledger>]) -> (Tally, Histogram<u64>) {
    let tally = Arc::new(Tally::default());
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let mut operators = JoinSet::new();
    for operator in 0..args.operators {
        let ledger = Arc::clone(&ledgers[operator % ledgers.len()]);
        let team = if args.same_team { 0 } else { operator % TEAMS };
        operators.spawn(run_operator(
            ledger,
            operator,
            team,
            end,
            Arc::clone(&tally),
        ));
    }
    let mut latency = report::duration_histogram();
    while let Some(operator) = operators.join_next().await {
        if let Ok(histogram) = operator {
            // Cannot fail: both histograms have the same bounds.
            let _ = latency.add(histogram);
        }
    }
    let tally = Arc::into_inner(tally).unwrap_or_default();
    (tally, latency)
}

/// Accepts one change after the other until `end`; a new change follows a refused one.
async fn run_operator(
    ledger: Arc<Ledger>,
    operator: usize,
    team: usize,
    end: Instant,
    tally: Arc<Tally>,
) -> Histogram<u64> {
    let mut latency = report::duration_histogram();
    let mut change = 0;
    while Instant::now() < end {
        change += 1;
        let started = Instant::now();
        let id = format!("race-{operator}-{change}");
        let change_number = 1 + change * 100 + operator as u64;
        let (count, accepted) = match ledger.accept(&request(team, change_number, &id)).await {
            Ok(_) => (&tally.accepts, true),
            Err(ledger::Error::Conflict { .. }) => (&tally.conflicts, false),
            Err(_) => (&tally.failed, false),
        };
        count.fetch_add(1, Ordering::Relaxed);
        if accepted {
            latency.saturating_record(started.elapsed().as_micros() as u64);
        }
    }
    latency
}

/// Accepts changes one by one. With `lose_response`, the store loses the response to one write of
/// each accept.
async fn accept_serially(
    fleet: &Fleet,
    ledger: &Ledger,
    faults: &Faults,
    lose_response: bool,
) -> Result<DurationSummary, Error> {
    let mut latency = report::duration_histogram();
    for change in 0..SERIAL_ACCEPTS {
        let faults = Faults {
            lose_answers: u32::from(lose_response),
            ..faults.clone()
        };
        set_faults(fleet, &faults).await?;
        let change_number = 1_000_000 + change + if lose_response { SERIAL_ACCEPTS } else { 0 };
        let started = Instant::now();
        accept(ledger, 0, change_number, &format!("alone-{change_number}")).await?;
        latency.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(DurationSummary::from(&latency))
}

async fn accept(ledger: &Ledger, team: usize, change: u64, id: &str) -> Result<(), Error> {
    let accepted = ledger.accept(&request(team, change, id)).await;
    accepted
        .map(drop)
        .map_err(|error| Error::Call(error.to_string()))
}

fn request(team: usize, change: u64, id: &str) -> Request {
    Request {
        config: config(team, TEAMS, change),
        accept_id: id.parse().expect("a valid id"),
        operator: "bench".parse().expect("a valid name"),
        reason: "benchmark".into(),
    }
}

async fn set_faults(fleet: &Fleet, faults: &Faults) -> Result<(), Error> {
    Ok(fleet.kv.control.set_faults(faults).await?)
}

async fn counts(fleet: &Fleet) -> Result<Counts, Error> {
    Ok(fleet.kv.control.counts().await?)
}
