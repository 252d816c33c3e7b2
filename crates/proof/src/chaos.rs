//! Randomised runs: faults drawn together from a seed, under calls and accepts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::check::{Violation, check};
use crate::client::{Agent, Kind};
use crate::history::{CallResult, History};
use crate::schedule::{Action, Schedule, VMS};
use crate::world::{Error, HANG_LIMIT, World};

/// Teams of a run.
const TEAMS: [&str; 2] = ["red", "blue"];

/// Mean pause of a caller between two calls, in milliseconds.
const CALL_PAUSE_MS: u64 = 25;

/// Mean pause of an operator between two accepts, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 300;

/// Pause between two looks at the runs and the head.
const LOOK_PAUSE: Duration = Duration::from_millis(400);

/// Operators that race.
const OPERATORS: u64 = 3;

/// What a randomised run saw.
#[derive(Debug)]
pub struct ChaosReport {
    /// Seed.
    pub seed: u64,
    /// Faults injected.
    pub faults: usize,
    /// What was injected and when, one action a line.
    pub schedule: String,
    /// What was recorded.
    pub history: History,
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// Logs of the daemons, in the order of their VMs; empty if nothing was broken.
    pub logs: Vec<String>,
}

/// State that callers and operators share.
#[derive(Debug, Default)]
struct Load {
    ends: AtomicBool,
    stamps: AtomicU64,
}

/// Runs the faults that `seed` draws, and checks the history.
///
/// # Errors
///
/// Fails if a process cannot be started or does not answer after all faults have ended.
pub async fn run(seed: u64) -> Result<ChaosReport, Error> {
    let schedule = Schedule::draw(seed);
    let mut world = open().await?;
    let load = Arc::new(Load::default());
    let mut tasks = spawn_load(&world, &load, seed)?;
    inject(&mut world, &schedule).await?;
    load.ends.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    world.settle(HANG_LIMIT).await?;
    let history = world.collect().await?;
    let violations = check(&history);
    let logs = match violations.is_empty() {
        true => Vec::new(),
        false => VMS.iter().map(|vm| world.log(vm.name)).collect(),
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

/// Starts the fleet of a run, with a first version in force.
async fn open() -> Result<World, Error> {
    let mut world = World::open(&TEAMS).await?;
    for vm in &VMS {
        world.start(vm.name, vm.domain, vm.team).await?;
    }
    for (i, team) in TEAMS.iter().enumerate() {
        let agent = world.agent(VMS[0].name)?;
        agent.accept(team, 0, &format!("first-{i}")).await?;
    }
    world.settle(HANG_LIMIT).await?;
    world.recorder().history().settled.clear();
    Ok(world)
}

/// Does what the schedule says, and looks at the runs in between.
async fn inject(world: &mut World, schedule: &Schedule) -> Result<(), Error> {
    let began = Instant::now();
    for (at, action) in &schedule.actions {
        let due = began + Duration::from_millis(*at);
        while Instant::now() + LOOK_PAUSE < due {
            sleep(LOOK_PAUSE).await;
            world.look_at_runs().await;
        }
        sleep_until(due).await;
        act(world, action).await?;
    }
    sleep(LOOK_PAUSE).await;
    world.look_at_runs().await;
    Ok(())
}

async fn act(world: &mut World, action: &Action) -> Result<(), Error> {
    match action {
        Action::Kill(vm) => world.kill(vm).await,
        Action::Restart(vm) => world.restart(vm).await,
        Action::Freeze(vm) => world.freeze(vm),
        Action::Thaw(vm) => world.thaw(vm),
        Action::Stop(vm) => world.begin_stop(vm),
        Action::Cut(vm, place) => world.cut(vm, *place),
        Action::Heal(vm, place) => world.heal(vm, *place),
        Action::Store(fault) => world.store(|faults| fault.set(faults)).await,
        Action::Drain(vm) => {
            // A drain may be refused while other faults are present; then there is nothing to hold.
            let _ = world.drain(vm, vm).await;
            Ok(())
        }
    }
}

fn spawn_load(world: &World, load: &Arc<Load>, seed: u64) -> Result<JoinSet<()>, Error> {
    let mut agents = Vec::new();
    for vm in &VMS {
        agents.push(world.agent(vm.name)?);
    }
    let mut tasks = JoinSet::new();
    for i in 0..agents.len() {
        let rng = StdRng::seed_from_u64(seed ^ (i as u64 + 1) << 32);
        tasks.spawn(call(i, agents.clone(), Arc::clone(load), rng));
    }
    for i in 0..OPERATORS {
        let rng = StdRng::seed_from_u64(seed ^ (i + 101) << 32);
        tasks.spawn(operate(i, agents.clone(), Arc::clone(load), rng));
    }
    tasks.spawn(read_head(agents, Arc::clone(load)));
    Ok(tasks)
}

/// Calls through one daemon, and again elsewhere where a call was not run.
async fn call(own: usize, agents: Vec<Agent>, load: Arc<Load>, mut rng: StdRng) {
    let mut calls = JoinSet::new();
    for i in 0_u64.. {
        if load.ends.load(Ordering::Relaxed) {
            break;
        }
        let agent = agents[own].clone();
        let other = agents[rng.random_range(0..agents.len())].clone();
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let kind = if rng.random() {
            Kind::Read
        } else {
            Kind::Notice
        };
        let id = format!("{own}-{i}");
        calls.spawn(async move {
            if agent.call(team, kind, &id).await == CallResult::NotRun {
                other.call(team, kind, &id).await;
            }
        });
        while calls.try_join_next().is_some() {}
        let pause = rng.random_range(0..CALL_PAUSE_MS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
    while calls.join_next().await.is_some() {}
}

/// Accepts at random daemons, each accept under an id of its own.
async fn operate(own: u64, agents: Vec<Agent>, load: Arc<Load>, mut rng: StdRng) {
    for i in 0_u64.. {
        if load.ends.load(Ordering::Relaxed) {
            return;
        }
        let agent = &agents[rng.random_range(0..agents.len())];
        let team = TEAMS[rng.random_range(0..TEAMS.len())];
        let stamp = 1 + load.stamps.fetch_add(1, Ordering::Relaxed);
        // The verdict stands in the history.
        let _ = agent.accept(team, stamp, &format!("{own}-{i}")).await;
        let pause = rng.random_range(0..ACCEPT_PAUSE_MS * 2);
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn read_head(agents: Vec<Agent>, load: Arc<Load>) {
    for agent in agents.iter().cycle() {
        if load.ends.load(Ordering::Relaxed) {
            return;
        }
        // A daemon that does not answer has read nothing.
        let _ = tokio::time::timeout(LOOK_PAUSE, agent.read_head()).await;
        sleep(LOOK_PAUSE / 4).await;
    }
}
