//! Store outage after one accept: the fleet keeps serving, restarted daemons serve again during the
//! outage, and an accept after the outage converges.

use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, wait_until};
use serde::Serialize;
use standin::Faults;
use tokio::time::{Instant, sleep};

use super::probe::{self, FLEET_TIMEOUT};
use super::testbed::Testbed;
use crate::report;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of daemons.
    #[arg(long, default_value_t = 20)]
    daemons: usize,
    /// Number of failure domains that the daemons are spread over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Number of daemons that are killed and restarted during the outage.
    #[arg(long, default_value_t = 5)]
    restarts: usize,
    /// Duration of the outage before the restarts, in seconds.
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
    /// Daemons that served the version at the end of the outage.
    served: usize,
    /// Longest time from a restart until the daemon served a version.
    max_back_ms: u128,
    /// Restarted daemons that served an older version.
    older_versions: usize,
    /// Time from the accept after the outage until the version was in force on every daemon.
    converge_ms: u128,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let Testbed {
        mut fleet,
        mut workload,
        version,
    } = Testbed::open(args.daemons, args.domains, args.seed).await?;

    set_store_down(&fleet, true).await?;
    sleep(Duration::from_secs(args.outage_s)).await;
    let seeds: Vec<String> = fleet.daemons[..args.domains]
        .iter()
        .map(|daemon| format!("\"{}\"", daemon.fleet))
        .collect();
    let mut max_back_ms = 0;
    let mut older_versions = 0;
    // The daemons that started last are leaves of the distribution tree.
    for _ in 0..args.restarts {
        let daemon = fleet.daemons.remove(args.daemons - args.restarts);
        let mut spec = daemon.spec.clone();
        daemon.process.kill().await?;
        spec.fleet = format!("seeds = [{}]", seeds.join(", "));
        let vm = spec.vm.clone();
        let started = Instant::now();
        let started_us = probe::now_us();
        fleet.start_daemon(spec).await?;
        wait_until(
            "a version on the restarted daemon",
            FLEET_TIMEOUT,
            async || !probe::versions_in_force(&fleet.log(&vm), started_us).is_empty(),
        )
        .await?;
        max_back_ms = max_back_ms.max(started.elapsed().as_millis());
        let versions = probe::versions_in_force(&fleet.log(&vm), started_us);
        older_versions += usize::from(versions.keys().any(|served| *served < version));
    }
    let mut served = 0;
    for daemon in &fleet.daemons {
        let status = daemon.client().status().await?;
        served += usize::from(status.serving.get() == version);
    }
    set_store_down(&fleet, false).await?;
    sleep(Duration::from_secs(1)).await;
    let config = workload.change()?;
    let started = Instant::now();
    let accepted = fleet.accept(0, &config, &workload.accept_id()?).await?;
    fleet.wait_serving(accepted.version, FLEET_TIMEOUT).await?;
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

async fn set_store_down(fleet: &Fleet, down: bool) -> Result<(), Error> {
    let faults = Faults {
        down,
        ..Faults::default()
    };
    Ok(fleet.kv.control.set_faults(&faults).await?)
}
