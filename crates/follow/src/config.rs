//! Puts the configurations that the store or a peer holds in force.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::{Change, Digest, State, UnixMillis, Version};
use slog::{Logger, info, warn};
use store::{Entry, Error, Store};
use table::{Applied, Table, Whole};
use tokio::time::Instant;

use crate::{ConfigFormat, Configuration};

/// The newest configuration, as it was read.
#[derive(Debug, Clone)]
pub(crate) struct Raw {
    pub(crate) version: Version,
    /// When it was put in force here.
    since: Instant,
    pub(crate) value: Arc<[u8]>,
}

/// Puts configurations in force: whole, valid ones, never an older one.
#[derive(Debug)]
pub(crate) struct Installer {
    format: Arc<dyn ConfigFormat>,
    table: Arc<Table>,
    newest: Mutex<Option<Raw>>,
    log: Logger,
}

impl Installer {
    pub(crate) fn new(format: Arc<dyn ConfigFormat>, table: Arc<Table>, log: Logger) -> Self {
        Self {
            format,
            table,
            newest: Mutex::default(),
            log,
        }
    }

    /// Returns the configuration in force as it was read, if it is newer than `version`.
    pub(crate) fn newer(&self, version: Version) -> Option<Raw> {
        self.lock().clone().filter(|raw| raw.version > version)
    }

    /// Returns the time since the version in force was put in force; zero before the first.
    pub(crate) fn age(&self) -> Duration {
        let newest = self.lock();
        newest
            .as_ref()
            .map_or(Duration::ZERO, |raw| raw.since.elapsed())
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.table.snapshot().version
    }

    /// Reads the configuration from `store` and puts it in force.
    pub(crate) async fn scan(&self, store: &dyn Store) -> Result<store::Revision, Error> {
        let scan = store.scan(self.format.key()).await?;
        self.offer_entries(&scan.entries);
        Ok(scan.revision)
    }

    /// Puts the configuration among `entries` in force.
    pub(crate) fn offer_entries(&self, entries: &[Entry]) {
        let ours = entries
            .iter()
            .filter(|entry| entry.key == self.format.key());
        for entry in ours {
            self.offer(&entry.value, "store");
        }
    }

    /// Puts the configuration in `value` in force, if it is a newer one and valid.
    pub(crate) fn offer(&self, value: &[u8], origin: &str) {
        let started = Instant::now();
        let read = self.format.read(value);
        let configuration = match read {
            Ok(configuration) => configuration,
            Err(error) => {
                warn!(self.log, "configuration refused"; "origin" => origin, "bytes" => value.len(),
                    "in_force" => %self.version(), "reason" => %error);
                return;
            }
        };
        let version = configuration.version;
        let in_force = self.version();
        if version <= in_force {
            return;
        }
        let limits = configuration.limits;
        match self.table.install_with(whole(configuration), limits) {
            Ok(Applied::Now(_)) => {
                self.keep(Raw {
                    version,
                    since: Instant::now(),
                    value: value.into(),
                });
                info!(self.log, "configuration in force"; "version" => %version,
                    "previous" => %in_force, "origin" => origin,
                    "took_ms" => started.elapsed().as_millis() as u64);
            }
            Ok(Applied::Stale) => {}
            Err(error) => {
                warn!(self.log, "configuration refused"; "version" => %version, "origin" => origin,
                    "in_force" => %in_force, "reason" => %error);
            }
        }
    }

    fn keep(&self, raw: Raw) {
        let mut newest = self.lock();
        if newest.as_ref().is_none_or(|old| old.version < raw.version) {
            *newest = Some(raw);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Raw>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a configuration as the table takes it.
///
/// # Panics
///
/// Never: the fixed names are valid.
fn whole(configuration: Configuration) -> Whole {
    let state = State::from_items(configuration.items);
    let change = Change {
        version: configuration.version,
        parent: Digest::ZERO,
        base: None,
        accept_id: "store".parse().expect("a valid accept id"),
        request: Digest::ZERO,
        operator: "store".parse().expect("a valid operator name"),
        teams: Vec::new(),
        reason: String::new(),
        at: UnixMillis::now(),
        entries: Vec::new(),
        root: state.root(),
    };
    Whole {
        change: change.to_bytes().into(),
        state,
    }
}
