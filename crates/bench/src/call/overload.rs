//! Goodput, latency and refusals at loads from half to three times the capacity. The baseline is
//! callers that call the upstreams round-robin and retry failed calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Behaviour;

use crate::call::load::{self, CallResult, CallSpec};
use crate::call::testbed::{self, machine_load, serving_in};
use crate::report::{self, DurationSummary};

/// Slots of each upstream.
const UPSTREAM_SLOTS: u64 = 12;

/// Number of upstreams.
const UPSTREAMS: u64 = 2;

/// Service time of one call, in milliseconds.
const SERVICE_MS: u64 = 50;

/// Latency up to which a response counts as good: the time-out of the benchmark's routes.
const DEADLINE: Duration = Duration::from_secs(2);

/// Offered loads, in tenths of the capacity.
const LOAD_TENTHS: [u64; 6] = [5, 8, 10, 15, 20, 30];

/// Request paths of the routes, from high to low priority.
const PATHS: [&str; 3] = ["/high/1", "/proofs/1", "/low/1"];

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Duration of the load at each factor, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    side: &'static str,
    /// Offered load, as a multiple of the capacity.
    offered: f64,
    capacity_per_s: u64,
    goodput_per_s: f64,
    /// Latency of the successful calls within the deadline, from high to low priority.
    good: [DurationSummary; 3],
    refused: u64,
    refused_by_kind: BTreeMap<String, u64>,
    refusals_us: DurationSummary,
    /// Calls with neither a success in time nor the outcome `not-run`.
    lost: u64,
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = testbed::open(1 + UPSTREAMS as usize, 1).await?;
    set_behaviour(&fleet, serving_in(SERVICE_MS)).await?;
    let ingress = fleet.daemons[0].caller;
    for tenths in LOAD_TENTHS {
        let results = run_part(&args, tenths, move |i| {
            CallSpec::get(ingress, PATHS[(i % 3) as usize])
        });
        print_report("path", tenths, &args, &results.await?);
    }
    let addresses: Vec<SocketAddr> = fleet.upstreams.iter().map(|one| one.address).collect();
    for tenths in LOAD_TENTHS {
        let queueing = Behaviour {
            queue: true,
            ..serving_in(SERVICE_MS)
        };
        set_behaviour(&fleet, queueing).await?;
        let addresses = addresses.clone();
        let results = run_part(&args, tenths, move |i| CallSpec {
            attempt_timeout: DEADLINE,
            retries: 2,
            ..CallSpec::get(
                addresses[(i / 3 % UPSTREAMS) as usize],
                PATHS[(i % 3) as usize],
            )
        });
        print_report("baseline", tenths, &args, &results.await?);
        // Empties the queues before the next load.
        let instant = Behaviour {
            queue: true,
            ..serving_in(0)
        };
        set_behaviour(&fleet, instant).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn set_behaviour(fleet: &Fleet, behaviour: Behaviour) -> Result<(), Error> {
    for upstream in &fleet.upstreams {
        upstream.control.set_behaviour(&behaviour).await?;
    }
    Ok(())
}

/// Returns the number of calls per second that the upstreams can run.
const fn capacity_per_s() -> u64 {
    UPSTREAM_SLOTS * UPSTREAMS * 1_000 / SERVICE_MS
}

async fn run_part(
    args: &Args,
    tenths: u64,
    next_call: impl FnMut(u64) -> CallSpec + Send + 'static,
) -> Result<Vec<CallResult>, Error> {
    let time = Duration::from_secs(args.seconds);
    load::run(capacity_per_s() * tenths / 10, time, next_call).await
}

fn print_report(side: &'static str, tenths: u64, args: &Args, results: &[CallResult]) {
    let mut good = [
        report::duration_histogram(),
        report::duration_histogram(),
        report::duration_histogram(),
    ];
    let mut refusals = report::duration_histogram();
    let mut kinds = BTreeMap::new();
    let mut lost = 0;
    for call in results {
        let micros = call.latency.as_micros() as u64;
        if call.is_success() && call.latency <= DEADLINE {
            good[(call.number % 3) as usize].saturating_record(micros);
        } else if call.outcome.as_deref() == Some("not-run") {
            refusals.saturating_record(micros);
            let kind = call.refusal_kind.clone().unwrap_or_default();
            *kinds.entry(kind).or_insert(0) += 1;
        } else {
            lost += 1;
        }
    }
    let in_time: u64 = good.iter().map(|one| one.len()).sum();
    report::print(&Report {
        bench: "overload",
        side,
        offered: tenths as f64 / 10.0,
        capacity_per_s: capacity_per_s(),
        goodput_per_s: in_time as f64 / args.seconds as f64,
        good: good.each_ref().map(DurationSummary::from),
        refused: refusals.len(),
        refused_by_kind: kinds,
        refusals_us: DurationSummary::from(&refusals),
        lost,
        machine_load: machine_load(),
    });
}
