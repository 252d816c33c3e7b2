//! Goodput, latency and refusals from half of the capacity to three times of it, against callers
//! that call the upstreams in turn and repeat what fails.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet};
use serde::Serialize;
use standin::Behaviour;

use crate::call::bed::{self, machine_load, taking};
use crate::call::load::{self, Ask, Ended};
use crate::report::{self, Micros};

/// Slots of one upstream.
const SLOTS: u64 = 12;

/// Upstreams.
const UPSTREAMS: u64 = 2;

/// Time of one call, in milliseconds.
const SERVICE_MS: u64 = 50;

/// Time within which an answer is worth something, as the routes of the benchmark say.
const WORTH: Duration = Duration::from_secs(2);

/// Offered load, in tenths of the capacity.
const FACTORS: [u64; 6] = [5, 8, 10, 15, 20, 30];

/// Routes by priority.
const PATHS: [&str; 3] = ["/high/1", "/proofs/1", "/low/1"];

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Length of each part, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    side: &'static str,
    /// Offered load in multiples of the capacity.
    offered: f64,
    capacity_per_s: u64,
    goodput_per_s: f64,
    /// Good answers by priority, high first.
    good: [Micros; 3],
    refused: u64,
    refused_by_kind: BTreeMap<String, u64>,
    refusals_us: Micros,
    /// Calls without any answer, or with one that came too late.
    lost: u64,
    machine_load: f64,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let fleet = bed::open(1 + UPSTREAMS as usize, 1).await?;
    set(&fleet, taking(SERVICE_MS)).await?;
    let ingress = fleet.daemons[0].caller;
    for factor in FACTORS {
        let ended = part(&args, factor, move |i| {
            Ask::get(ingress, PATHS[(i % 3) as usize])
        });
        print("path", factor, &args, &ended.await?);
    }
    let addresses: Vec<SocketAddr> = fleet.upstreams.iter().map(|one| one.address).collect();
    for factor in FACTORS {
        let queueing = Behaviour {
            queue: true,
            ..taking(SERVICE_MS)
        };
        set(&fleet, queueing).await?;
        let addresses = addresses.clone();
        let ended = part(&args, factor, move |i| Ask {
            timeout: WORTH,
            retries: 2,
            ..Ask::get(
                addresses[(i / 3 % UPSTREAMS) as usize],
                PATHS[(i % 3) as usize],
            )
        });
        print("baseline", factor, &args, &ended.await?);
        // What still waits is done at once, so that the next part begins empty.
        let instant = Behaviour {
            queue: true,
            ..taking(0)
        };
        set(&fleet, instant).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

async fn set(fleet: &Fleet, behaviour: Behaviour) -> Result<(), Error> {
    for upstream in &fleet.upstreams {
        upstream.control.set_behaviour(&behaviour).await?;
    }
    Ok(())
}

/// Returns the calls that the upstreams can run in a second.
const fn capacity() -> u64 {
    SLOTS * UPSTREAMS * 1_000 / SERVICE_MS
}

async fn part(
    args: &Args,
    factor: u64,
    ask: impl FnMut(u64) -> Ask + Send + 'static,
) -> Result<Vec<Ended>, Error> {
    let time = Duration::from_secs(args.seconds);
    load::run(capacity() * factor / 10, time, ask).await
}

fn print(side: &'static str, factor: u64, args: &Args, ended: &[Ended]) {
    let mut good = [
        report::histogram(),
        report::histogram(),
        report::histogram(),
    ];
    let mut refusals = report::histogram();
    let mut kinds = BTreeMap::new();
    let mut lost = 0;
    for call in ended {
        let micros = call.latency.as_micros() as u64;
        if call.is_good() && call.latency <= WORTH {
            good[(call.number % 3) as usize].saturating_record(micros);
        } else if call.outcome.as_deref() == Some("not-run") {
            refusals.saturating_record(micros);
            let kind = call.kind.clone().unwrap_or_default();
            *kinds.entry(kind).or_insert(0) += 1;
        } else {
            lost += 1;
        }
    }
    let answered: u64 = good.iter().map(|one| one.len()).sum();
    report::print(&Report {
        bench: "overload",
        side,
        offered: factor as f64 / 10.0,
        capacity_per_s: capacity(),
        goodput_per_s: answered as f64 / args.seconds as f64,
        good: good.each_ref().map(Micros::from),
        refused: refusals.len(),
        refused_by_kind: kinds,
        refusals_us: Micros::from(&refusals),
        lost,
        machine_load: machine_load(),
    });
}
