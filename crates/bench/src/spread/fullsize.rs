//! Memory, processor time and bytes of one daemon that holds the full-size state.

use std::sync::atomic::Ordering;
use std::time::Duration;

use clap::Args as ClapArgs;
use harness::{Error, Fleet, VmSpec};
use member::LinkId;
use serde::Serialize;
use table::Table;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::fullsize_parent::{DOMAIN, Parent};
use super::fullsize_usage::Usage;
use crate::report::{self, Micros};

/// Longest wait until the daemon holds the state.
const LIMIT: Duration = Duration::from_secs(60);

/// Time for the daemon to come to rest after it holds the state.
const REST: Duration = Duration::from_secs(5);

/// Single changes and records whose processor time is measured in this process.
const SINGLE: u64 = 500;

/// Size of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Upstreams, one record each.
    #[arg(long, default_value_t = 17_000)]
    upstreams: usize,
    /// Length of each part, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Rates of one part, in events a second.
#[derive(Debug, Clone, Copy, Serialize)]
struct Rates {
    /// Changes of the configuration.
    changes: f64,
    /// Membership records: 1,000 replacements of five records a day, and a night that halves the
    /// fleet, come to 0.65.
    records: f64,
}

/// Parts of the run.
const PARTS: [(&str, Rates); 3] = [
    (
        "idle",
        Rates {
            changes: 0.0,
            records: 0.0,
        },
    ),
    (
        "mean",
        Rates {
            changes: 0.5,
            records: 0.65,
        },
    ),
    (
        "burst",
        Rates {
            changes: 10.0,
            records: 10.0,
        },
    ),
];

#[derive(Debug, Serialize)]
struct Report {
    bench: &'static str,
    upstreams: usize,
    part: &'static str,
    rates: Rates,
    seconds: u64,
    cpu_percent: f64,
    resident_kib: u64,
    anonymous_kib: u64,
    peak_kib: u64,
    threads: u64,
    received_bytes_per_s: f64,
    sent_bytes_per_s: f64,
}

#[derive(Debug, Serialize)]
struct Single {
    bench: &'static str,
    upstreams: usize,
    /// Length of one change's canonical bytes.
    change_bytes: usize,
    /// Length of all items, as a checkpoint holds them.
    state_bytes: usize,
    install_us: u64,
    change_us: Micros,
    record_us: Micros,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["bench"]).await?;
    let parent = Parent::open(fleet.kv.address).await?;
    parent.fill(args.upstreams);
    let version = parent.accept_all().await?;
    report::print(&single(&args, &parent).await?);
    let mut spec = VmSpec::new("full", DOMAIN, "region-0");
    spec.fleet = "relays = 1".into();
    fleet.start_daemon(spec).await?;
    fleet.wait_serving(version, LIMIT).await?;
    sleep(REST).await;
    let id = fleet.daemons[0].process.id().unwrap_or_default();
    let mut event = 0;
    for (part, rates) in PARTS {
        let before = Usage::read(id)?;
        let received = parent.bytes.received.load(Ordering::Relaxed);
        let sent = parent.bytes.sent.load(Ordering::Relaxed);
        generate(&parent, &args, rates, &mut event).await?;
        let after = Usage::read(id)?;
        let seconds = args.seconds as f64;
        let rate = |now: u64, then: u64| (now - then) as f64 / seconds;
        report::print(&Report {
            bench: "fullsize",
            upstreams: args.upstreams,
            part,
            rates,
            seconds: args.seconds,
            cpu_percent: (after.cpu - before.cpu) * 100.0 / seconds,
            resident_kib: after.resident,
            anonymous_kib: after.anonymous,
            peak_kib: after.peak,
            threads: after.threads,
            received_bytes_per_s: rate(parent.bytes.received.load(Ordering::Relaxed), received),
            sent_bytes_per_s: rate(parent.bytes.sent.load(Ordering::Relaxed), sent),
        });
    }
    let head = parent.ledger.head().await;
    let head = head.map_err(|error| Error::Call(error.to_string()))?;
    fleet.wait_serving(head.version, LIMIT).await
}

/// Makes changes and records at the given rates for one part.
async fn generate(
    parent: &Parent,
    args: &Args,
    rates: Rates,
    event: &mut u64,
) -> Result<(), Error> {
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let changes = async {
        let mut ticks = every(rates.changes);
        let mut change = *event;
        loop {
            ticks.tick().await;
            change += 1;
            let id = format!("part-{change}");
            if let Err(error) = parent.accept(change as usize, change, &id).await {
                return error;
            }
        }
    };
    let records = async {
        let mut ticks = every(rates.records);
        let mut counter = *event + 1;
        loop {
            ticks.tick().await;
            counter += 1;
            let i = (counter.wrapping_mul(7_919) % args.upstreams as u64) as usize;
            parent.touch(i, counter);
        }
    };
    let result = tokio::select! {
        () = tokio::time::sleep_until(end) => Ok(()),
        error = changes, if rates.changes > 0.0 => Err(error),
        () = records, if rates.records > 0.0 => Ok(()),
    };
    *event += 10_000;
    result
}

/// Returns ticks at `rate` a second; the first one comes at once.
fn every(rate: f64) -> tokio::time::Interval {
    let period = Duration::from_secs_f64(1.0 / rate.max(0.001));
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Measures single changes and records in a table of this process.
async fn single(args: &Args, parent: &Parent) -> Result<Single, Error> {
    let fail = |error: &dyn std::fmt::Display| Error::Call(error.to_string());
    let table = Table::open(std::sync::Arc::new(member::Members::open(
        parent.table.members().own(),
    )));
    table.merge(parent.table.members().all(), LinkId(1));
    let tip = parent.ledger.head().await.map_err(|error| fail(&error))?;
    let change = tip.change.as_ref().ok_or_else(|| fail(&"no version"))?;
    let started = Instant::now();
    let installed = table.install(table::FullVersion {
        change: change.to_bytes().into(),
        state: tip.state.clone(),
    });
    installed.map_err(|error| fail(&error))?;
    let install_us = started.elapsed().as_micros() as u64;
    let pieces = tip.state.items();
    let state_bytes = pieces.map(|(_, piece)| piece.to_json().len()).sum();
    let mut change_bytes = 0;
    let mut change_us = report::histogram();
    let mut record_us = report::histogram();
    for i in 0..SINGLE {
        parent
            .accept(i as usize, 1_000_000 + i, &format!("single-{i}"))
            .await?;
        let tip = parent.ledger.head().await.map_err(|error| fail(&error))?;
        let change = tip.change.as_ref().ok_or_else(|| fail(&"no version"))?;
        let bytes = change.to_bytes();
        change_bytes = bytes.len();
        let started = Instant::now();
        table.apply(&[bytes]).map_err(|error| fail(&error))?;
        change_us.saturating_record(started.elapsed().as_micros() as u64);
        let mut record = table.members().all().swap_remove(i as usize);
        record.counter += 1_000;
        record.slots += 1;
        let started = Instant::now();
        table.merge(vec![record], LinkId(1));
        record_us.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(Single {
        bench: "fullsize_single",
        upstreams: args.upstreams,
        change_bytes,
        state_bytes,
        install_us,
        change_us: Micros::from(&change_us),
        record_us: Micros::from(&record_us),
    })
}
