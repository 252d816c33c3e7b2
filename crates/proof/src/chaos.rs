//! Randomised runs: faults drawn from a seed, injected during calls and accepts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::check::{Violation, check};
use crate::client::{Agent, CallKind};
use crate::history::{CallResult, History};
use crate::schedule::{Action, Schedule, VMS};
use crate::test_fleet::{Error, HANG_LIMIT, TestFleet};

/// Teams of a run.
const TEAMS: [&str; 2] = ["red", "blue"];

/// Mean pause of a caller between two calls; pauses are uniform from 0 to twice this.
const MEAN_CALL_PAUSE_MS: u64 = 25;

/// Mean pause of an operator between two accepts; pauses are uniform from 0 to twice this.
const MEAN_ACCEPT_PAUSE_MS: u64 = 300;

/// Pause between two readings of the execution counts; the head is read four times as often.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of concurrent operators.
const OPERATOR_COUNT: u64 = 3;

/// Result of a randomised run.
#[derive(Debug)]
pub struct ChaosReport {
    /// Seed.
    pub seed: u64,
    /// Faults injected.
    pub faults: usize,
    /// Injected actions with their times, one a line.
    pub schedule: String,
    /// Recorded history.
    pub history: History,
    /// Rule violations.
    pub violations: Vec<Violation>,
    /// Logs of the daemons, in the order of their VMs; empty without violations.
    pub logs: Vec<String>,
}

/// State shared by the callers and operators.
#[derive(Debug, Default)]
struct Workload {
    stopped: AtomicBool,
    next_stamp: AtomicU64,
}

/// Runs the fault schedule of `seed` and checks the history.
///
/// # Errors
///
/// Fails if a process cannot be started or does not respond after all faults have ended.
pub async fn run(seed: u64) -> Result<ChaosReport, Error> {
    let schedule = Schedule::draw(seed);
    let mut fleet = start_fleet().await?;
    let workload = Arc::new(Workload::default());
    let mut tasks = spawn_workload(&fleet, &workload, seed)?;
    inject(&mut fleet, &schedule).await?;
    workload.stopped.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    fleet.await_convergence(HANG_LIMIT).await?;
    let history = fleet.collect().await?;
    let violations = check(&history);
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => VMS.iter().map(|vm| fleet.log(vm.name)).collect(),
    };
    Ok(ChaosReport {
        seed,
        faults: schedule.faults,
        schedule: schedule.to_string(),
        history,
        violations,
        logs,
    })
}

/// Starts the fleet of a run and waits until the first configuration of each team is in force.
async fn start_fleet() -> Result<TestFleet, Error> {
    let mut fleet = TestFleet::open(&TEAMS).await?;
    for vm in &VMS {
        fleet.start(vm.name, vm.domain, vm.team).await?;
    }
    for (i, team) in TEAMS.iter().enumerate() {
        let agent = fleet.agent(VMS[0].name)?;
        agent.accept(team, 0, &format!("first-{i}")).await?;
    }
    fleet.await_convergence(HANG_LIMIT).await?;
    fleet.recorder().history().final_versions.clear();
    Ok(fleet)
}

/// Applies the actions of `schedule` at their times and records the execution counts in between.
async fn inject(fleet: &mut TestFleet, schedule: &Schedule) -> Result<(), Error> {
    let start = Instant::now();
    for (at, action) in &schedule.actions {
        let due = start + Duration::from_millis(*at);
        while Instant::now() + OBSERVE_INTERVAL < due {
            sleep(OBSERVE_INTERVAL).await;
            fleet.record_run_counts().await;
        }
        sleep_until(due).await;
        apply(fleet, action).await?;
    }
    sleep(OBSERVE_INTERVAL).await;
    fleet.record_run_counts().await;
    Ok(())
}

async fn apply(fleet: &mut TestFleet, action: &Action) -> Result<(), Error> {
    match action {
        Action::Kill(vm) => fleet.kill(vm).await,
        Action::Restart(vm) => fleet.restart(vm).await,
        Action::Freeze(vm) => fleet.freeze(vm),
        Action::Thaw(vm) => fleet.thaw(vm),
        Action::Stop(vm) => fleet.begin_stop(vm),
        Action::Cut(vm, point) => fleet.cut(vm, *point),
        Action::Heal(vm, point) => fleet.heal(vm, *point),
        Action::Store(fault) => {
            fleet
                .set_store_faults(|faults| fault.apply_to(faults))
                .await
        }
        Action::Drain(vm) => {
            // A drain may be refused during other faults. Then it is not recorded, and the rule for
            // drains does not apply.
            let _ = fleet.drain(vm, vm).await;
            Ok(())
        }
    }
}

fn spawn_workload(
    fleet: &TestFleet,
    workload: &Arc<Workload>,
    seed: u64,
) -> Result<JoinSet<()>, Error> {
    let mut agents = Vec::new();
    for vm in &VMS {
        agents.push(fleet.agent(vm.name)?);
    }
    let mut tasks = JoinSet::new();
    for i in 0..agents.len() {
        let rng = StdRng::seed_from_u64(seed ^ (i as u64 + 1) << 32);
        tasks.spawn(run_caller(i, agents.clone(), Arc::clone(workload), rng));
    }
    for i in 0..OPERATOR_COUNT {
        let rng = StdRng::seed_from_u64(seed ^ (i + 101) << 32);
        tasks.spawn(run_operator(i, agents.clone(), Arc::clone(workload), rng));
    }
    tasks.spawn(poll_head(agents, Arc::clone(workload)));
    Ok(tasks)
}

/// Sends calls through one daemon; sends a call that did not run again through a random daemon.
async fn run_caller(index: usize, agents: Vec<Agent>, workload: Arc<Workload>, mut rng: StdRng) {
    let mut calls = JoinSet::new();
    for i in 0_u64.. {
        if workload.stopped.load(Ordering::Relaxed) {
            break;
        }
        let agent = agents[index].clone();
        let other = agents[rng.random_range(0..agents.len())].clone();
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let kind = if rng.random() {
            CallKind::Idempotent
        } else {
            CallKind::NonIdempotent
        };
        let id = format!("{index}-{i}");
        calls.spawn(async move {
            if agent.call(team, kind, &id).await == CallResult::NotRun {
                other.call(team, kind, &id).await;
            }
        });
        while calls.try_join_next().is_some() {}
        let pause = rng.random_range(0..MEAN_CALL_PAUSE_MS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
    while calls.join_next().await.is_some() {}
}

/// Sends accepts to random daemons, each with a new id.
async fn run_operator(operator: u64, agents: Vec<Agent>, workload: Arc<Workload>, mut rng: StdRng) {
    for i in 0_u64.. {
        if workload.stopped.load(Ordering::Relaxed) {
            return;
        }
        let agent = &agents[rng.random_range(0..agents.len())];
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let stamp = 1 + workload.next_stamp.fetch_add(1, Ordering::Relaxed);
        // The history holds the result.
        let _ = agent.accept(team, stamp, &format!("{operator}-{i}")).await;
        let pause = rng.random_range(0..MEAN_ACCEPT_PAUSE_MS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn poll_head(agents: Vec<Agent>, workload: Arc<Workload>) {
    for agent in agents.iter().cycle() {
        if workload.stopped.load(Ordering::Relaxed) {
            return;
        }
        // A read without response is not recorded.
        let _ = tokio::time::timeout(OBSERVE_INTERVAL, agent.read_head()).await;
        sleep(OBSERVE_INTERVAL / 4).await;
    }
}
