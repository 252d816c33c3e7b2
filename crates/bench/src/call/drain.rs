//! Rolling replacement of all upstreams and daemons under load: lost, failed and repeated calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use call::Readiness;
use clap::Args as ClapArgs;
use harness::{Caller, Error, Fleet, VmSpec, wait_until};
use http::Method;
use model::lock;
use serde::Serialize;
use standin::Behaviour;
use tokio::time::sleep;

use crate::call::load::{self, CallResult, CallSpec, HOST};
use crate::call::testbed::{self, FLEET_TIMEOUT, machine_load, serving_in};

/// VMs without an upstream, whose daemons are the ingresses.
const INGRESSES: usize = 2;

/// VMs with an upstream.
const UPSTREAMS: usize = 4;

/// Service time of one call, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Time that an upstream announces itself as draining before it is killed.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Longest duration of the load, which stops when the replacement is done.
const MAX_LOAD_TIME: Duration = Duration::from_secs(240);

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls per second; half of them are not idempotent.
    #[arg(long, default_value_t = 200)]
    rate: u64,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    bench: &'static str,
    rate: u64,
    calls: u64,
    good: u64,
    /// Calls without a complete response.
    cut: u64,
    refused_not_run: u64,
    unknown: u64,
    other: u64,
    replaced_upstreams: usize,
    replaced_daemons: usize,
    /// Daemons whose planned stop exited with a failure.
    failed_stops: usize,
    keys_run: usize,
    /// Largest number of runs of one non-idempotent call.
    max_runs: u32,
    /// Calls that succeeded without a run, or ran despite the outcome `not-run`.
    false_answers: usize,
    machine_load: f64,
}

/// Addresses of the ingresses that receive new calls.
type IngressAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = testbed::open(INGRESSES + UPSTREAMS, INGRESSES).await?;
    for upstream in &fleet.upstreams {
        upstream
            .control
            .set_behaviour(&serving_in(SERVICE_MS))
            .await?;
    }
    let ingresses = fleet.daemons[..INGRESSES].iter().map(|one| one.caller);
    let ingresses: IngressAddresses = Arc::new(Mutex::new(ingresses.collect()));
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load::run_until(
        args.rate,
        MAX_LOAD_TIME,
        Arc::clone(&stop),
        {
            let ingresses = Arc::clone(&ingresses);
            move |i| call_spec(i, &ingresses)
        },
    ));
    sleep(Duration::from_secs(1)).await;
    let mut report = Report {
        bench: "drain",
        rate: args.rate,
        ..Report::default()
    };
    let mut runs = HashMap::new();
    for i in 0..UPSTREAMS {
        replace_upstream(&mut fleet, i, &mut runs, &mut report).await?;
    }
    for i in 0..INGRESSES {
        replace_ingress(&mut fleet, i, &ingresses, &mut report).await?;
    }
    stop.store(true, Ordering::Relaxed);
    let results = load
        .await
        .map_err(|error| Error::Call(error.to_string()))??;
    for upstream in &fleet.upstreams {
        count_runs(&upstream.control.runs().await?, &mut runs);
    }
    classify_results(&results, &runs, &mut report);
    report.machine_load = machine_load();
    crate::report::print(&report);
    Ok(())
}

fn call_spec(i: u64, ingresses: &IngressAddresses) -> CallSpec {
    let address = {
        let ingresses = lock(ingresses);
        ingresses[i as usize % ingresses.len()]
    };
    if i.is_multiple_of(2) {
        return CallSpec::get(address, "/proofs/1");
    }
    CallSpec {
        method: Method::POST,
        idempotency_key: Some(format!("notice-{i}")),
        ..CallSpec::get(address, "/notices/1")
    }
}

/// Drains and kills the oldest upstream, stops its daemon, and starts a new daemon and upstream.
async fn replace_upstream(
    fleet: &mut Fleet,
    i: usize,
    runs: &mut HashMap<String, u32>,
    report: &mut Report,
) -> Result<(), Error> {
    let upstream = fleet.upstreams.remove(0);
    let leaving = Behaviour {
        announce: Some(Readiness::Draining),
        ..serving_in(SERVICE_MS)
    };
    upstream.control.set_behaviour(&leaving).await?;
    sleep(DRAIN_TIME).await;
    count_runs(&upstream.control.runs().await?, runs);
    upstream.process.kill().await?;
    let daemon = fleet.daemons.remove(INGRESSES);
    report.failed_stops += usize::from(!daemon.process.stop(FLEET_TIMEOUT).await?.success());
    let vm = VmSpec::new(&format!("b-{i}"), "morava-a", "cz-morava");
    let daemon = fleet.start_daemon(vm).await?;
    let started = fleet.start_upstream(daemon, "proofdesk").await?;
    let control = &fleet.upstreams[started].control;
    control.set_behaviour(&serving_in(SERVICE_MS)).await?;
    wait_until("a call to the new upstream", FLEET_TIMEOUT, async || {
        let runs = control.runs().await;
        runs.is_ok_and(|runs| !runs.is_empty())
    })
    .await?;
    report.replaced_upstreams += 1;
    report.replaced_daemons += 1;
    Ok(())
}

/// Replaces an ingress; new calls go to its successor before it stops.
async fn replace_ingress(
    fleet: &mut Fleet,
    i: usize,
    ingresses: &IngressAddresses,
    report: &mut Report,
) -> Result<(), Error> {
    let vm = VmSpec::new(&format!("c-{i}"), "morava-a", "cz-morava");
    let started = fleet.start_daemon(vm).await?;
    let address = fleet.daemons[started].caller;
    wait_until(
        "a successful call through the new daemon",
        FLEET_TIMEOUT,
        async || {
            let response = Caller::default().get(address, HOST, "/proofs/1").await;
            response.is_ok_and(|response| response.status.is_success())
        },
    )
    .await?;
    {
        let mut ingresses = lock(ingresses);
        ingresses.remove(0);
        ingresses.push(address);
    }
    // Calls are still in flight at the stop, but no new ones arrive.
    let daemon = fleet.daemons.remove(0);
    report.failed_stops += usize::from(!daemon.process.stop(FLEET_TIMEOUT).await?.success());
    report.replaced_daemons += 1;
    Ok(())
}

/// Adds the runs to the number of runs by idempotency key.
fn count_runs(ran: &[standin::Run], runs: &mut HashMap<String, u32>) {
    for key in ran.iter().filter_map(|run| run.key.clone()) {
        *runs.entry(key).or_default() += 1;
    }
}

/// Counts the results by outcome and compares them with the runs of the upstreams.
fn classify_results(results: &[CallResult], runs: &HashMap<String, u32>, report: &mut Report) {
    for call in results {
        report.calls += 1;
        let outcome = call.outcome.as_deref();
        match (call.status, outcome) {
            (None, _) => report.cut += 1,
            (Some(status), _) if status.is_success() => report.good += 1,
            (_, Some("not-run")) => report.refused_not_run += 1,
            (_, Some("unknown")) => report.unknown += 1,
            _ => report.other += 1,
        }
        if call.number.is_multiple_of(2) {
            continue;
        }
        let ran = runs.get(&format!("notice-{}", call.number));
        let false_success = call.is_success() && ran.is_none();
        let false_refusal = outcome == Some("not-run") && ran.is_some();
        report.false_answers += usize::from(false_success || false_refusal);
    }
    report.keys_run = runs.len();
    report.max_runs = runs.values().copied().max().unwrap_or(0);
}
