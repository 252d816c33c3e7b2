//! The version in force and its snapshot.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use member::{LinkId, Members, Record};
use model::{
    Change, ConnectionLimits, Departures, Digest, Key, Problem, Problems, State, StateError,
    UnixMillis, Version, lock, validate, validate_changed,
};
use tokio::sync::watch;

use crate::compile::{compile, refresh_upstreams};
use crate::history::History;
use crate::incremental::update_snapshot;
use crate::snapshot::Snapshot;

/// Largest number of changed items for which a snapshot is built incrementally; above, it is compiled
/// completely.
const MAX_INCREMENTAL_KEYS: usize = 64;

/// A version could not be put in force. The version in force is unchanged.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum ApplyError {
    /// The version does not directly follow the one in force; the versions between are missing.
    #[error("version {offered} does not follow version {held}; fetch what lies between")]
    Gap {
        /// Version in force.
        held: Version,
        /// Version offered.
        offered: Version,
    },
    /// The bytes cannot be decoded as a change.
    #[error("a change cannot be read ({0}); check that both daemons run one release")]
    Unreadable(String),
    /// The change does not produce the state whose root it declares.
    #[error(transparent)]
    State(#[from] StateError),
    /// The version is invalid.
    #[error("version {version} cannot be served:\n{problems}")]
    Invalid {
        /// Version offered.
        version: Version,
        /// Problems found.
        problems: Problems,
    },
}

/// Outcome of offering a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Applied {
    /// The version is now in force.
    Installed(Version),
    /// A version at least as new was already in force; nothing changed.
    Stale,
}

/// A complete version: its change and the resulting state.
#[derive(Debug, Clone)]
pub struct FullVersion {
    /// Change that produced the version, as canonical bytes.
    pub change: Arc<[u8]>,
    /// All items of the version.
    pub state: State,
}

/// State of a [`Table`] that is protected by its lock.
#[derive(Debug)]
struct Inner {
    version: Version,
    digest: Digest,
    state: State,
    change: Arc<[u8]>,
    history: History,
}

/// The version in force of the local daemon, and the snapshot that its calls use.
#[derive(Debug)]
pub struct Table {
    members: Arc<Members>,
    inner: Mutex<Inner>,
    current: ArcSwap<Snapshot>,
    version: watch::Sender<Version>,
}

impl Table {
    /// Creates a table without a version.
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

    /// Returns the membership that snapshots are built from.
    pub fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Returns a receiver that is notified of each newer version.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Puts the newest of `changes` in force. They are given as canonical bytes, oldest first.
    ///
    /// Changes that are already in force are skipped.
    ///
    /// # Errors
    ///
    /// On any error, the version in force is unchanged.
    pub fn apply<B: AsRef<[u8]>>(&self, changes: &[B]) -> Result<Applied, ApplyError> {
        let mut inner = self.lock();
        let mut state = inner.state.clone();
        let mut version = inner.version;
        let mut digest = inner.digest;
        let mut decoded = Vec::new();
        let mut keys = BTreeSet::new();
        for bytes in changes {
            let bytes = bytes.as_ref();
            let change = decode(bytes)?;
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
            decoded.push((change, Arc::<[u8]>::from(bytes)));
        }
        let Some((last, bytes)) = decoded.last() else {
            return Ok(Applied::Stale);
        };
        let full = FullVersion {
            change: Arc::clone(bytes),
            state,
        };
        let limits = self.snapshot().limits;
        self.swap_snapshot(&mut inner, full, last, Some(&keys), limits)?;
        for (change, bytes) in decoded {
            inner.history.push(change.version, change.parent, bytes);
        }
        Ok(Applied::Installed(version))
    }

    /// Puts a complete version in force; the versions between are not needed.
    ///
    /// # Errors
    ///
    /// On any error, the version in force is unchanged.
    pub fn install(&self, full: FullVersion) -> Result<Applied, ApplyError> {
        let limits = self.snapshot().limits;
        self.install_with(full, limits)
    }

    /// Puts a complete version in force together with limits on callers' connections.
    ///
    /// # Errors
    ///
    /// On any error, the version and the limits in force are unchanged.
    pub fn install_with(
        &self,
        full: FullVersion,
        limits: ConnectionLimits,
    ) -> Result<Applied, ApplyError> {
        let change = decode(&full.change)?;
        let found = full.state.root();
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
        self.swap_snapshot(&mut inner, full, &change, None, limits)?;
        inner.history.clear();
        Ok(Applied::Installed(change.version))
    }

    /// Merges membership records received over `link`, and returns those that changed the membership.
    pub fn merge(&self, records: Vec<Record>, link: LinkId) -> Vec<Record> {
        let _inner = self.lock();
        let old = self.members.known(&records);
        let updated = self.members.merge(records, link);
        self.refresh_upstreams(&old, &updated);
        updated
    }

    /// Adds `departures` to the local membership record, if one of them is news there.
    pub fn add_departures(&self, departures: &Departures) {
        let now = UnixMillis::now();
        if self.members.own().departures.merge(departures, now) {
            self.announce(|record| {
                record.departures.merge(departures, now);
            });
        }
    }

    /// Rewrites the local membership record with `update`.
    pub fn announce(&self, update: impl FnOnce(&mut Record)) {
        let _inner = self.lock();
        let old = self.members.own();
        let record = self.members.announce(update);
        self.refresh_upstreams(&[old], &[record]);
    }

    /// Marks the record of `vm` as expired, unless the daemon has meanwhile written a newer one.
    pub fn expire(&self, vm: &model::VmId) {
        let _inner = self.lock();
        let record = self.members.expire(vm);
        self.refresh_upstreams(&[], record.as_slice());
    }

    /// Returns the canonical bytes of the changes after `version`, whose change has `digest`.
    ///
    /// Returns `None` if some of them have been dropped.
    pub fn since(&self, version: Version, digest: Digest) -> Option<Vec<Arc<[u8]>>> {
        let inner = self.lock();
        if version >= inner.version {
            return Some(Vec::new());
        }
        inner.history.since(version, digest)
    }

    /// Returns the complete version in force; `None` before the first one.
    pub fn full_version(&self) -> Option<FullVersion> {
        let inner = self.lock();
        if inner.version == Version::default() {
            return None;
        }
        Some(FullVersion {
            change: Arc::clone(&inner.change),
            state: inner.state.clone(),
        })
    }

    /// Puts `full` and its snapshot in force; changes `inner` only if the snapshot can be built.
    ///
    /// `keys`, if given, names all items that changed.
    fn swap_snapshot(
        &self,
        inner: &mut Inner,
        full: FullVersion,
        change: &Change,
        keys: Option<&BTreeSet<Key>>,
        limits: ConnectionLimits,
    ) -> Result<(), ApplyError> {
        let version = change.version;
        let digest = Digest::of(&full.change);
        let old = self.current.load();
        let compiled = match keys.filter(|keys| keys.len() <= MAX_INCREMENTAL_KEYS) {
            Some(keys) => into_result(validate_changed(&full.state, keys))
                .and_then(|()| update_snapshot(&old, &full.state, keys, &self.members)),
            None => into_result(validate(&full.state))
                .and_then(|()| compile(&old, &full.state, &self.members)),
        };
        let mut snapshot =
            compiled.map_err(|problems| ApplyError::Invalid { version, problems })?;
        snapshot.version = version;
        snapshot.digest = digest;
        snapshot.limits = limits;
        inner.version = version;
        inner.digest = digest;
        inner.state = full.state;
        inner.change = full.change;
        self.current.store(Arc::new(snapshot));
        self.version.send_replace(version);
        Ok(())
    }

    /// Rebuilds the upstreams of the services of the `updated` records, and of the services that
    /// the same VMs had in their `old` records, and puts the resulting snapshot in force.
    fn refresh_upstreams(&self, old: &[Record], updated: &[Record]) {
        let is_updated = |record: &&Record| updated.iter().any(|new| new.vm == record.vm);
        let before = old.iter().filter(is_updated);
        let services: BTreeSet<_> = before
            .chain(updated)
            .filter_map(|record| record.service.clone())
            .collect();
        if services.is_empty() {
            return;
        }
        let mut snapshot = (*self.current.load_full()).clone();
        for service in &services {
            snapshot = refresh_upstreams(&snapshot, service, &self.members);
        }
        self.current.store(Arc::new(snapshot));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn into_result(problems: Vec<Problem>) -> Result<(), Problems> {
    match problems.is_empty() {
        true => Ok(()),
        false => Err(Problems(problems)),
    }
}

fn decode(bytes: &[u8]) -> Result<Change, ApplyError> {
    Change::from_bytes(bytes).map_err(|error| ApplyError::Unreadable(error.to_string()))
}
