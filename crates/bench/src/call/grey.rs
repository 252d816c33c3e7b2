//! Upstreams that announce themselves as ready while one is ten times slower, one fails every call
//! and one refuses every call; against callers that call the upstreams in turn.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Behaviour;
use tokio::time::{Instant, sleep, sleep_until};

use crate::call::bed::{self, machine_load, taking};
use crate::call::load::{self, Ask, Ended};

/// Upstreams; the first three turn bad.
const UPSTREAMS: usize = 6;

/// Time of one call, in milliseconds.
const SERVICE_MS: u64 = 20;

/// Time of one call on the slow upstream, in milliseconds.
const SLOW_MS: u64 = 200;

/// Latency from which a good answer counts as hit.
const HIT_LATENCY: Duration = Duration::from_millis(100);

/// When the upstreams turn bad, from the start.
const BAD_AT: Duration = Duration::from_secs(3);

/// When they are well again.
const WELL_AT: Duration = Duration::from_secs(11);

/// End of the load.
const END: Duration = Duration::from_secs(31);

/// Window in which the share of calls hit is looked at.
const WINDOW: Duration = Duration::from_millis(500);

/// Share of calls hit in a window below which the bad ones count as set aside.
const QUIET_SHARE: f64 = 0.05;

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Calls a second.
    #[arg(long, default_value_t = 300)]
    rate: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    side: &'static str,
    rate: u64,
    calls_while_bad: usize,
    /// Calls that failed or took long while three of six upstreams were bad.
    hit: usize,
    hit_percent: f64,
    /// Time until fewer than one call in twenty was hit.
    aside_ms: Option<u64>,
    /// Time after the recovery until each of the three ran 20 calls again.
    back_ms: [Option<u64>; 3],
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = bed::open(1 + UPSTREAMS, 1).await?;
    let ingress = fleet.daemons[0].caller;
    side("path", &fleet, &args, move |_| {
        Ask::get(ingress, "/proofs/1")
    })
    .await?;
    let addresses: Vec<SocketAddr> = fleet.upstreams.iter().map(|one| one.address).collect();
    side("baseline", &fleet, &args, move |i| {
        Ask::get(addresses[i as usize % UPSTREAMS], "/proofs/1")
    })
    .await
}

async fn side(
    side: &'static str,
    fleet: &Fleet,
    args: &Args,
    ask: impl FnMut(u64) -> Ask + Send + 'static,
) -> Result<(), Error> {
    for upstream in &fleet.upstreams {
        upstream.control.set_behaviour(&taking(SERVICE_MS)).await?;
    }
    let start = Instant::now();
    let load = tokio::spawn(load::run(args.rate, END, ask));
    sleep_until(start + BAD_AT).await;
    let bad = [
        taking(SLOW_MS),
        Behaviour {
            fail: true,
            ..taking(SERVICE_MS)
        },
        Behaviour {
            refuse: true,
            ..taking(SERVICE_MS)
        },
    ];
    for (upstream, behaviour) in fleet.upstreams.iter().zip(&bad) {
        upstream.control.set_behaviour(behaviour).await?;
    }
    sleep_until(start + WELL_AT).await;
    for upstream in &fleet.upstreams[..bad.len()] {
        upstream.control.set_behaviour(&taking(SERVICE_MS)).await?;
    }
    let back_ms = watch_return(fleet, start + END).await?;
    let ended = load
        .await
        .map_err(|error| Error::Call(error.to_string()))??;
    let bad: Vec<&Ended> = ended
        .iter()
        .filter(|call| (BAD_AT..WELL_AT).contains(&call.at))
        .collect();
    let hit = bad.iter().filter(|call| is_hit(call)).count();
    crate::report::print(&Report {
        bench: "grey",
        side,
        rate: args.rate,
        calls_while_bad: bad.len(),
        hit,
        hit_percent: 100.0 * hit as f64 / bad.len().max(1) as f64,
        aside_ms: aside_ms(&bad),
        back_ms,
        machine_load: machine_load(),
    });
    Ok(())
}

fn is_hit(call: &Ended) -> bool {
    !call.is_good() || call.latency >= HIT_LATENCY
}

/// Returns the time until the first window with few calls hit.
fn aside_ms(bad: &[&Ended]) -> Option<u64> {
    let mut from = BAD_AT;
    while from < WELL_AT {
        let window = bad
            .iter()
            .filter(|call| (from..from + WINDOW).contains(&call.at));
        let calls = window.clone().count();
        let hit = window.filter(|call| is_hit(call)).count();
        if (hit as f64) < QUIET_SHARE * calls as f64 {
            return Some((from - BAD_AT).as_millis() as u64);
        }
        from += WINDOW;
    }
    None
}

/// Returns when each of the bad upstreams ran calls in earnest again, until `end`.
async fn watch_return(fleet: &Fleet, end: Instant) -> Result<[Option<u64>; 3], Error> {
    let well = Instant::now();
    let mut before = [0; 3];
    let mut back = [None; 3];
    for (i, upstream) in fleet.upstreams.iter().take(3).enumerate() {
        before[i] = upstream.control.runs().await?.len();
    }
    while Instant::now() + WINDOW < end {
        sleep(WINDOW).await;
        for (i, upstream) in fleet.upstreams.iter().take(3).enumerate() {
            let runs = upstream.control.runs().await?.len();
            if back[i].is_none() && runs >= before[i] + 20 {
                back[i] = Some(well.elapsed().as_millis() as u64);
            }
        }
    }
    Ok(back)
}
