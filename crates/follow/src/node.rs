//! Tasks that distribute configuration and membership to one daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use member::UpstreamState;
use model::{Departures, Millis, Secret, Version};
use prometheus::Registry;
use rand::RngExt;
use slog::{Logger, info, warn};
use store::{Era, Error, Expect, Put, Revision, Store};
use table::Table;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wire::{FleetKey, fleet};

use crate::config::Installer;
use crate::keep::{keep, recover};
use crate::members::{self, Directory};
use crate::metrics::FollowerMetrics;
use crate::outdated::outdated;
use crate::peers::Exchange;
use crate::publisher::{Publisher, Step};
use crate::relay_client::RelayClient;
use crate::topic::{Topic, follow};
use crate::topic_state::TopicState;
use crate::{ConfigFormat, SpawnError};

/// Time that a starting daemon waits for the first announcement of its upstream before it writes its
/// record: one heartbeat interval plus delay. Saves a second write of the record.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(2_500);

/// Time after which the configuration in force counts as unconfirmed: longer than a poll that a relay holds, whose
/// confirmation is within its limit.
const CONFIG_OVERDUE: Duration = Duration::from_millis(4_500);

/// Time between two checks whether the configuration in force is confirmed.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Mean time between two exchanges with a random peer while the store does not answer, or nothing confirms the
/// configuration.
const OUTAGE_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Mean time between two checks for entries of VMs that have left. Longer than a daemon that is still there
/// takes to write its record again.
const RETIRE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Settings of a [`Follower`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// Shared key of the fleet's daemons.
    pub key: Secret,
    /// Lifetime of the local record in the store without renewal.
    pub lease: Millis,
    /// Mean time between two exchanges with a random peer.
    pub exchange: Millis,
}

/// Running distribution tasks of one daemon.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    tasks: Vec<AbortHandle>,
}

/// State shared by the tasks of a follower.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) installer: Arc<Installer>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) exchange: Exchange,
    pub(crate) relay_client: RelayClient,
    /// Whether the records have been read at least once.
    pub(crate) members_read: AtomicBool,
    /// Whether the publisher's last call to the store succeeded.
    pub(crate) store_up: watch::Sender<bool>,
    /// Counter of the local record that was last written to the store.
    pub(crate) written: watch::Sender<u64>,
    /// Whether what earlier daemons on this VM acknowledged is known.
    pub(crate) recovered: watch::Sender<bool>,
    /// Ends the publisher after it has written the departure of the daemon.
    leaving: Notify,
    pub(crate) log: Logger,
}

impl Follower {
    /// Starts to follow `store` for `table`, and to serve peers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if a header cannot carry the fleet's key.
    pub fn spawn(
        settings: Settings,
        listener: TcpListener,
        table: Arc<Table>,
        store: Arc<dyn Store>,
        format: Arc<dyn ConfigFormat>,
        log: Logger,
    ) -> Result<Self, SpawnError> {
        let key = FleetKey::new(settings.key.clone()).ok_or(SpawnError::Key)?;
        let installer = Installer::new(Arc::clone(&format), Arc::clone(&table), log.clone());
        let exchange = Exchange {
            directory: Arc::new(Directory::new(table, log.clone())),
            installer: Arc::new(installer),
            topics: Arc::default(),
            key: key.clone(),
            newer_offered: Arc::default(),
            members_known: Arc::default(),
            log: log.clone(),
        };
        let shared = Arc::new(Shared {
            store,
            installer: Arc::clone(&exchange.installer),
            directory: Arc::clone(&exchange.directory),
            exchange: exchange.clone(),
            relay_client: RelayClient::new(key, log.clone()),
            members_read: AtomicBool::new(false),
            store_up: watch::Sender::new(true),
            written: watch::Sender::new(0),
            recovered: watch::Sender::new(false),
            leaving: Notify::new(),
            log,
        });
        let lease = settings.lease.duration();
        let tasks = vec![
            tokio::spawn(publish_record(Arc::clone(&shared), lease)).abort_handle(),
            exchange.serve(listener).abort_handle(),
            tokio::spawn(follow(Arc::clone(&shared), Topic::Config(format))).abort_handle(),
            tokio::spawn(follow(Arc::clone(&shared), Topic::Members)).abort_handle(),
            tokio::spawn(exchange.clone().probe_suspects()).abort_handle(),
            tokio::spawn(retire_outdated(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(report_unconfirmed(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(recover(Arc::clone(&shared))).abort_handle(),
            tokio::spawn(exchange_periodically(
                Arc::clone(&shared),
                settings.exchange,
            ))
            .abort_handle(),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns whether a configuration is in force and the membership is known.
    pub fn is_ready(&self) -> bool {
        let has_config = self.shared.installer.version() > Version::default();
        has_config && self.shared.members_read.load(Ordering::Relaxed)
    }

    /// Waits until what earlier daemons on this VM acknowledged is known, or cannot be found any more.
    pub async fn recovered(&self) {
        let mut recovered = self.shared.recovered.subscribe();
        // The sender lives as long as `self`.
        let _ = recovered.wait_for(|recovered| *recovered).await;
    }

    /// Waits until the local record with `counter` is kept where a daemon that starts on this VM finds it.
    pub async fn keep(&self, counter: u64) {
        keep(&self.shared, counter).await;
    }

    /// Registers metrics on the version in force, the members and the store.
    ///
    /// # Errors
    ///
    /// Fails if the metrics are already registered.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(FollowerMetrics::open(Arc::clone(&self.shared))?))
    }

    /// Stops the publisher once it has written the local record, which states the departure.
    ///
    /// The record stays in the store until its lease expires. If it were deleted, daemons that read both
    /// changes at once would see only the deletion, and treat the entry as lost by the store.
    pub fn leave(&self) {
        self.shared.leaving.notify_one();
    }

    /// Aborts every task and releases the listener, even while other references to the follower exist.
    pub fn close(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.close();
    }
}

impl Shared {
    /// Returns whether this daemon follows a topic in the store, rather than through relays.
    fn follows_store(&self) -> bool {
        let topics = &self.exchange.topics;
        topics.iter().any(TopicState::follows_store)
    }

    /// Returns the time since the configuration in force was last known to be the newest.
    pub(crate) fn config_unconfirmed(&self) -> Option<Duration> {
        let confirmed = self.exchange.topic_state(fleet::Topic::Config).confirmed();
        confirmed.map(|at| at.elapsed())
    }

    /// Returns whether the configuration in force was lately known to be the newest.
    fn is_config_confirmed(&self) -> bool {
        self.config_unconfirmed()
            .is_some_and(|age| age < CONFIG_OVERDUE)
    }

    /// Records the outcome of a store call, and logs when the store is lost or regained.
    fn set_store_up(&self, outcome: Result<(), &Error>) {
        let is_up = outcome.is_ok();
        let changed = self.store_up.send_if_modified(|store_up| {
            let changed = *store_up != is_up;
            *store_up = is_up;
            changed
        });
        match outcome {
            _ if !changed => {}
            Ok(()) => info!(self.log, "store regained"),
            Err(error) => warn!(self.log, "store lost"; "error" => %error),
        }
    }
}

/// Keeps the local record in the store until the departure of the daemon has been written.
async fn publish_record(shared: Arc<Shared>, ttl: Duration) {
    let mut publisher = Publisher::new(ttl, Instant::now());
    let announcement_deadline = Instant::now() + ANNOUNCEMENT_WAIT;
    let mut membership = shared.directory.table().members().subscribe();
    let mut reads = shared
        .exchange
        .topic_state(fleet::Topic::Members)
        .subscribe();
    let mut leaving = false;
    loop {
        membership.borrow_and_update();
        publisher.set_follows_store(shared.follows_store());
        let record = shared.directory.table().members().own();
        let now = Instant::now();
        let awaits_announcement =
            record.state == UpstreamState::Absent && now < announcement_deadline;
        // A departure is acknowledged only once it is kept.
        let awaits_announcement = awaits_announcement && record.departures == Departures::default();
        let step = match publisher.next(record.counter, now) {
            Step::Grant if awaits_announcement => Step::Wait(announcement_deadline),
            step => step,
        };
        if let Step::Wait(until) = step {
            if leaving {
                break;
            }
            tokio::select! {
                () = sleep_until(until) => {}
                changed = membership.changed() => if changed.is_err() { break },
                () = shared.directory.local_deleted.notified() => publisher.lease_lost(),
                era = restored(&mut reads, publisher.era()) => {
                    info!(shared.log, "store came back from a copy; the lease is void"; "era" => %era);
                    publisher.lease_lost();
                }
                () = shared.leaving.notified() => leaving = true,
            }
            continue;
        }
        let result = execute_step(&shared, &mut publisher, step, &record, now).await;
        shared.set_store_up(result.as_ref().copied());
        match result {
            Ok(()) => {}
            Err(Error::LeaseEnded | Error::Restored) => publisher.lease_lost(),
            Err(error) => {
                if matches!(error, Error::Unknown(_)) {
                    publisher.mark_key_unknown();
                }
                publisher.failed(rand::rng().random(), Instant::now());
            }
        }
    }
}

/// Waits for a read of the store in a later era than that of the lease, and returns the era of the read.
async fn restored(reads: &mut watch::Receiver<Revision>, lease: Option<Era>) -> Era {
    let later = |read: &Revision| lease.is_some_and(|lease| read.era > lease);
    let era = reads.wait_for(later).await.map(|read| read.era);
    match era {
        Ok(era) => era,
        Err(_) => std::future::pending().await,
    }
}

async fn execute_step(
    shared: &Shared,
    publisher: &mut Publisher,
    step: Step,
    record: &member::Record,
    requested_at: Instant,
) -> Result<(), Error> {
    let key = members::key(&record.vm);
    match step {
        Step::Wait(_) => {}
        Step::Grant => publisher.granted(shared.store.grant(publisher.ttl()).await?, requested_at),
        Step::Read => {
            let entry = shared.store.get(&key).await?;
            publisher.key_read(entry.as_ref().map(|entry| entry.revision));
            shared.directory.apply_writes(entry.as_slice());
        }
        Step::Write { lease, expect } => {
            let value = members::encode(record);
            match shared.store.put(&key, value, expect, Some(lease)).await? {
                Put::Done(revision) => {
                    publisher.written(record.counter, revision);
                    shared.written.send_replace(record.counter);
                }
                Put::Conflict => publisher.mark_key_unknown(),
            }
        }
        Step::Renew(lease) => {
            let renewal = shared.store.renew(lease);
            let alive = match publisher.renewal_timeout() {
                Some(limit) => timeout(limit, renewal).await.unwrap_or_else(|_| {
                    Err(Error::Unavailable("no answer to a renewal in time".into()))
                })?,
                None => renewal.await?,
            };
            if !alive {
                info!(shared.log, "own lease lapsed"; "lease" => %lease);
            }
            publisher.renewed(alive, requested_at);
        }
    }
    Ok(())
}

/// Deletes the entries of VMs that left while the store was away, so that no daemon that starts uses them.
///
/// An entry is deleted if two checks find it, at the revision that was found. A VM that is still there
/// writes its entry again.
async fn retire_outdated(shared: Arc<Shared>) {
    let mut found = Vec::new();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        sleep(RETIRE_INTERVAL.mul_f64(jitter)).await;
        let before = std::mem::take(&mut found);
        if !shared.follows_store() || !*shared.store_up.borrow() {
            continue;
        }
        let state = shared.exchange.topic_state(fleet::Topic::Members);
        let members = shared.directory.table().members().all();
        found = outdated(&members, |key| state.entry(key));
        for (vm, revision) in found.iter().filter(|entry| before.contains(entry)) {
            let key = members::key(vm);
            match shared.store.delete(&key, Expect::At(*revision)).await {
                Ok(Put::Done(_)) => info!(shared.log, "entry of a VM that left deleted";
                    "member" => %vm, "revision" => %revision),
                Ok(Put::Conflict) => info!(shared.log, "entry of a VM that left has changed";
                    "member" => %vm, "revision" => %revision),
                Err(error) => warn!(shared.log, "entry of a VM that left stays for now";
                    "member" => %vm, "error" => %error),
            }
        }
    }
}

/// Logs when the configuration in force is no longer known to be the newest, and when it is again.
async fn report_unconfirmed(shared: Arc<Shared>) {
    let mut was_confirmed = true;
    loop {
        sleep(REPORT_INTERVAL).await;
        let is_confirmed = shared.is_config_confirmed();
        if is_confirmed == was_confirmed {
            continue;
        }
        was_confirmed = is_confirmed;
        let version = shared.installer.version();
        match is_confirmed {
            true => info!(shared.log, "version confirmed again"; "in_force" => %version),
            false => {
                warn!(shared.log, "version unconfirmed; neither relays nor the store answer for it";
                "in_force" => %version, "store_up" => *shared.store_up.borrow(),
                "confirmed_ms_ago" => shared.config_unconfirmed().map(|age| age.as_millis() as u64))
            }
        }
    }
}

/// Exchanges with random peers, more often while the store does not answer or the configuration is unconfirmed.
async fn exchange_periodically(shared: Arc<Shared>, mean: Millis) {
    let exchange = &shared.exchange;
    let mut store_up = shared.store_up.subscribe();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        let is_store_up = *store_up.borrow_and_update();
        let pause = match is_store_up && shared.is_config_confirmed() {
            true => mean.duration().mul_f64(jitter),
            false => OUTAGE_EXCHANGE_INTERVAL.mul_f64(jitter),
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = exchange.newer_offered.notified() => {}
            _ = store_up.changed() => {}
        }
        if let Some(address) = exchange.random_peer() {
            exchange.exchange_with(address).await;
        }
    }
}
