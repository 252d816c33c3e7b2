//! Fleets for the benchmarks of the call path.

use std::fs;
use std::time::Duration;

use harness::{Caller, Error, Fleet, Process, VmSpec, wait_until};
use model::{Millis, Priority};
use plan::Plan;
use standin::Behaviour;

use crate::call::load::HOST;

/// Longest wait for the fleet.
pub(crate) const LIMIT: Duration = Duration::from_secs(30);

/// Time of one tick in `/proc`, in microseconds.
const TICK_US: u64 = 10_000;

/// Starts `count` VMs with a daemon each in one failure domain, and upstreams on those from
/// `first` on, and puts the plan in force.
pub(crate) async fn open(count: usize, first: usize) -> Result<Fleet, Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for i in 0..count {
        let vm = VmSpec::new(&format!("a-{i}"), "morava-a", "cz-morava");
        let daemon = fleet.start_daemon(vm).await?;
        if i >= first {
            fleet.start_upstream(daemon, "proofdesk").await?;
        }
    }
    let id = "bench".parse().expect("a valid id");
    let accepted = fleet.accept(0, &config(), &id).await?;
    fleet.wait_serving(accepted.version, LIMIT).await?;
    for daemon in &fleet.daemons {
        wait_until("knowledge of every upstream", LIMIT, async || {
            let caller = Caller::default();
            let answer = caller.get(daemon.caller, HOST, "/proofs/1").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await?;
    }
    // Membership and the cold starts settle.
    tokio::time::sleep(Duration::from_secs(6)).await;
    Ok(fleet)
}

/// Returns the configuration: reads of three priorities, and notices that run once.
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
pub(crate) fn processor_us(process: &Process) -> u64 {
    let stat = process
        .id()
        .and_then(|id| fs::read_to_string(format!("/proc/{id}/stat")).ok())
        .unwrap_or_default();
    // The name in parentheses may hold spaces; user and system time are 11 fields after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|field| field.parse::<u64>().ok())
        .sum::<u64>()
        * TICK_US
}

/// Returns the machine's load average over one minute: what else ran beside the benchmark.
pub(crate) fn machine_load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}

/// Returns the behaviour of an upstream that takes `millis` for each call.
pub(crate) fn taking(millis: u64) -> Behaviour {
    Behaviour {
        service_time: Millis::new(millis),
        ..Behaviour::default()
    }
}
