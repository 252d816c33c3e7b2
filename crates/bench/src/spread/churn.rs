//! Upstreams that drain, stop and start again, under calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Caller, Error, Fleet};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::probe::{self, LIMIT, Load};
use super::workload::fail;
use crate::report::{self, Micros};

/// Host, path and service of the calls.
const HOST: &str = "redakce.brno.example";
const PATH: &str = "/proofs/7";
const SERVICE: &str = "proofdesk";

/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// Time for which new work is looked for after a drain.
const WATCH: Duration = Duration::from_secs(2);

/// Pause between two looks at the work of a draining upstream.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Restarts a day of the whole fleet at the design size.
const RESTARTS_A_DAY: f64 = 1_000.0;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Longest wait for a stopped upstream.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Daemons to start, each with an upstream.
    #[arg(long, default_value_t = 15)]
    daemons: usize,
    /// Failure domains to spread the daemons over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Upstreams that drain, stop and start, one after the other.
    #[arg(long, default_value_t = 10)]
    events: usize,
    /// Tasks that call through all daemons all the time.
    #[arg(long, default_value_t = 4)]
    callers: usize,
    /// Seed of the events.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    daemons: usize,
    events: usize,
    /// From the drain's answer until the upstream ran its last new call.
    last_work_us: Micros,
    calls: u64,
    /// Calls that were not answered with success.
    failed_calls: u64,
    bytes_per_daemon_per_event: Load,
    idle_bytes_per_daemon_s: Load,
    /// Bytes a second that one daemon would move for the events of the design size.
    design_rate_bytes_s: f64,
    ten_times_bytes_s: f64,
}

/// Counts of the callers.
#[derive(Debug, Default)]
struct Calls {
    all: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for i in 0..args.daemons {
        let daemon = fleet.start_daemon(probe::spec(i, args.domains)).await?;
        fleet.start_upstream(daemon, SERVICE).await?;
    }
    let config = plan::brno().map_err(fail)?.to_json().map_err(fail)?;
    let id = "churn".parse().map_err(fail)?;
    let accepted = fleet.accept(0, &config, &id).await?;
    probe::wait_counted(&fleet, args.daemons, accepted.version.get()).await?;
    sleep(Duration::from_secs(3)).await;

    let idle_s = 10.0;
    let before = probe::bytes(&fleet).await?;
    sleep(Duration::from_secs_f64(idle_s)).await;
    let after = probe::bytes(&fleet).await?;
    let idle = Load::between(&before, &after, idle_s);

    let calls = Arc::new(Calls::default());
    let mut callers = callers(&fleet, &args, &calls);
    let mut rng = StdRng::seed_from_u64(args.seed);
    let mut last_work = report::histogram();
    let before = probe::bytes(&fleet).await?;
    let began = Instant::now();
    for _ in 0..args.events {
        let index = rng.random_range(0..args.daemons);
        event(&mut fleet, index, &mut last_work).await?;
    }
    let seconds = began.elapsed().as_secs_f64();
    let after = probe::bytes(&fleet).await?;
    calls.stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}

    let mut load = Load::between(&before, &after, args.events as f64);
    let anyhow = (idle.mean as f64 * seconds / args.events as f64) as u64;
    load.mean = load.mean.saturating_sub(anyhow);
    let design = load.mean as f64 * RESTARTS_A_DAY / DAY_S;
    report::print(&Report {
        bench: "churn",
        seed: args.seed,
        daemons: args.daemons,
        events: args.events,
        last_work_us: Micros::from(&last_work),
        calls: calls.all.load(Ordering::Relaxed),
        failed_calls: calls.failed.load(Ordering::Relaxed),
        bytes_per_daemon_per_event: load,
        idle_bytes_per_daemon_s: idle,
        design_rate_bytes_s: design,
        ten_times_bytes_s: design * 10.0,
    });
    Ok(())
}

/// Calls through all daemons until told to stop.
fn callers(fleet: &Fleet, args: &Args, calls: &Arc<Calls>) -> JoinSet<()> {
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let mut tasks = JoinSet::new();
    for i in 0..args.callers {
        let addresses = addresses.clone();
        let calls = Arc::clone(calls);
        tasks.spawn(async move {
            let caller = Caller::default();
            let mut next = i;
            while !calls.stop.load(Ordering::Relaxed) {
                let address = addresses[next % addresses.len()];
                next += 1;
                let answer = caller.get(address, HOST, PATH).await;
                let done = answer.is_ok_and(|answer| answer.status.is_success());
                calls.all.fetch_add(1, Ordering::Relaxed);
                calls.failed.fetch_add(u64::from(!done), Ordering::Relaxed);
                sleep(CALL_PAUSE).await;
            }
        });
    }
    tasks
}

/// Drains the upstream beside one daemon, stops it, and starts another one.
async fn event(
    fleet: &mut Fleet,
    index: usize,
    last_work: &mut Histogram<u64>,
) -> Result<(), Error> {
    let vm = fleet.daemons[index].spec.vm.clone();
    let place = fleet.upstreams.iter().position(|up| up.vm == vm);
    let upstream = fleet
        .upstreams
        .remove(place.ok_or_else(|| fail("no upstream"))?);
    let client = fleet.daemons[index].client();
    client.drain(&vm.parse().map_err(fail)?).await?;
    let drained = Instant::now();
    let mut runs = upstream.control.runs().await?.len();
    let mut last = Duration::ZERO;
    while drained.elapsed() < WATCH {
        let now = upstream.control.runs().await?.len();
        if now > runs {
            last = drained.elapsed();
            runs = now;
        }
        sleep(LOOK_PAUSE).await;
    }
    last_work.saturating_record(last.as_micros() as u64);
    upstream.process.stop(STOP_LIMIT).await?;
    fleet.start_upstream(index, SERVICE).await?;
    let started = &fleet.upstreams[fleet.upstreams.len() - 1].control;
    harness::wait_until("new work on the new upstream", LIMIT, async || {
        started.runs().await.is_ok_and(|runs| !runs.is_empty())
    })
    .await
}
