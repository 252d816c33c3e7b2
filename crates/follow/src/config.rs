//! Puts the configurations that the store or a peer holds in force.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{Change, Digest, State, UnixMillis, Version, lock};
use slog::{Logger, info, warn};
use store::Entry;
use table::{Applied, Table, Whole};
use tokio::time::Instant;
use wire::fleet::PackedConfig;

use crate::packed::{pack, unpack};
use crate::{ConfigFormat, Configuration};

/// Configurations kept to tell differences from: a daemon that follows this one is a read behind, and
/// one that missed a read is two behind.
const MAX_KEPT: usize = 3;

/// A configuration, as it was read.
#[derive(Debug, Clone)]
struct Raw {
    version: Version,
    /// When it was put in force here.
    since: Instant,
    value: Arc<[u8]>,
}

/// The last configurations, the newest first, and the newest one as it was sent.
#[derive(Debug, Default)]
struct Kept {
    raws: VecDeque<Raw>,
    sent: Vec<PackedConfig>,
}

/// Puts configurations in force: whole, valid ones, never an older one.
#[derive(Debug)]
pub(crate) struct Installer {
    format: Arc<dyn ConfigFormat>,
    table: Arc<Table>,
    kept: Mutex<Kept>,
    log: Logger,
}

impl Installer {
    pub(crate) fn new(format: Arc<dyn ConfigFormat>, table: Arc<Table>, log: Logger) -> Self {
        Self {
            format,
            table,
            kept: Mutex::default(),
            log,
        }
    }

    /// Returns the configuration in force for a daemon that has `theirs`, if it is newer.
    pub(crate) fn newer(&self, theirs: Version) -> Option<PackedConfig> {
        let mut kept = self.lock();
        let newest = kept.raws.front()?.clone();
        if newest.version <= theirs {
            return None;
        }
        let base = kept.raws.iter().find(|raw| raw.version == theirs).cloned();
        let base_version = base.as_ref().map_or(0, |base| base.version.get());
        if let Some(sent) = kept.sent.iter().find(|sent| sent.base == base_version) {
            return Some(sent.clone());
        }
        let base = base.map_or_else(|| Arc::from([]), |base| base.value);
        let packed = match pack(&newest.value, &base) {
            Ok(packed) => packed,
            Err(error) => {
                warn!(self.log, "configuration not sent"; "version" => %newest.version,
                    "error" => %error);
                return None;
            }
        };
        let sent = PackedConfig {
            version: newest.version.get(),
            base: base_version,
            packed,
        };
        kept.sent.push(sent.clone());
        Some(sent)
    }

    /// Puts a configuration that another daemon sent in force, if it is a newer one and valid.
    pub(crate) fn offer_packed(&self, sent: &PackedConfig, origin: &str) {
        let version = Version::new(sent.version);
        if version <= self.version() {
            return;
        }
        let base = match sent.base {
            0 => Some(Arc::from([])),
            base => self.value_of(Version::new(base)),
        };
        let Some(base) = base else {
            info!(self.log, "difference without its base passed over"; "version" => %version,
                "base" => sent.base, "in_force" => %self.version());
            return;
        };
        match unpack(&sent.packed, &base) {
            Ok(value) => self.offer(&value, origin),
            Err(error) => {
                warn!(self.log, "configuration refused"; "version" => %version, "origin" => origin,
                    "in_force" => %self.version(), "reason" => %error);
            }
        }
    }

    fn value_of(&self, version: Version) -> Option<Arc<[u8]>> {
        let kept = self.lock();
        let raw = kept.raws.iter().find(|raw| raw.version == version)?;
        Some(Arc::clone(&raw.value))
    }

    /// Returns whether `value` is that of the configuration in force.
    fn is_in_force(&self, value: &[u8]) -> bool {
        let kept = self.lock();
        kept.raws.front().is_some_and(|raw| *raw.value == *value)
    }

    /// Returns the time since the version in force was put in force; zero before the first.
    pub(crate) fn age(&self) -> Duration {
        let kept = self.lock();
        kept.raws
            .front()
            .map_or(Duration::ZERO, |raw| raw.since.elapsed())
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.table.snapshot().version
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
        if self.is_in_force(value) {
            return;
        }
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
                    "previous" => %in_force, "origin" => origin, "bytes" => value.len(),
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
        let mut kept = self.lock();
        let newest = kept.raws.front();
        if newest.is_some_and(|newest| newest.version >= raw.version) {
            return;
        }
        kept.raws.push_front(raw);
        kept.raws.truncate(MAX_KEPT);
        kept.sent.clear();
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        lock(&self.kept)
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
