//! Fleet set-up and process statistics for the benchmarks of the call path.

use std::fs;
use std::time::Duration;

use harness::{Caller, Error, Fleet, Process, VmSpec, wait_until};
use model::{Millis, Priority};
use plan::Plan;
use standin::Behaviour;

use crate::call::load::HOST;

/// Time-out for each change of the fleet: start, stop and convergence.
pub(crate) const FLEET_TIMEOUT: Duration = Duration::from_secs(30);

/// Duration of a clock tick in `/proc`, in microseconds.
const TICK_US: u64 = 10_000;

/// Starts a fleet that serves the benchmark's configuration.
///
/// It has `vms` VMs in one failure domain, each with a daemon. Those from index `first_upstream`
/// on also have an upstream. Waits until every daemon routes calls.
pub(crate) async fn open(vms: usize, first_upstream: usize) -> Result<Fleet, Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for i in 0..vms {
        let vm = VmSpec::new(&format!("a-{i}"), "morava-a", "cz-morava");
        let daemon = fleet.start_daemon(vm).await?;
        if i >= first_upstream {
            fleet.start_upstream(daemon, "proofdesk").await?;
        }
    }
    let id = "bench".parse().expect("a valid id");
    let accepted = fleet.accept(0, &config(), &id).await?;
    fleet.wait_serving(accepted.version, FLEET_TIMEOUT).await?;
    for daemon in &fleet.daemons {
        wait_until(
            "a successful call through every daemon",
            FLEET_TIMEOUT,
            async || {
                let caller = Caller::default();
                let response = caller.get(daemon.caller, HOST, "/proofs/1").await;
                response.is_ok_and(|response| response.status.is_success())
            },
        )
        .await?;
    }
    // Lets membership settle and the slow start of the upstreams end.
    tokio::time::sleep(Duration::from_secs(6)).await;
    Ok(fleet)
}

/// Returns the configuration: idempotent routes of three priorities, and a route for notices that
/// is not idempotent.
fn config() -> String {
    let plan = || -> Result<String, plan::PlanError> {
        let mut plan = Plan::new("redakce")?;
        let service = plan.service("proofdesk")?.add();
        let pool = plan.pool("proofs", &service)?;
        for (path, priority) in [
            ("/proofs", Priority::Normal),
            ("/low", Priority::Low),
            ("/high", Priority::High),
        ] {
            plan.route(&path[1..], HOST, model::PathMatch::Prefix(path.into()))?
                .to(&pool, 1)
                .timeout_ms(2_000)
                .priority(priority)
                .add();
        }
        plan.route("notices", HOST, model::PathMatch::Prefix("/notices".into()))?
            .to(&pool, 1)
            .timeout_ms(5_000)
            .idempotent(false)
            .add();
        plan.to_json()
    };
    plan().expect("the plan is valid")
}

/// Returns the processor time that a process has used, in microseconds.
pub(crate) fn cpu_time_us(process: &Process) -> u64 {
    let stat = process
        .id()
        .and_then(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .unwrap_or_default();
    // The process name in parentheses may contain spaces; user and system time are fields 12 and
    // 13 after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<u64>().ok())
        .sum::<u64>()
        * TICK_US
}

/// Returns the machine's load average over one minute, which shows what else ran during the
/// benchmark.
pub(crate) fn machine_load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

/// Returns the behaviour of an upstream that serves each call in `millis` milliseconds.
pub(crate) fn serving_in(millis: u64) -> Behaviour {
    Behaviour {
        service_time: Millis::new(millis),
        ..Behaviour::default()
    }
}
