//! Memory, processor time and traffic of one daemon that holds the full-size state.

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
use crate::report::{self, DurationSummary};

/// Time-out for the daemon to serve a version.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time after the daemon serves the state until its usage has settled.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Number of single changes and records that are timed in this process.
const SINGLE_EVENTS: u64 = 500;

/// Parameters of the run.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Number of upstreams, with one membership record each.
    #[arg(long, default_value_t = 17_000)]
    upstreams: usize,
    /// Duration of each part, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
}

/// Event rates of one part, in events per second.
#[derive(Debug, Clone, Copy, Serialize)]
struct Rates {
    /// Configuration changes.
    changes: f64,
    /// Updates of membership records. The mean of 0.65 covers 1,000 replacements per day with five
    /// records each, and a fleet that is halved every night.
    records: f64,
}

/// Parts of the run, with their event rates.
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
struct SingleReport {
    bench: &'static str,
    upstreams: usize,
    /// Size of the canonical encoding of one change.
    change_bytes: usize,
    /// Size of all items, as encoded in a checkpoint.
    state_bytes: usize,
    install_us: u64,
    change_us: DurationSummary,
    record_us: DurationSummary,
}

/// Runs the benchmark.
pub(crate) async fn run(args: Args) -> Result<(), Error> {
    let mut fleet = Fleet::open(&["bench"]).await?;
    let parent = Parent::open(fleet.kv.address).await?;
    parent.add_upstreams(args.upstreams);
    let version = parent.accept_all().await?;
    report::print(&measure_single_events(&args, &parent).await?);
    let mut spec = VmSpec::new("full", DOMAIN, "region-0");
    spec.fleet = "relays = 1".into();
    fleet.start_daemon(spec).await?;
    fleet.wait_serving(version, SERVE_TIMEOUT).await?;
    sleep(SETTLE_TIME).await;
    let id = fleet.daemons[0].process.id().unwrap_or_default();
    let mut first_event = 0;
    for (part, rates) in PARTS {
        let before = Usage::read(id)?;
        let received = parent.bytes.received.load(Ordering::Relaxed);
        let sent = parent.bytes.sent.load(Ordering::Relaxed);
        generate_events(&parent, &args, rates, &mut first_event).await?;
        let after = Usage::read(id)?;
        let seconds = args.seconds as f64;
        let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
        report::print(&Report {
            bench: "fullsize",
            upstreams: args.upstreams,
            part,
            rates,
            seconds: args.seconds,
            cpu_percent: (after.cpu_s - before.cpu_s) * 100.0 / seconds,
            resident_kib: after.resident_kib,
            anonymous_kib: after.anonymous_kib,
            peak_kib: after.peak_kib,
            threads: after.threads,
            received_bytes_per_s: rate(parent.bytes.received.load(Ordering::Relaxed), received),
            sent_bytes_per_s: rate(parent.bytes.sent.load(Ordering::Relaxed), sent),
        });
    }
    let head = parent.ledger.head().await;
    let head = head.map_err(|error| Error::Call(error.to_string()))?;
    fleet.wait_serving(head.version, SERVE_TIMEOUT).await
}

/// Accepts changes and updates records at `rates` for the duration of one part.
///
/// The changes are numbered from `first_event` on, which then advances beyond those of the part.
async fn generate_events(
    parent: &Parent,
    args: &Args,
    rates: Rates,
    first_event: &mut u64,
) -> Result<(), Error> {
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let changes = async {
        let mut ticks = ticks_at(rates.changes);
        let mut change = *first_event;
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
        let mut ticks = ticks_at(rates.records);
        let mut counter = *first_event + 1;
        loop {
            ticks.tick().await;
            counter += 1;
            let i = (counter.wrapping_mul(7_919) % args.upstreams as u64) as usize;
            parent.update_upstream(i, counter);
        }
    };
    let result = tokio::select! {
        () = tokio::time::sleep_until(end) => Ok(()),
        error = changes, if rates.changes > 0.0 => Err(error),
        () = records, if rates.records > 0.0 => Ok(()),
    };
    *first_event += 10_000;
    result
}

/// Returns an interval of `rate` ticks per second, whose first tick is immediate.
fn ticks_at(rate: f64) -> tokio::time::Interval {
    let period = Duration::from_secs_f64(1.0 / rate.max(0.001));
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Times the install of the state, and single changes and records, in a table in this process.
async fn measure_single_events(args: &Args, parent: &Parent) -> Result<SingleReport, Error> {
    let to_error = |error: &dyn std::fmt::Display| Error::Call(error.to_string());
    let table = Table::open(std::sync::Arc::new(member::Members::open(
        parent.table.members().own(),
    )));
    table.merge(parent.table.members().all(), LinkId(1));
    let head = parent
        .ledger
        .head()
        .await
        .map_err(|error| to_error(&error))?;
    let change = head
        .change
        .as_ref()
        .ok_or_else(|| to_error(&"no version"))?;
    let started = Instant::now();
    let installed = table.install(table::FullVersion {
        change: change.to_bytes().into(),
        state: head.state.clone(),
    });
    installed.map_err(|error| to_error(&error))?;
    let install_us = started.elapsed().as_micros() as u64;
    let items = head.state.items();
    let state_bytes = items.map(|(_, hashed)| hashed.to_json().len()).sum();
    let mut change_bytes = 0;
    let mut change_us = report::duration_histogram();
    let mut record_us = report::duration_histogram();
    for i in 0..SINGLE_EVENTS {
        parent
            .accept(i as usize, 1_000_000 + i, &format!("single-{i}"))
            .await?;
        let head = parent
            .ledger
            .head()
            .await
            .map_err(|error| to_error(&error))?;
        let change = head
            .change
            .as_ref()
            .ok_or_else(|| to_error(&"no version"))?;
        let bytes = change.to_bytes();
        change_bytes = bytes.len();
        let started = Instant::now();
        table.apply(&[bytes]).map_err(|error| to_error(&error))?;
        change_us.saturating_record(started.elapsed().as_micros() as u64);
        let mut record = table.members().all().swap_remove(i as usize);
        record.counter += 1_000;
        record.slots += 1;
        let started = Instant::now();
        table.merge(vec![record], LinkId(1));
        record_us.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(SingleReport {
        bench: "fullsize_single",
        upstreams: args.upstreams,
        change_bytes,
        state_bytes,
        install_us,
        change_us: DurationSummary::from(&change_us),
        record_us: DurationSummary::from(&record_us),
    })
}
