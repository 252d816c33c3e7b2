//! The running distribution of one daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use member::UpstreamState;
use model::{Millis, Secret, Version};
use prometheus::Registry;
use rand::RngExt;
use slog::{Logger, info, warn};
use store::{Error, Put, Store};
use table::Table;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until};
use wire::FleetKey;

use crate::config::Installer;
use crate::keeper::{Keeper, Step};
use crate::members::{self, Directory};
use crate::metrics::State;
use crate::peers::Exchange;
use crate::polls::Polls;
use crate::topic::{Topic, follow};
use crate::{ConfigFormat, SpawnError};

/// Time that a daemon that starts waits for its upstream's first word before it writes its record: a
/// heartbeat and some of its lateness. One record then takes the place of two.
const FIRST_WORD: Duration = Duration::from_millis(2_500);

/// Time between two exchanges with a random peer while the store does not answer.
const AWAY_EXCHANGE: Duration = Duration::from_millis(500);

/// How a daemon follows the store.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Key that the daemons of the fleet share.
    pub key: Secret,
    /// Time that the own record lives in the store without renewal.
    pub lease: Millis,
    /// Mean time between two exchanges with a random peer.
    pub exchange: Millis,
}

/// The running distribution of one daemon.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<Shared>,
    tasks: Vec<AbortHandle>,
}

/// What the tasks of a follower share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) store: Arc<dyn Store>,
    pub(crate) installer: Arc<Installer>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) exchange: Exchange,
    pub(crate) polls: Polls,
    /// Whether the records were read once.
    pub(crate) members_read: AtomicBool,
    /// Whether the store answered the last call of the keeper.
    pub(crate) answering: watch::Sender<bool>,
    /// Ends the keeper, after it wrote that the daemon left.
    leaving: Notify,
    pub(crate) log: Logger,
}

impl Follower {
    /// Starts to follow `store` for `table`, and to answer peers on `listener`.
    ///
    /// # Errors
    ///
    /// Fails if the fleet's key cannot be sent.
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
            followed: Arc::default(),
            key: key.clone(),
            behind: Arc::default(),
            log: log.clone(),
        };
        let shared = Arc::new(Shared {
            store,
            installer: Arc::clone(&exchange.installer),
            directory: Arc::clone(&exchange.directory),
            exchange: exchange.clone(),
            polls: Polls::new(key, log.clone()),
            members_read: AtomicBool::new(false),
            answering: watch::Sender::new(true),
            leaving: Notify::new(),
            log,
        });
        let lease = settings.lease.duration();
        let tasks = vec![
            tokio::spawn(keep(Arc::clone(&shared), lease)).abort_handle(),
            exchange.serve(listener).abort_handle(),
            tokio::spawn(follow(Arc::clone(&shared), Topic::Config(format))).abort_handle(),
            tokio::spawn(follow(Arc::clone(&shared), Topic::Members)).abort_handle(),
            tokio::spawn(exchange.clone().probe_lapsed()).abort_handle(),
            tokio::spawn(exchange_on(Arc::clone(&shared), settings.exchange)).abort_handle(),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns whether a configuration is in force and the membership is known.
    pub fn is_ready(&self) -> bool {
        let has_config = self.shared.installer.version() > Version::default();
        has_config && self.shared.members_read.load(Ordering::Relaxed)
    }

    /// Registers the metrics of the version in force, of the members and of the store.
    ///
    /// # Errors
    ///
    /// Fails if `registry` has them already.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(State::open(Arc::clone(&self.shared))?))
    }

    /// Lets the own record, which says that the daemon left, be written once more.
    ///
    /// The record stays until its lease lapses: daemons that read changes together would otherwise see
    /// only that it is gone, and take the daemon for one that the store has lost.
    pub fn leave(&self) {
        self.shared.leaving.notify_one();
    }

    /// Ends every task and gives the listener back, whoever else still holds the follower.
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
    /// Notes whether the store answers, and logs each change.
    fn note(&self, outcome: Result<(), &Error>) {
        let answers = outcome.is_ok();
        let changed = self.answering.send_if_modified(|answering| {
            let changed = *answering != answers;
            *answering = answers;
            changed
        });
        match outcome {
            _ if !changed => {}
            Ok(()) => info!(self.log, "store regained"),
            Err(error) => warn!(self.log, "store lost"; "error" => %error),
        }
    }
}

/// Keeps the own record in the store until the daemon has said there that it leaves.
async fn keep(shared: Arc<Shared>, ttl: Duration) {
    let mut keeper = Keeper::new(ttl, Instant::now());
    let silent_until = Instant::now() + FIRST_WORD;
    let mut own = shared.directory.table().members().subscribe();
    let mut leaving = false;
    loop {
        own.borrow_and_update();
        let record = shared.directory.table().members().own();
        let now = Instant::now();
        let is_silent = record.state == UpstreamState::Absent && now < silent_until;
        let step = match keeper.next(record.counter, now) {
            Step::Grant if is_silent => Step::Wait(silent_until),
            step => step,
        };
        if let Step::Wait(until) = step {
            if leaving {
                break;
            }
            tokio::select! {
                () = sleep_until(until) => {}
                changed = own.changed() => if changed.is_err() { break },
                () = shared.directory.own_gone.notified() => keeper.lost(),
                () = shared.leaving.notified() => leaving = true,
            }
            continue;
        }
        let result = carry_out_step(&shared, &mut keeper, step, &record, now).await;
        shared.note(result.as_ref().copied());
        match result {
            Ok(()) => {}
            Err(Error::LeaseEnded) => keeper.lost(),
            Err(error) => {
                if matches!(error, Error::Unknown(_)) {
                    keeper.unsettled();
                }
                keeper.failed(rand::rng().random(), Instant::now());
            }
        }
    }
}

async fn carry_out_step(
    shared: &Shared,
    keeper: &mut Keeper,
    step: Step,
    record: &member::Record,
    asked: Instant,
) -> Result<(), Error> {
    let key = members::key(&record.vm);
    match step {
        Step::Wait(_) => {}
        Step::Grant => keeper.granted(shared.store.grant(keeper.ttl()).await?, asked),
        Step::Read => {
            let entry = shared.store.get(&key).await?;
            keeper.settled(entry.as_ref().map(|entry| entry.revision));
            shared.directory.written(entry.as_slice());
        }
        Step::Write { lease, expect } => {
            let value = members::encode(record);
            match shared.store.put(&key, value, expect, Some(lease)).await? {
                Put::Done(revision) => keeper.written(record.counter, revision),
                Put::Conflict => keeper.unsettled(),
            }
        }
        Step::Renew(lease) => {
            let alive = shared.store.renew(lease).await?;
            if !alive {
                info!(shared.log, "own lease lapsed"; "lease" => lease.0);
            }
            keeper.renewed(alive, asked);
        }
    }
    Ok(())
}

/// Exchanges with random peers: now and then, and often while the store does not answer.
async fn exchange_on(shared: Arc<Shared>, mean: Millis) {
    let exchange = &shared.exchange;
    let mut answering = shared.answering.subscribe();
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = match *answering.borrow_and_update() {
            true => mean.duration().mul_f64(jitter),
            false => AWAY_EXCHANGE.mul_f64(jitter),
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = exchange.behind.notified() => {}
            _ = answering.changed() => {}
        }
        if let Some(address) = exchange.random_peer() {
            exchange.with(address).await;
        }
    }
}
