//! Grey failures: upstreams that announce themselves as ready while one is ten times slower, one
//! fails every call and one refuses every call. The baseline is round-robin calls to the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Behaviour;
use tokio::time::{Instant, sleep, sleep_until};

use crate::call::load::{self, CallResult, CallSpec};
use crate::call::testbed::{self, machine_load, serving_in};

/// Number of upstreams; the first three become faulty.
const UPSTREAMS: usize = 6;

/// Service time of one call, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Service time of one call on the slow upstream, in milliseconds.
const SLOW_MS: u64 = 200;

/// Latency from which a successful call counts as hit.
const HIT_LATENCY: Duration = Duration::from_millis(100);

/// Start of the faults, since the start of the load.
const FAULTS_START: Duration = Duration::from_secs(3);

/// End of the faults, since the start of the load.
const FAULTS_END: Duration = Duration::from_secs(11);

/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(31);

/// Window over which the share of hit calls and the recovery are evaluated.
const WINDOW: Duration = Duration::from_millis(500);

/// Share of hit calls in a window below which the faulty upstreams count as ejected.
const MAX_HIT_SHARE: f64 = 0.05;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls per second.
    #[arg(long, default_value_t = 300)]
    rate: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    side: &'static str,
    rate: u64,
    calls_while_bad: usize,
    /// Calls that failed or were slow while three of six upstreams were faulty.
    hit: usize,
    hit_percent: f64,
    /// Time from the start of the faults until fewer than one call in twenty was hit.
    aside_ms: Option<u64>,
    /// Time from the end of the faults until each of the three upstreams had run 20 calls.
    back_ms: [Option<u64>; 3],
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = testbed::open(1 + UPSTREAMS, 1).await?;
    let ingress = fleet.daemons[0].caller;
    run_side("path", &fleet, &args, move |_| {
        CallSpec::get(ingress, "/proofs/1")
    })
    .await?;
    let addresses: Vec<SocketAddr> = fleet.upstreams.iter().map(|one| one.address).collect();
    run_side("baseline", &fleet, &args, move |i| {
        CallSpec::get(addresses[i as usize % UPSTREAMS], "/proofs/1")
    })
    .await
}

/// Measures one side: calls through the call path, or the baseline.
async fn run_side(
    side: &'static str,
    fleet: &Fleet,
    args: &Args,
    next_call: impl FnMut(u64) -> CallSpec + Send + 'static,
) -> Result<(), Error> {
    for upstream in &fleet.upstreams {
        upstream
            .control
            .set_behaviour(&serving_in(SERVICE_MS))
            .await?;
    }
    let start = Instant::now();
    let load = tokio::spawn(load::run(args.rate, LOAD_TIME, next_call));
    sleep_until(start + FAULTS_START).await;
    let faults = [
        serving_in(SLOW_MS),
        Behaviour {
            fail: true,
            ..serving_in(SERVICE_MS)
        },
        Behaviour {
            refuse: true,
            ..serving_in(SERVICE_MS)
        },
    ];
    for (upstream, behaviour) in fleet.upstreams.iter().zip(&faults) {
        upstream.control.set_behaviour(behaviour).await?;
    }
    sleep_until(start + FAULTS_END).await;
    for upstream in &fleet.upstreams[..faults.len()] {
        upstream
            .control
            .set_behaviour(&serving_in(SERVICE_MS))
            .await?;
    }
    let back_ms = measure_return_ms(fleet, start + LOAD_TIME).await?;
    let results = load
        .await
        .map_err(|error| Error::Call(error.to_string()))??;
    let during_faults: Vec<&CallResult> = results
        .iter()
        .filter(|call| (FAULTS_START..FAULTS_END).contains(&call.sent_at))
        .collect();
    let hit = during_faults.iter().filter(|call| is_hit(call)).count();
    crate::report::print(&Report {
        bench: "grey",
        side,
        rate: args.rate,
        calls_while_bad: during_faults.len(),
        hit,
        hit_percent: 100.0 * hit as f64 / during_faults.len().max(1) as f64,
        aside_ms: ejection_time_ms(&during_faults),
        back_ms,
        machine_load: machine_load(),
    });
    Ok(())
}

/// Returns whether the faults made the call fail or slow.
fn is_hit(call: &CallResult) -> bool {
    !call.is_success() || call.latency >= HIT_LATENCY
}

/// Returns the time until the first window with few hit calls.
fn ejection_time_ms(during_faults: &[&CallResult]) -> Option<u64> {
    let mut from = FAULTS_START;
    while from < FAULTS_END {
        let window = during_faults
            .iter()
            .filter(|call| (from..from + WINDOW).contains(&call.sent_at));
        let calls = window.clone().count();
        let hit = window.filter(|call| is_hit(call)).count();
        if (hit as f64) < MAX_HIT_SHARE * calls as f64 {
            return Some((from - FAULTS_START).as_millis() as u64);
        }
        from += WINDOW;
    }
    None
}

/// Returns the time from now until each of the faulty upstreams has run 20 more calls.
///
/// Stops watching at `end`.
async fn measure_return_ms(fleet: &Fleet, end: Instant) -> Result<[Option<u64>; 3], Error> {
    let recovered = Instant::now();
    let mut runs_before = [0; 3];
    let mut returned_ms = [None; 3];
    for (i, upstream) in fleet.upstreams.iter().take(3).enumerate() {
        runs_before[i] = upstream.control.runs().await?.len();
    }
    while Instant::now() + WINDOW < end {
        sleep(WINDOW).await;
        for (i, upstream) in fleet.upstreams.iter().take(3).enumerate() {
            let runs = upstream.control.runs().await?.len();
            if returned_ms[i].is_none() && runs >= runs_before[i] + 20 {
                returned_ms[i] = Some(recovered.elapsed().as_millis() as u64);
            }
        }
    }
    Ok(returned_ms)
}
