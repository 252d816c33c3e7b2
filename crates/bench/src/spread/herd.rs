//! All daemons but one killed and restarted at once.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, wait_until};
use serde::Serialize;
use standin::Counts;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::probe::{self, LIMIT};
use super::testbed::Testbed;
use crate::report;

/// Time over which the peak of the store's calls is taken.
const PEAK_WINDOW: Duration = Duration::from_millis(500);

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Daemons to start.
    #[arg(long, default_value_t = 50)]
    daemons: usize,
    /// Failure domains to spread the daemons over.
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
    /// From the first kill until the last restarted process was up.
    restart_ms: u128,
    /// From the last restart until every daemon served the version.
    recover_ms: u64,
    /// From each daemon's start until it served, the longest.
    max_serve_ms: u64,
    /// Daemons that served a version below the one before their kill.
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
    probe::wait_counted(&fleet, args.daemons, version).await?;

    let peak = Peak::spawn(&fleet);
    let before = fleet.kv.control.counts().await?;
    let began = Instant::now();
    let seed = fleet.daemons[0].fleet;
    let mut specs = Vec::new();
    for daemon in fleet.daemons.drain(1..).collect::<Vec<_>>() {
        specs.push(daemon.spec.clone());
        daemon.process.kill().await?;
    }
    let mut starts = BTreeMap::new();
    for mut spec in specs {
        spec.fleet = format!("seeds = [\"{seed}\"]");
        starts.insert(spec.vm.clone(), probe::now_us());
        fleet.start_daemon(spec).await?;
    }
    let restart_ms = began.elapsed().as_millis();
    let restarted_us = probe::now_us();
    wait_served(&fleet, &starts).await?;
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
        store_calls: probe::calls(&before, &after),
        peak_store_calls_s: peak.end().await,
        max_sent_bytes: 0,
    };
    for daemon in &fleet.daemons[1..] {
        let started = starts.get(&daemon.spec.vm).copied().unwrap_or_default();
        let versions = probe::versions(&fleet.log(&daemon.spec.vm), started);
        let Some((first, at)) = versions.iter().min_by_key(|(_, at)| **at) else {
            continue;
        };
        result.older_versions += usize::from(*first < version);
        let serve_ms = at.saturating_sub(started) / 1_000;
        result.max_serve_ms = result.max_serve_ms.max(serve_ms);
        let recover_ms = at.saturating_sub(restarted_us) / 1_000;
        result.recover_ms = result.recover_ms.max(recover_ms);
    }
    let bytes = probe::bytes(&fleet).await?;
    result.max_sent_bytes = bytes.iter().map(|bytes| bytes.sent).max().unwrap_or(0);
    report::print(&result);
    Ok(())
}

/// Waits until every restarted daemon has some version in force, as its log says.
async fn wait_served(fleet: &Fleet, starts: &BTreeMap<String, u64>) -> Result<(), Error> {
    wait_until("a version on every daemon", LIMIT, async || {
        let mut starts = starts.iter();
        starts.all(|(vm, started)| !probe::versions(&fleet.log(vm), *started).is_empty())
    })
    .await
}

/// Samples the highest rate of the store's calls.
struct Peak {
    task: JoinHandle<()>,
    highest: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl Peak {
    fn spawn(fleet: &Fleet) -> Self {
        let control = fleet.kv.control.clone();
        let highest = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
        let seen = std::sync::Arc::clone(&highest);
        let task = tokio::spawn(async move {
            let mut last: Option<u64> = None;
            loop {
                if let Ok(counts) = control.counts().await {
                    let all =
                        counts.gets + counts.lists + counts.puts + counts.watches + counts.leases;
                    let calls = all - last.unwrap_or(all);
                    let rate = calls * 1_000 / PEAK_WINDOW.as_millis() as u64;
                    seen.fetch_max(rate, std::sync::atomic::Ordering::Relaxed);
                    last = Some(all);
                }
                sleep(PEAK_WINDOW).await;
            }
        });
        Self { task, highest }
    }

    async fn end(self) -> u64 {
        self.task.abort();
        self.highest.load(std::sync::atomic::Ordering::Relaxed)
    }
}
