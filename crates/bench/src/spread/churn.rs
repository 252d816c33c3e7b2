//! Upstreams that are drained, stopped and replaced while calls are made.

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

use super::probe::{self, FLEET_TIMEOUT, Traffic};
use super::workload::to_error;
use crate::report::{self, DurationSummary};

/// Host of the calls.
const HOST: &str = "redakce.brno.example";

/// Path of the calls.
const PATH: &str = "/proofs/7";

/// Service of the upstreams.
const SERVICE: &str = "proofdesk";

/// Pause of each caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(5);

/// Time after a drain in which the upstream is watched for new calls.
const DRAIN_WATCH_TIME: Duration = Duration::from_secs(2);

/// Interval between two polls of a draining upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Restarts per day of the whole fleet at the design size.
const RESTARTS_PER_DAY: f64 = 1_000.0;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// Time-out for an upstream to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of daemons, each with an upstream.
    #[arg(long, default_value_t = 15)]
    daemons: usize,
    /// Number of failure domains that the daemons are spread over.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Number of upstreams that are replaced, one after the other.
    #[arg(long, default_value_t = 10)]
    events: usize,
    /// Number of tasks that call continuously, through all daemons in turn.
    #[arg(long, default_value_t = 4)]
    callers: usize,
    /// Seed of the choice of upstreams.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    seed: u64,
    daemons: usize,
    events: usize,
    /// Time from the response to the drain request until the last increase of the upstream's runs.
    last_work_us: DurationSummary,
    calls: u64,
    /// Calls without a success response.
    failed_calls: u64,
    bytes_per_daemon_per_event: Traffic,
    idle_bytes_per_daemon_s: Traffic,
    /// Bytes per second that one daemon would transfer at the event rate of the design size.
    design_rate_bytes_s: f64,
    ten_times_bytes_s: f64,
}

/// State shared by the callers.
#[derive(Debug, Default)]
struct CallCounts {
    total: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["redakce"]).await?;
    for i in 0..args.daemons {
        let daemon = fleet.start_daemon(probe::vm_spec(i, args.domains)).await?;
        fleet.start_upstream(daemon, SERVICE).await?;
    }
    let config = plan::brno()
        .map_err(to_error)?
        .to_json()
        .map_err(to_error)?;
    let id = "churn".parse().map_err(to_error)?;
    let accepted = fleet.accept(0, &config, &id).await?;
    probe::wait_converged(&fleet, args.daemons, accepted.version.get()).await?;
    sleep(Duration::from_secs(3)).await;

    let idle_s = 10.0;
    let before = probe::byte_counts(&fleet).await?;
    sleep(Duration::from_secs_f64(idle_s)).await;
    let after = probe::byte_counts(&fleet).await?;
    let idle = Traffic::between(&before, &after, idle_s);

    let calls = Arc::new(CallCounts::default());
    let mut callers = spawn_callers(&fleet, &args, &calls);
    let mut rng = StdRng::seed_from_u64(args.seed);
    let mut last_work = report::duration_histogram();
    let before = probe::byte_counts(&fleet).await?;
    let started = Instant::now();
    for _ in 0..args.events {
        let index = rng.random_range(0..args.daemons);
        replace_upstream(&mut fleet, index, &mut last_work).await?;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = probe::byte_counts(&fleet).await?;
    calls.stop.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}

    let mut traffic = Traffic::between(&before, &after, args.events as f64);
    let background = (idle.mean as f64 * seconds / args.events as f64) as u64;
    traffic.mean = traffic.mean.saturating_sub(background);
    let design_rate = traffic.mean as f64 * RESTARTS_PER_DAY / DAY_S;
    report::print(&Report {
        bench: "churn",
        seed: args.seed,
        daemons: args.daemons,
        events: args.events,
        last_work_us: DurationSummary::from(&last_work),
        calls: calls.total.load(Ordering::Relaxed),
        failed_calls: calls.failed.load(Ordering::Relaxed),
        bytes_per_daemon_per_event: traffic,
        idle_bytes_per_daemon_s: idle,
        design_rate_bytes_s: design_rate,
        ten_times_bytes_s: design_rate * 10.0,
    });
    Ok(())
}

/// Starts tasks that call through all daemons until `calls.stop` is set.
fn spawn_callers(fleet: &Fleet, args: &Args, calls: &Arc<CallCounts>) -> JoinSet<()> {
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
                let response = caller.get(address, HOST, PATH).await;
                let succeeded = response.is_ok_and(|response| response.status.is_success());
                calls.total.fetch_add(1, Ordering::Relaxed);
                calls
                    .failed
                    .fetch_add(u64::from(!succeeded), Ordering::Relaxed);
                sleep(CALL_PAUSE).await;
            }
        });
    }
    tasks
}

/// Drains and stops the upstream on the VM of one daemon and starts a new one.
///
/// Records the time from the drain until the last new call.
async fn replace_upstream(
    fleet: &mut Fleet,
    index: usize,
    last_work: &mut Histogram<u64>,
) -> Result<(), Error> {
    let vm = fleet.daemons[index].spec.vm.clone();
    let position = fleet.upstreams.iter().position(|up| up.vm == vm);
    let upstream = fleet
        .upstreams
        .remove(position.ok_or_else(|| to_error("no upstream on the daemon's VM"))?);
    let client = fleet.daemons[index].client();
    client.drain(&vm.parse().map_err(to_error)?).await?;
    let drained = Instant::now();
    let mut runs = upstream.control.runs().await?.len();
    let mut last = Duration::ZERO;
    while drained.elapsed() < DRAIN_WATCH_TIME {
        let now = upstream.control.runs().await?.len();
        if now > runs {
            last = drained.elapsed();
            runs = now;
        }
        sleep(POLL_INTERVAL).await;
    }
    last_work.saturating_record(last.as_micros() as u64);
    upstream.process.stop(STOP_TIMEOUT).await?;
    fleet.start_upstream(index, SERVICE).await?;
    let control = &fleet.upstreams[fleet.upstreams.len() - 1].control;
    harness::wait_until("a call on the new upstream", FLEET_TIMEOUT, async || {
        control.runs().await.is_ok_and(|runs| !runs.is_empty())
    })
    .await
}
