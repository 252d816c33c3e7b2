//! Baseline without distribution between daemons: every client watches the store and reads the
//! whole configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use harness::Error;
use hdrhistogram::Histogram;
use serde::Serialize;
use standin::{ControlClient, Counts};
use store::{Expect, GrpcStore, Revision, Store};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::probe;
use super::workload::{Workload, to_error};
use crate::report::{self, DurationSummary};

/// Key that is written after each new version and that the clients watch.
const HEAD_KEY: &str = "baseline/head";

/// Key prefix of the parts of the configuration.
const PARTS_PREFIX: &str = "baseline/part/";

/// Largest size of a part, in bytes.
const MAX_PART_BYTES: usize = 900_000;

/// Longest wait of one watch request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time-out for each client to receive a version.
const VERSION_TIMEOUT: Duration = Duration::from_secs(60);

/// Cost of the baseline.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    changes: u64,
    converge_us: DurationSummary,
    bytes_per_client_per_change: u64,
    store_calls: Counts,
}

/// Runs `clients` clients that each watch the store while `changes` changes are written.
pub(crate) async fn run(
    address: SocketAddr,
    control: &ControlClient,
    clients: usize,
    changes: u64,
    workload: &mut Workload,
) -> Result<Report, Error> {
    let store = GrpcStore::open(address);
    write_config(&store, &workload.json()?).await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let (sender, mut received) = mpsc::channel(clients);
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let store = GrpcStore::open(address);
        tasks.spawn(run_client(store, Arc::clone(&bytes), sender.clone()));
    }
    wait_received(&mut received, clients).await?;
    bytes.store(0, Ordering::Relaxed);
    let before = control.counts().await?;
    let mut histogram = report::duration_histogram();
    for _ in 0..changes {
        let json = workload.change()?;
        let started = Instant::now();
        write_config(&store, &json).await?;
        record_received(&mut received, clients, started, &mut histogram).await?;
    }
    let after = control.counts().await?;
    tasks.abort_all();
    let total = bytes.load(Ordering::Relaxed);
    Ok(Report {
        changes,
        converge_us: DurationSummary::from(&histogram),
        bytes_per_client_per_change: total / (clients as u64 * changes),
        store_calls: probe::calls_between(&before, &after),
    })
}

/// Writes the configuration in parts, then the head.
async fn write_config(store: &GrpcStore, json: &str) -> Result<(), Error> {
    for (i, part) in json.as_bytes().chunks(MAX_PART_BYTES).enumerate() {
        let key = format!("{PARTS_PREFIX}{i}");
        let put = store.put(&key, part.to_vec(), Expect::Any, None).await;
        put.map_err(to_error)?;
    }
    let put = store.put(HEAD_KEY, Vec::new(), Expect::Any, None).await;
    put.map_err(to_error).map(drop)
}

/// Reads the whole configuration after each write of the head and reports each read.
async fn run_client(store: GrpcStore, bytes: Arc<AtomicU64>, received: mpsc::Sender<()>) {
    let mut after = Revision::ZERO;
    loop {
        let Ok(changes) = store.watch(HEAD_KEY, after, MAX_WATCH_WAIT).await else {
            continue;
        };
        after = changes.revision;
        if changes.entries.is_empty() {
            continue;
        }
        let Ok(parts) = store.list(PARTS_PREFIX, "", 64).await else {
            continue;
        };
        let size: usize = parts.iter().map(|part| part.value.len()).sum();
        bytes.fetch_add(size as u64, Ordering::Relaxed);
        if received.send(()).await.is_err() {
            return;
        }
    }
}

async fn wait_received(received: &mut mpsc::Receiver<()>, clients: usize) -> Result<(), Error> {
    let mut unused = report::duration_histogram();
    record_received(received, clients, Instant::now(), &mut unused).await
}

/// Waits until all clients have read the version; records the time that each took.
async fn record_received(
    received: &mut mpsc::Receiver<()>,
    clients: usize,
    started: Instant,
    histogram: &mut Histogram<u64>,
) -> Result<(), Error> {
    for _ in 0..clients {
        let result = timeout(VERSION_TIMEOUT, received.recv()).await;
        result.map_err(|_| Error::Timeout("the baseline's version on every client".into()))?;
        histogram.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(())
}
