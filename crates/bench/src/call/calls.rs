//! Latency that the path adds to calls, against direct calls to the same upstream.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Caller, Error, Fleet, VmSpec, wait_until};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::report::{self, Micros};

/// Longest wait for the fleet.
const LIMIT: Duration = Duration::from_secs(30);

/// Host of the example.
const HOST: &str = "redakce.brno.example";

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls a second.
    #[arg(long, default_value_t = 1000)]
    rate: u64,
    /// Length of each part, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    rate: u64,
    direct_us: Micros,
    path_us: Micros,
    failed: u64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for vm in ["a-1", "a-2"] {
        fleet
            .start_daemon(VmSpec::new(vm, "morava-a", "cz-morava"))
            .await?;
    }
    fleet.start_upstream(1, "proofdesk").await?;
    let config = plan::brno()
        .expect("the example is valid")
        .to_json()
        .expect("JSON");
    let id = "calls".parse().expect("a valid id");
    let accepted = fleet.accept(0, &config, &id).await?;
    fleet.wait_serving(accepted.version, LIMIT).await?;
    let ingress = fleet.daemons[0].caller;
    wait_until("an answer", LIMIT, async || {
        let answer = Caller::default().get(ingress, HOST, "/proofs/1").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await?;
    let direct = load(fleet.upstreams[0].address, &args).await;
    let path = load(ingress, &args).await;
    report::print(&Report {
        bench: "calls",
        rate: args.rate,
        direct_us: Micros::from(&direct.latency),
        path_us: Micros::from(&path.latency),
        failed: direct.failed + path.failed,
    });
    Ok(())
}

/// What a load saw.
struct Load {
    latency: hdrhistogram::Histogram<u64>,
    failed: u64,
}

/// Calls `address` at a fixed rate, whatever the answers take.
async fn load(address: SocketAddr, args: &Args) -> Load {
    let caller = Caller::default();
    let mut ticks = interval(Duration::from_nanos(1_000_000_000 / args.rate.max(1)));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    for _ in 0..args.rate * args.seconds {
        ticks.tick().await;
        let caller = caller.clone();
        calls.spawn(async move {
            let started = Instant::now();
            let answer = caller.get(address, HOST, "/proofs/1").await;
            let whole = answer.is_ok_and(|answer| answer.status.is_success());
            (whole, started.elapsed())
        });
    }
    let mut load = Load {
        latency: report::histogram(),
        failed: 0,
    };
    while let Some(call) = calls.join_next().await {
        match call {
            Ok((true, elapsed)) => load.latency.saturating_record(elapsed.as_micros() as u64),
            _ => load.failed += 1,
        }
    }
    load
}
