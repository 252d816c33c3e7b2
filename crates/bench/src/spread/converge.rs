//! Time from an accept until every daemon serves the version, and the cost in traffic, store calls
//! and processor time.

use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Counts;
use tokio::time::{Instant, sleep};

use super::baseline;
use super::probe::{self, Traffic};
use super::testbed::Testbed;
use super::workload::Workload;
use crate::report::{self, DurationSummary};

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of daemons.
    #[arg(long, default_value_t = 10)]
    daemons: usize,
    /// Number of changes to accept.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// Number of failure domains that the daemons are spread over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Pause between two changes, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pause_ms: u64,
    /// Duration of the idle measurement before the changes, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// Number of changes in the baseline; 0 skips it.
    #[arg(long, default_value_t = 5)]
    baseline: u64,
    /// Seed of the configuration and its changes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    transport: &'static str,
    seed: u64,
    daemons: usize,
    domains: usize,
    changes: u64,
    config_bytes: usize,
    /// Time from the accept request until the version is in force, for each daemon.
    in_force_us: DurationSummary,
    /// Time from the accept request until the version is in force on the last daemon, for each
    /// change.
    everywhere_us: DurationSummary,
    /// Time from the accept request to its response.
    accept_us: DurationSummary,
    idle_bytes_per_daemon_s: Traffic,
    bytes_per_daemon_per_change: Traffic,
    idle_store_calls: Counts,
    store_calls: Counts,
    idle_cpu_ms_per_daemon_s: f64,
    max_rss_kb: u64,
    baseline: Option<baseline::Report>,
}

/// An accepted change.
struct AcceptedChange {
    version: u64,
    started_us: u64,
    accept_us: u64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let Testbed {
        fleet,
        mut workload,
        ..
    } = Testbed::open(args.daemons, args.domains, args.seed).await?;

    let config_bytes = workload.json()?.len();
    let idle = UsageInterval::start(&fleet).await?;
    sleep(Duration::from_secs(args.idle_s)).await;
    let idle = idle.finish(&fleet).await?;
    let busy = UsageInterval::start(&fleet).await?;
    let changes = accept_changes(&fleet, &args, &mut workload).await?;
    let busy = busy.finish(&fleet).await?;

    let last = changes.last().map_or(0, |change| change.version);
    probe::wait_converged(&fleet, args.daemons, last).await?;
    // The daemons write their logs on a separate thread.
    sleep(Duration::from_secs(1)).await;
    let (in_force, everywhere) = convergence_times(&fleet, &changes)?;
    let mut accepts = report::duration_histogram();
    for change in &changes {
        accepts.saturating_record(change.accept_us);
    }
    let baseline = match args.baseline {
        0 => None,
        changes => Some(
            baseline::run(
                fleet.kv.address,
                &fleet.kv.control,
                args.daemons,
                changes,
                &mut workload,
            )
            .await?,
        ),
    };
    let usage = probe::usage(&fleet);
    report::print(&Report {
        bench: "converge",
        transport: "gRPC over loopback, separate processes",
        seed: args.seed,
        daemons: args.daemons,
        domains: args.domains,
        changes: args.changes,
        config_bytes,
        in_force_us: DurationSummary::from(&in_force),
        everywhere_us: DurationSummary::from(&everywhere),
        accept_us: DurationSummary::from(&accepts),
        bytes_per_daemon_per_change: busy.per_change(&idle, args.changes),
        idle_bytes_per_daemon_s: idle.traffic(idle.seconds),
        idle_cpu_ms_per_daemon_s: idle.cpu_ms as f64 / args.daemons as f64 / idle.seconds,
        idle_store_calls: idle.store_calls,
        store_calls: busy.store_calls,
        max_rss_kb: usage.iter().map(|usage| usage.rss_kb).max().unwrap_or(0),
        baseline,
    });
    Ok(())
}

/// Accepts the changes one after the other, each through the next daemon.
async fn accept_changes(
    fleet: &Fleet,
    args: &Args,
    workload: &mut Workload,
) -> Result<Vec<AcceptedChange>, Error> {
    let mut changes = Vec::new();
    for i in 0..args.changes {
        let config = workload.change()?;
        let id = workload.accept_id()?;
        let daemon = i as usize % fleet.daemons.len();
        let started_us = probe::now_us();
        let accepted = fleet.accept(daemon, &config, &id).await?;
        changes.push(AcceptedChange {
            version: accepted.version.get(),
            started_us,
            accept_us: probe::now_us() - started_us,
        });
        sleep(Duration::from_millis(args.pause_ms)).await;
    }
    Ok(changes)
}

/// Times in microseconds, for each daemon and for the last daemon of each change.
type Histograms = (hdrhistogram::Histogram<u64>, hdrhistogram::Histogram<u64>);

/// Returns the times from each accept request until the version, or a later one, is in force.
fn convergence_times(fleet: &Fleet, changes: &[AcceptedChange]) -> Result<Histograms, Error> {
    let mut each = report::duration_histogram();
    let mut max_us = vec![0; changes.len()];
    for daemon in &fleet.daemons {
        let versions = probe::versions_in_force(&fleet.log(&daemon.spec.vm), 0);
        for (change, max_us) in changes.iter().zip(&mut max_us) {
            let later = versions.range(change.version..);
            let Some(at) = later.map(|(_, at)| *at).min() else {
                let what = format!("version {} on {}", change.version, daemon.spec.vm);
                return Err(Error::Timeout(what));
            };
            let time_us = at.saturating_sub(change.started_us);
            each.saturating_record(time_us);
            *max_us = time_us.max(*max_us);
        }
    }
    let mut everywhere = report::duration_histogram();
    for time_us in max_us {
        everywhere.saturating_record(time_us);
    }
    Ok((each, everywhere))
}

/// Traffic, store calls and processor time of a fleet over an interval.
struct UsageInterval {
    started: Instant,
    seconds: f64,
    bytes_before: Vec<probe::ByteCounts>,
    bytes_after: Vec<probe::ByteCounts>,
    store_calls: Counts,
    cpu_ms: u64,
}

impl UsageInterval {
    async fn start(fleet: &Fleet) -> Result<Self, Error> {
        Ok(Self {
            started: Instant::now(),
            seconds: 0.0,
            bytes_before: probe::byte_counts(fleet).await?,
            bytes_after: Vec::new(),
            store_calls: fleet.kv.control.counts().await?,
            cpu_ms: cpu_ms(fleet),
        })
    }

    /// Ends the interval. `seconds`, `store_calls` and `cpu_ms` then cover the whole interval.
    async fn finish(mut self, fleet: &Fleet) -> Result<Self, Error> {
        self.seconds = self.started.elapsed().as_secs_f64();
        self.cpu_ms = cpu_ms(fleet) - self.cpu_ms;
        self.bytes_after = probe::byte_counts(fleet).await?;
        let now = fleet.kv.control.counts().await?;
        self.store_calls = probe::calls_between(&self.store_calls, &now);
        Ok(self)
    }

    fn traffic(&self, divisor: f64) -> Traffic {
        Traffic::between(&self.bytes_before, &self.bytes_after, divisor)
    }

    /// Returns the traffic of one change; the idle traffic of the same time is subtracted from the
    /// mean.
    fn per_change(&self, idle: &Self, changes: u64) -> Traffic {
        let total = self.traffic(changes as f64);
        let background = idle.traffic(idle.seconds * changes as f64 / self.seconds);
        Traffic {
            mean: total.mean.saturating_sub(background.mean),
            max: total.max,
        }
    }
}

fn cpu_ms(fleet: &Fleet) -> u64 {
    let usage = probe::usage(fleet);
    usage.iter().map(|usage| usage.cpu_ms).sum()
}
