//! Time from an accept until every daemon serves it.

use std::time::{Duration, Instant};

use clap::Args as ClapArgs;
use harness::{Error, Fleet, VmSpec};
use model::AcceptId;
use serde::Serialize;

use crate::report::{self, Micros};

/// Longest wait for one version.
const LIMIT: Duration = Duration::from_secs(60);

/// Size of the run.
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
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    transport: &'static str,
    daemons: usize,
    domains: usize,
    changes: u64,
    converge_us: Micros,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for i in 0..args.daemons {
        let domain = format!("domain-{}", i % args.domains);
        fleet
            .start_daemon(VmSpec::new(&format!("vm-{i}"), &domain, "region-0"))
            .await?;
    }
    let mut histogram = report::histogram();
    for change in 0..args.changes {
        let config = config(change);
        let id: AcceptId = format!("change-{change}")
            .parse()
            .map_err(|_| Error::Call("the accept id is not valid".into()))?;
        let started = Instant::now();
        let accepted = fleet.accept(0, &config, &id).await?;
        fleet.wait_serving(accepted.version, LIMIT).await?;
        if change > 0 {
            histogram.saturating_record(started.elapsed().as_micros() as u64);
        }
    }
    report::print(&Report {
        bench: "converge",
        transport: "gRPC over loopback, separate processes",
        daemons: args.daemons,
        domains: args.domains,
        changes: args.changes,
        converge_us: Micros::from(&histogram),
    });
    Ok(())
}

/// Returns the example of Brno with a time-out that differs by `change`.
fn config(change: u64) -> String {
    let plan = plan::brno().expect("the example is valid");
    let mut config = plan.config().clone();
    config.routes[0].rules.timeout = model::Millis::new(5_000 + change);
    serde_json::to_string(&config).expect("configurations serialise to JSON")
}
