//! Time from an accept until every daemon serves it, and what it costs.

use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Counts;
use tokio::time::{Instant, sleep};

use super::baseline;
use super::probe::{self, Load};
use super::testbed::Testbed;
use super::workload::Workload;
use crate::report::{self, Micros};

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Daemons to start.
    #[arg(long, default_value_t = 10)]
    daemons: usize,
    /// Changes to accept.
    #[arg(long, default_value_t = 20)]
    changes: u64,
    /// Failure domains to spread the daemons over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Pause between two changes, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pause_ms: u64,
    /// Time without changes that is measured first, in seconds.
    #[arg(long, default_value_t = 10)]
    idle_s: u64,
    /// Changes of the baseline; it is left out at 0.
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
    /// From the accept's request to in force, each daemon.
    in_force_us: Micros,
    /// From the accept's request to in force on the last daemon, each change.
    everywhere_us: Micros,
    /// From the accept's request to its answer.
    accept_us: Micros,
    idle_bytes_per_daemon_s: Load,
    bytes_per_daemon_per_change: Load,
    idle_store_calls: Counts,
    store_calls: Counts,
    idle_cpu_ms_per_daemon_s: f64,
    max_rss_kb: u64,
    baseline: Option<baseline::Report>,
}

/// A change that was accepted.
struct Change {
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
    let idle = Span::begin(&fleet).await?;
    sleep(Duration::from_secs(args.idle_s)).await;
    let idle = idle.end(&fleet).await?;
    let busy = Span::begin(&fleet).await?;
    let changes = change(&fleet, &args, &mut workload).await?;
    let busy = busy.end(&fleet).await?;

    let last = changes.last().map_or(0, |change| change.version);
    probe::wait_counted(&fleet, args.daemons, last).await?;
    // The logs are written by a thread of their own.
    sleep(Duration::from_secs(1)).await;
    let (in_force, everywhere) = times(&fleet, &changes)?;
    let mut accepts = report::histogram();
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
    let rss = probe::usage(&fleet);
    report::print(&Report {
        bench: "converge",
        transport: "gRPC over loopback, separate processes",
        seed: args.seed,
        daemons: args.daemons,
        domains: args.domains,
        changes: args.changes,
        config_bytes,
        in_force_us: Micros::from(&in_force),
        everywhere_us: Micros::from(&everywhere),
        accept_us: Micros::from(&accepts),
        bytes_per_daemon_per_change: busy.per_change(&idle, args.changes),
        idle_bytes_per_daemon_s: idle.load(idle.seconds),
        idle_cpu_ms_per_daemon_s: idle.cpu_ms as f64 / args.daemons as f64 / idle.seconds,
        idle_store_calls: idle.calls,
        store_calls: busy.calls,
        max_rss_kb: rss.iter().map(|usage| usage.rss_kb).max().unwrap_or(0),
        baseline,
    });
    Ok(())
}

/// Accepts the changes one after the other, each through another daemon.
async fn change(fleet: &Fleet, args: &Args, workload: &mut Workload) -> Result<Vec<Change>, Error> {
    let mut changes = Vec::new();
    for i in 0..args.changes {
        let config = workload.change()?;
        let id = workload.accept_id()?;
        let daemon = i as usize % fleet.daemons.len();
        let started_us = probe::now_us();
        let accepted = fleet.accept(daemon, &config, &id).await?;
        changes.push(Change {
            version: accepted.version.get(),
            started_us,
            accept_us: probe::now_us() - started_us,
        });
        sleep(Duration::from_millis(args.pause_ms)).await;
    }
    Ok(changes)
}

type Histograms = (hdrhistogram::Histogram<u64>, hdrhistogram::Histogram<u64>);

/// Returns the times until in force on each daemon, and on the last of each change.
fn times(fleet: &Fleet, changes: &[Change]) -> Result<Histograms, Error> {
    let mut each = report::histogram();
    let mut last = vec![0; changes.len()];
    for daemon in &fleet.daemons {
        let versions = probe::versions(&fleet.log(&daemon.spec.vm), 0);
        for (change, last) in changes.iter().zip(&mut last) {
            let later = versions.range(change.version..);
            let Some(at) = later.map(|(_, at)| *at).min() else {
                let what = format!("version {} on {}", change.version, daemon.spec.vm);
                return Err(Error::Timeout(what));
            };
            let time = at.saturating_sub(change.started_us);
            each.saturating_record(time);
            *last = time.max(*last);
        }
    }
    let mut everywhere = report::histogram();
    for time in last {
        everywhere.saturating_record(time);
    }
    Ok((each, everywhere))
}

/// What a fleet did over some time.
struct Span {
    began: Instant,
    seconds: f64,
    before: Vec<probe::Bytes>,
    after: Vec<probe::Bytes>,
    calls: Counts,
    cpu_ms: u64,
}

impl Span {
    async fn begin(fleet: &Fleet) -> Result<Self, Error> {
        Ok(Self {
            began: Instant::now(),
            seconds: 0.0,
            before: probe::bytes(fleet).await?,
            after: Vec::new(),
            calls: fleet.kv.control.counts().await?,
            cpu_ms: cpu_ms(fleet),
        })
    }

    async fn end(mut self, fleet: &Fleet) -> Result<Self, Error> {
        self.seconds = self.began.elapsed().as_secs_f64();
        self.cpu_ms = cpu_ms(fleet) - self.cpu_ms;
        self.after = probe::bytes(fleet).await?;
        let now = fleet.kv.control.counts().await?;
        self.calls = probe::calls(&self.calls, &now);
        Ok(self)
    }

    fn load(&self, share: f64) -> Load {
        Load::between(&self.before, &self.after, share)
    }

    /// Returns the bytes of one change, without what the fleet moves anyhow.
    fn per_change(&self, idle: &Self, changes: u64) -> Load {
        let all = self.load(changes as f64);
        let anyhow = idle.load(idle.seconds * changes as f64 / self.seconds);
        Load {
            mean: all.mean.saturating_sub(anyhow.mean),
            max: all.max,
        }
    }
}

fn cpu_ms(fleet: &Fleet) -> u64 {
    let usage = probe::usage(fleet);
    usage.iter().map(|usage| usage.cpu_ms).sum()
}
