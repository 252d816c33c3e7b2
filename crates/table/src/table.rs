//! The version in force and its snapshot.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use member::{LinkId, Members, Record};
use model::{
    Change, ConnectionLimits, Digest, Key, Problem, Problems, State, StateError, Version, lock,
    validate, validate_changed,
};
use tokio::sync::watch;

use crate::compile::{compile, refresh};
use crate::history::History;
use crate::snapshot::Snapshot;
use crate::step::step;

/// Changed items up to which a snapshot is made from the one before it; beyond, it is compiled anew.
const MAX_STEP_KEYS: usize = 64;

/// Why a version was not put in force. The one in force stays.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ApplyError {
    /// The version does not follow the one in force; the versions between are needed first.
    #[error("version {offered} does not follow version {held}; fetch what lies between")]
    Gap {
        /// Version in force.
        held: Version,
        /// Version offered.
        offered: Version,
    },
    /// The bytes are no change.
    #[error("a change cannot be read ({0}); check that both daemons run one release")]
    Unreadable(String),
    /// The change does not lead to the state that it promises.
    #[error(transparent)]
    State(#[from] StateError),
    /// The version cannot be served.
    #[error("version {version} cannot be served:\n{problems}")]
    Invalid {
        /// Version offered.
        version: Version,
        /// What is wrong with it.
        problems: Problems,
    },
}

/// What became of an offered version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Applied {
    /// It is now in force.
    Now(Version),
    /// One at least as new was in force already; nothing changed.
    Stale,
}

/// A whole version.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Its change, as canonical bytes.
    pub change: Arc<[u8]>,
    /// Every item of it.
    pub state: State,
}

/// The version in force, under one lock.
#[derive(Debug)]
struct Inner {
    version: Version,
    digest: Digest,
    state: State,
    change: Arc<[u8]>,
    history: History,
}

/// The version in force of one daemon, and the snapshot that its calls use.
#[derive(Debug)]
pub struct Table {
    members: Arc<Members>,
    inner: Mutex<Inner>,
    current: ArcSwap<Snapshot>,
    version: watch::Sender<Version>,
}

impl Table {
    /// Opens a table without any version.
    pub fn open(members: Arc<Members>) -> Self {
        Self {
            members,
            inner: Mutex::new(Inner {
                version: Version::default(),
                digest: Digest::ZERO,
                state: State::empty(),
                change: Arc::from([]),
                history: History::default(),
            }),
            current: ArcSwap::from_pointee(Snapshot::empty()),
            version: watch::Sender::new(Version::default()),
        }
    }

    /// Returns the snapshot in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.current.load_full()
    }

    /// Returns the membership that the snapshots are made from.
    pub fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Returns a receiver that sees each newer version.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Puts the newest of `changes` in force, given as canonical bytes, oldest first.
    ///
    /// Changes that are in force already are passed over.
    ///
    /// # Errors
    ///
    /// On every error the version in force stays, whole.
    pub fn apply<B: AsRef<[u8]>>(&self, changes: &[B]) -> Result<Applied, ApplyError> {
        let mut inner = self.lock();
        let mut state = inner.state.clone();
        let mut version = inner.version;
        let mut digest = inner.digest;
        let mut steps = Vec::new();
        let mut keys = BTreeSet::new();
        for bytes in changes {
            let bytes = bytes.as_ref();
            let change = read(bytes)?;
            if change.version <= version {
                continue;
            }
            if change.parent != digest || change.version != version.next() {
                return Err(ApplyError::Gap {
                    held: version,
                    offered: change.version,
                });
            }
            state = state.apply(&change)?;
            version = change.version;
            digest = Digest::of(bytes);
            keys.extend(change.entries.iter().map(|entry| entry.key.clone()));
            steps.push((change, Arc::<[u8]>::from(bytes)));
        }
        let Some((last, bytes)) = steps.last() else {
            return Ok(Applied::Stale);
        };
        let whole = Whole {
            change: Arc::clone(bytes),
            state,
        };
        let limits = self.snapshot().limits;
        self.serve(&mut inner, whole, last, Some(&keys), limits)?;
        for (change, bytes) in steps {
            inner.history.push(change.version, change.parent, bytes);
        }
        Ok(Applied::Now(version))
    }

    /// Puts a whole version in force, whatever lies between.
    ///
    /// # Errors
    ///
    /// On every error the version in force stays, whole.
    pub fn install(&self, whole: Whole) -> Result<Applied, ApplyError> {
        let limits = self.snapshot().limits;
        self.install_with(whole, limits)
    }

    /// Puts a whole version in force together with limits on callers' connections.
    ///
    /// # Errors
    ///
    /// On every error the version and the limits in force stay, whole.
    pub fn install_with(
        &self,
        whole: Whole,
        limits: ConnectionLimits,
    ) -> Result<Applied, ApplyError> {
        let change = read(&whole.change)?;
        let found = whole.state.root();
        if found != change.root {
            return Err(ApplyError::State(StateError::Root {
                stated: change.root,
                found,
            }));
        }
        let mut inner = self.lock();
        if change.version <= inner.version {
            return Ok(Applied::Stale);
        }
        self.serve(&mut inner, whole, &change, None, limits)?;
        inner.history.clear();
        Ok(Applied::Now(change.version))
    }

    /// Merges membership records that came over `link`, and returns those that were news.
    pub fn merge(&self, records: Vec<Record>, link: LinkId) -> Vec<Record> {
        let _inner = self.lock();
        let old = self.members.known(&records);
        let news = self.members.merge(records, link);
        self.refresh(&old, &news);
        news
    }

    /// Writes this daemon's own membership record anew.
    pub fn announce(&self, update: impl FnOnce(&mut Record)) {
        let _inner = self.lock();
        let old = self.members.own();
        let record = self.members.announce(update);
        self.refresh(&[old], &[record]);
    }

    /// Marks the record of `vm` as expired, if its writer did not write since.
    pub fn expire(&self, vm: &model::VmId) {
        let _inner = self.lock();
        let record = self.members.expire(vm);
        self.refresh(&[], record.as_slice());
    }

    /// Returns the canonical bytes of the changes after `version`, whose change has `digest`.
    ///
    /// Returns `None` if they are no longer all kept.
    pub fn since(&self, version: Version, digest: Digest) -> Option<Vec<Arc<[u8]>>> {
        let inner = self.lock();
        if version >= inner.version {
            return Some(Vec::new());
        }
        inner.history.since(version, digest)
    }

    /// Returns the version in force, whole; `None` before the first.
    pub fn whole(&self) -> Option<Whole> {
        let inner = self.lock();
        if inner.version == Version::default() {
            return None;
        }
        Some(Whole {
            change: Arc::clone(&inner.change),
            state: inner.state.clone(),
        })
    }

    /// Swaps in the snapshot of `whole`; `inner` changes only if it compiles.
    ///
    /// Only the items under `keys` changed, where they are given.
    fn serve(
        &self,
        inner: &mut Inner,
        whole: Whole,
        change: &Change,
        keys: Option<&BTreeSet<Key>>,
        limits: ConnectionLimits,
    ) -> Result<(), ApplyError> {
        let version = change.version;
        let digest = Digest::of(&whole.change);
        let old = self.current.load();
        let compiled = match keys.filter(|keys| keys.len() <= MAX_STEP_KEYS) {
            Some(keys) => checked(validate_changed(&whole.state, keys))
                .and_then(|()| step(&old, &whole.state, keys, &self.members)),
            None => checked(validate(&whole.state))
                .and_then(|()| compile(&old, &whole.state, &self.members)),
        };
        let mut snapshot =
            compiled.map_err(|problems| ApplyError::Invalid { version, problems })?;
        snapshot.version = version;
        snapshot.digest = digest;
        snapshot.limits = limits;
        inner.version = version;
        inner.digest = digest;
        inner.state = whole.state;
        inner.change = whole.change;
        self.current.store(Arc::new(snapshot));
        self.version.send_replace(version);
        Ok(())
    }

    /// Swaps in a snapshot with the upstreams of every service that `news` touches.
    fn refresh(&self, old: &[Record], news: &[Record]) {
        let touched = |record: &&Record| news.iter().any(|new| new.vm == record.vm);
        let before = old.iter().filter(touched);
        let services: BTreeSet<_> = before
            .chain(news)
            .filter_map(|record| record.service.clone())
            .collect();
        if services.is_empty() {
            return;
        }
        let mut snapshot = (*self.current.load_full()).clone();
        for service in &services {
            snapshot = refresh(&snapshot, service, &self.members);
        }
        self.current.store(Arc::new(snapshot));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn checked(problems: Vec<Problem>) -> Result<(), Problems> {
    match problems.is_empty() {
        true => Ok(()),
        false => Err(Problems(problems)),
    }
}

fn read(bytes: &[u8]) -> Result<Change, ApplyError> {
    Change::from_bytes(bytes).map_err(|error| ApplyError::Unreadable(error.to_string()))
}
