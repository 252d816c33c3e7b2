//! Rolling replacement of all upstreams and daemons under load.

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

use crate::call::bed::{self, LIMIT, machine_load, taking};
use crate::call::load::{self, Ask, Ended, HOST};

/// VMs whose daemons only take calls of callers.
const CALLERS: usize = 2;

/// VMs with an upstream.
const UPSTREAMS: usize = 4;

/// Time of one call, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Time that an upstream announces its leaving before it is stopped.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Longest load; it ends with the replacement.
const MAX_TIME: Duration = Duration::from_secs(240);

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls a second, half of them ones that may run only once.
    #[arg(long, default_value_t = 200)]
    rate: u64,
}

#[derive(Debug, Default, Serialize)]
struct Report {
    bench: &'static str,
    rate: u64,
    calls: u64,
    good: u64,
    /// Calls without a whole answer.
    cut: u64,
    refused_not_run: u64,
    unknown: u64,
    other: u64,
    replaced_upstreams: usize,
    replaced_daemons: usize,
    /// Daemons whose planned stop did not end well.
    failed_stops: usize,
    keys_run: usize,
    /// Most runs of one call that may run only once.
    max_runs: u32,
    /// Calls that were answered well but not run, or `not-run` but run.
    false_answers: usize,
    machine_load: f64,
}

/// Caller addresses in use.
type Callers = Arc<Mutex<Vec<SocketAddr>>>;

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = bed::open(CALLERS + UPSTREAMS, CALLERS).await?;
    for upstream in &fleet.upstreams {
        upstream.control.set_behaviour(&taking(SERVICE_MS)).await?;
    }
    let callers = fleet.daemons[..CALLERS].iter().map(|one| one.caller);
    let callers: Callers = Arc::new(Mutex::new(callers.collect()));
    let over = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load::run_until(args.rate, MAX_TIME, Arc::clone(&over), {
        let callers = Arc::clone(&callers);
        move |i| ask(i, &callers)
    }));
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
    for i in 0..CALLERS {
        replace_caller(&mut fleet, i, &callers, &mut report).await?;
    }
    over.store(true, Ordering::Relaxed);
    let ended = load
        .await
        .map_err(|error| Error::Call(error.to_string()))??;
    for upstream in &fleet.upstreams {
        collect(&upstream.control.runs().await?, &mut runs);
    }
    judge(&ended, &runs, &mut report);
    report.machine_load = machine_load();
    crate::report::print(&report);
    Ok(())
}

fn ask(i: u64, callers: &Callers) -> Ask {
    let address = {
        let callers = lock(callers);
        callers[i as usize % callers.len()]
    };
    if i.is_multiple_of(2) {
        return Ask::get(address, "/proofs/1");
    }
    Ask {
        method: Method::POST,
        key: Some(format!("notice-{i}")),
        ..Ask::get(address, "/notices/1")
    }
}

/// Lets the upstream that has been there longest leave, stops its daemon, and starts both anew.
async fn replace_upstream(
    fleet: &mut Fleet,
    i: usize,
    runs: &mut HashMap<String, u32>,
    report: &mut Report,
) -> Result<(), Error> {
    let upstream = fleet.upstreams.remove(0);
    let leaving = Behaviour {
        announce: Some(Readiness::Draining),
        ..taking(SERVICE_MS)
    };
    upstream.control.set_behaviour(&leaving).await?;
    sleep(LEAVE_TIME).await;
    collect(&upstream.control.runs().await?, runs);
    upstream.process.kill().await?;
    let daemon = fleet.daemons.remove(CALLERS);
    report.failed_stops += usize::from(!daemon.process.stop(LIMIT).await?.success());
    let vm = VmSpec::new(&format!("b-{i}"), "morava-a", "cz-morava");
    let daemon = fleet.start_daemon(vm).await?;
    let started = fleet.start_upstream(daemon, "proofdesk").await?;
    let control = &fleet.upstreams[started].control;
    control.set_behaviour(&taking(SERVICE_MS)).await?;
    wait_until("calls to the new upstream", LIMIT, async || {
        let runs = control.runs().await;
        runs.is_ok_and(|runs| !runs.is_empty())
    })
    .await?;
    report.replaced_upstreams += 1;
    report.replaced_daemons += 1;
    Ok(())
}

/// Replaces a daemon that callers use; they turn to its successor first.
async fn replace_caller(
    fleet: &mut Fleet,
    i: usize,
    callers: &Callers,
    report: &mut Report,
) -> Result<(), Error> {
    let vm = VmSpec::new(&format!("c-{i}"), "morava-a", "cz-morava");
    let started = fleet.start_daemon(vm).await?;
    let address = fleet.daemons[started].caller;
    wait_until("answers of the new daemon", LIMIT, async || {
        let answer = Caller::default().get(address, HOST, "/proofs/1").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await?;
    {
        let mut callers = lock(callers);
        callers.remove(0);
        callers.push(address);
    }
    // Calls are in flight at the stop, but no caller sends a new one.
    let daemon = fleet.daemons.remove(0);
    report.failed_stops += usize::from(!daemon.process.stop(LIMIT).await?.success());
    report.replaced_daemons += 1;
    Ok(())
}

/// Adds finished runs by key.
fn collect(ran: &[standin::Run], runs: &mut HashMap<String, u32>) {
    for key in ran.iter().filter_map(|run| run.key.clone()) {
        *runs.entry(key).or_default() += 1;
    }
}

fn judge(ended: &[Ended], runs: &HashMap<String, u32>, report: &mut Report) {
    for call in ended {
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
        let false_good = call.is_good() && ran.is_none();
        let false_refusal = outcome == Some("not-run") && ran.is_some();
        report.false_answers += usize::from(false_good || false_refusal);
    }
    report.keys_run = runs.len();
    report.max_runs = runs.values().copied().max().unwrap_or(0);
}
