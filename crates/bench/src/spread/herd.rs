//! Thundering herd: all daemons but one are killed and restarted at once.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, wait_until};
use serde::Serialize;
use standin::Counts;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::probe::{self, FLEET_TIMEOUT};
use super::testbed::Testbed;
use crate::report;

/// Window over which the rate of store calls is sampled.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of daemons.
    #[arg(long, default_value_t = 50)]
    daemons: usize,
    /// Number of failure domains that the daemons are spread over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Seed of the configuration.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    daemons: usize,
    domains: usize,
    version: u64,
    /// Time from the first kill until the last restarted process was ready.
    restart_ms: u128,
    /// Time from the last restart until every restarted daemon served a version.
    recover_ms: u64,
    /// Longest time from a daemon's start until it served a version.
    max_serve_ms: u64,
    /// Daemons that first served an older version than before they were killed.
    older_versions: usize,
    store_calls: Counts,
    peak_store_calls_s: u64,
    max_sent_bytes: u64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let Testbed {
        mut fleet,
        mut workload,
        ..
    } = Testbed::open(args.daemons, args.domains, args.seed).await?;
    let config = workload.change()?;
    let accepted = fleet.accept(0, &config, &workload.accept_id()?).await?;
    let version = accepted.version.get();
    probe::wait_converged(&fleet, args.daemons, version).await?;

    let peak_rate = PeakRate::spawn(&fleet);
    let before = fleet.kv.control.counts().await?;
    let first_kill = Instant::now();
    let seed = fleet.daemons[0].fleet;
    let mut specs = Vec::new();
    for daemon in fleet.daemons.drain(1..).collect::<Vec<_>>() {
        specs.push(daemon.spec.clone());
        daemon.process.kill().await?;
    }
    let mut started_us = BTreeMap::new();
    for mut spec in specs {
        spec.fleet = format!("seeds = [\"{seed}\"]");
        started_us.insert(spec.vm.clone(), probe::now_us());
        fleet.start_daemon(spec).await?;
    }
    let restart_ms = first_kill.elapsed().as_millis();
    let restarted_us = probe::now_us();
    wait_any_version(&fleet, &started_us).await?;
    sleep(Duration::from_secs(1)).await;
    let after = fleet.kv.control.counts().await?;

    let mut result = Report {
        bench: "herd",
        seed: args.seed,
        daemons: args.daemons,
        domains: args.domains,
        version,
        restart_ms,
        recover_ms: 0,
        max_serve_ms: 0,
        older_versions: 0,
        store_calls: probe::calls_between(&before, &after),
        peak_store_calls_s: peak_rate.finish().await,
        max_sent_bytes: 0,
    };
    for daemon in &fleet.daemons[1..] {
        let start_us = started_us.get(&daemon.spec.vm).copied().unwrap_or_default();
        let versions = probe::versions_in_force(&fleet.log(&daemon.spec.vm), start_us);
        let Some((first, at)) = versions.iter().min_by_key(|(_, at)| **at) else {
            continue;
        };
        result.older_versions += usize::from(*first < version);
        let serve_ms = at.saturating_sub(start_us) / 1_000;
        result.max_serve_ms = result.max_serve_ms.max(serve_ms);
        let recover_ms = at.saturating_sub(restarted_us) / 1_000;
        result.recover_ms = result.recover_ms.max(recover_ms);
    }
    let bytes = probe::byte_counts(&fleet).await?;
    result.max_sent_bytes = bytes.iter().map(|bytes| bytes.sent).max().unwrap_or(0);
    report::print(&result);
    Ok(())
}

/// Waits until the log of every restarted daemon shows a version in force.
async fn wait_any_version(fleet: &Fleet, started_us: &BTreeMap<String, u64>) -> Result<(), Error> {
    wait_until("a version on every daemon", FLEET_TIMEOUT, async || {
        let mut daemons = started_us.iter();
        daemons
            .all(|(vm, start_us)| !probe::versions_in_force(&fleet.log(vm), *start_us).is_empty())
    })
    .await
}

/// Samples the highest rate of store calls.
struct PeakRate {
    task: JoinHandle<()>,
    max_per_s: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl PeakRate {
    /// Starts sampling.
    fn spawn(fleet: &Fleet) -> Self {
        let control = fleet.kv.control.clone();
        let max_per_s = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
        let shared_max = std::sync::Arc::clone(&max_per_s);
        let task = tokio::spawn(async move {
            let mut last: Option<u64> = None;
            loop {
                if let Ok(counts) = control.counts().await {
                    let total =
                        counts.gets + counts.lists + counts.puts + counts.watches + counts.leases;
                    let calls = total - last.unwrap_or(total);
                    let rate = calls * 1_000 / RATE_WINDOW.as_millis() as u64;
                    shared_max.fetch_max(rate, std::sync::atomic::Ordering::Relaxed);
                    last = Some(total);
                }
                sleep(RATE_WINDOW).await;
            }
        });
        Self { task, max_per_s }
    }

    /// Stops sampling; returns the highest rate, in calls per second.
    async fn finish(self) -> u64 {
        self.task.abort();
        self.max_per_s.load(std::sync::atomic::Ordering::Relaxed)
    }
}
