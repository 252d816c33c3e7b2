//! The baseline: every daemon watches the store and reads the whole configuration.

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
use super::workload::{Workload, fail};
use crate::report::{self, Micros};

/// Key whose write tells of a new version.
const HEAD: &str = "baseline/head";

/// Prefix of the parts of the configuration.
const PARTS: &str = "baseline/part/";

/// Largest part, in bytes.
const PART_BYTES: usize = 900_000;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Longest wait for one version on every client.
const LIMIT: Duration = Duration::from_secs(60);

/// What the baseline costs.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    changes: u64,
    converge_us: Micros,
    bytes_per_client_per_change: u64,
    store_calls: Counts,
}

/// Runs `clients` that each follow the store on their own, through `changes`.
pub(crate) async fn run(
    address: SocketAddr,
    control: &ControlClient,
    clients: usize,
    changes: u64,
    workload: &mut Workload,
) -> Result<Report, Error> {
    let store = GrpcStore::open(address);
    write(&store, &workload.json()?).await?;
    let bytes = Arc::new(AtomicU64::new(0));
    let (sender, mut seen) = mpsc::channel(clients);
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let store = GrpcStore::open(address);
        tasks.spawn(follow(store, Arc::clone(&bytes), sender.clone()));
    }
    wait_all(&mut seen, clients).await?;
    bytes.store(0, Ordering::Relaxed);
    let before = control.counts().await?;
    let mut histogram = report::histogram();
    for _ in 0..changes {
        let json = workload.change()?;
        let started = Instant::now();
        write(&store, &json).await?;
        record_all(&mut seen, clients, started, &mut histogram).await?;
    }
    let after = control.counts().await?;
    tasks.abort_all();
    let all = bytes.load(Ordering::Relaxed);
    Ok(Report {
        changes,
        converge_us: Micros::from(&histogram),
        bytes_per_client_per_change: all / (clients as u64 * changes),
        store_calls: probe::calls(&before, &after),
    })
}

async fn write(store: &GrpcStore, json: &str) -> Result<(), Error> {
    for (i, part) in json.as_bytes().chunks(PART_BYTES).enumerate() {
        let key = format!("{PARTS}{i}");
        let put = store.put(&key, part.to_vec(), Expect::Any, None).await;
        put.map_err(fail)?;
    }
    let put = store.put(HEAD, Vec::new(), Expect::Any, None).await;
    put.map_err(fail).map(drop)
}

/// Reads the whole configuration at each write of the head.
async fn follow(store: GrpcStore, bytes: Arc<AtomicU64>, seen: mpsc::Sender<()>) {
    let mut after = Revision(0);
    loop {
        let Ok(changes) = store.watch(HEAD, after, WATCH_WAIT).await else {
            continue;
        };
        after = changes.revision;
        if changes.entries.is_empty() {
            continue;
        }
        let Ok(parts) = store.list(PARTS, "", 64).await else {
            continue;
        };
        let size: usize = parts.iter().map(|part| part.value.len()).sum();
        bytes.fetch_add(size as u64, Ordering::Relaxed);
        if seen.send(()).await.is_err() {
            return;
        }
    }
}

async fn wait_all(seen: &mut mpsc::Receiver<()>, clients: usize) -> Result<(), Error> {
    let mut unused = report::histogram();
    record_all(seen, clients, Instant::now(), &mut unused).await
}

async fn record_all(
    seen: &mut mpsc::Receiver<()>,
    clients: usize,
    started: Instant,
    histogram: &mut Histogram<u64>,
) -> Result<(), Error> {
    for _ in 0..clients {
        let told = timeout(LIMIT, seen.recv()).await;
        told.map_err(|_| Error::Timeout("the baseline's version on every client".into()))?;
        histogram.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(())
}
