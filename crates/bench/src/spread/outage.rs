//! The store out after one accept: the fleet serves, restarted daemons come back, and on the
//! store's return an accept converges.

use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, wait_until};
use serde::Serialize;
use standin::Faults;
use tokio::time::{Instant, sleep};

use super::probe::{self, LIMIT};
use super::testbed::Testbed;
use crate::report;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Daemons to start.
    #[arg(long, default_value_t = 20)]
    daemons: usize,
    /// Failure domains to spread the daemons over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Daemons killed and restarted during the outage.
    #[arg(long, default_value_t = 5)]
    restarts: usize,
    /// Length of the outage before the restarts, in seconds.
    #[arg(long, default_value_t = 15)]
    outage_s: u64,
    /// Seed of the configuration.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    daemons: usize,
    outage_s: u64,
    restarts: usize,
    /// Daemons that still served the version at the end of the outage.
    served: usize,
    /// From each restart until the daemon served, the longest.
    max_back_ms: u128,
    /// Restarted daemons that served an older version.
    older_versions: usize,
    /// From the accept after the store's return until in force on every daemon.
    converge_ms: u128,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let Testbed {
        mut fleet,
        mut workload,
        version,
    } = Testbed::open(args.daemons, args.domains, args.seed).await?;

    set_down(&fleet, true).await?;
    sleep(Duration::from_secs(args.outage_s)).await;
    let seeds: Vec<String> = fleet.daemons[..args.domains]
        .iter()
        .map(|daemon| format!("\"{}\"", daemon.fleet))
        .collect();
    let mut max_back_ms = 0;
    let mut older_versions = 0;
    // The last ones started are leaves of the tree.
    for _ in 0..args.restarts {
        let daemon = fleet.daemons.remove(args.daemons - args.restarts);
        let mut spec = daemon.spec.clone();
        daemon.process.kill().await?;
        spec.fleet = format!("seeds = [{}]", seeds.join(", "));
        let vm = spec.vm.clone();
        let started = Instant::now();
        let started_us = probe::now_us();
        fleet.start_daemon(spec).await?;
        wait_until("a version on the restarted daemon", LIMIT, async || {
            !probe::versions(&fleet.log(&vm), started_us).is_empty()
        })
        .await?;
        max_back_ms = max_back_ms.max(started.elapsed().as_millis());
        let versions = probe::versions(&fleet.log(&vm), started_us);
        older_versions += usize::from(versions.keys().any(|served| *served < version));
    }
    let mut served = 0;
    for daemon in &fleet.daemons {
        let status = daemon.client().status().await?;
        served += usize::from(status.serving.get() == version);
    }
    set_down(&fleet, false).await?;
    sleep(Duration::from_secs(1)).await;
    let config = workload.change()?;
    let started = Instant::now();
    let second = fleet.accept(0, &config, &workload.accept_id()?).await?;
    fleet.wait_serving(second.version, LIMIT).await?;
    report::print(&Report {
        bench: "outage",
        seed: args.seed,
        daemons: args.daemons,
        outage_s: args.outage_s,
        restarts: args.restarts,
        served,
        max_back_ms,
        older_versions,
        converge_ms: started.elapsed().as_millis(),
    });
    Ok(())
}

async fn set_down(fleet: &Fleet, down: bool) -> Result<(), Error> {
    let faults = Faults {
        down,
        ..Faults::default()
    };
    Ok(fleet.kv.control.set_faults(&faults).await?)
}
