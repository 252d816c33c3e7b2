//! Puts configurations from the store, relays and peers in force.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::{Change, Digest, State, UnixMillis, Version, lock};
use slog::{Logger, info, warn};
use store::{Entry, Revision};
use table::{Applied, FullVersion, Table};
use tokio::time::Instant;
use wire::fleet::PackedConfig;

use crate::packed::{pack, unpack};
use crate::{ConfigFormat, Configuration};

/// Configurations kept as bases for differences. A daemon that polls this one is one read behind, or
/// two if it missed a read.
const MAX_RECENT: usize = 3;

/// A configuration as stored.
#[derive(Debug, Clone)]
struct StoredConfig {
    version: Version,
    /// Time at which it was put in force locally.
    in_force_since: Instant,
    value: Arc<[u8]>,
}

/// The latest configurations, newest first, and the packed forms of the newest one.
#[derive(Debug, Default)]
struct RecentConfigs {
    configs: VecDeque<StoredConfig>,
    packed: Vec<PackedConfig>,
    /// Latest revision of the store's key whose value was offered here, in force or refused.
    seen: Option<Revision>,
}

/// Puts complete, valid configurations in force, and never replaces one by an older one.
#[derive(Debug)]
pub(crate) struct Installer {
    format: Arc<dyn ConfigFormat>,
    table: Arc<Table>,
    recent: Mutex<RecentConfigs>,
    log: Logger,
}

impl Installer {
    pub(crate) fn new(format: Arc<dyn ConfigFormat>, table: Arc<Table>, log: Logger) -> Self {
        Self {
            format,
            table,
            recent: Mutex::default(),
            log,
        }
    }

    /// Returns the configuration in force, packed for a daemon that has version `theirs`, if it is newer.
    pub(crate) fn newer(&self, theirs: Version) -> Option<PackedConfig> {
        let mut recent = self.lock();
        let newest = recent.configs.front()?.clone();
        if newest.version <= theirs {
            return None;
        }
        let base = recent
            .configs
            .iter()
            .find(|config| config.version == theirs)
            .cloned();
        let base_version = base.as_ref().map_or(0, |base| base.version.get());
        if let Some(sent) = recent.packed.iter().find(|sent| sent.base == base_version) {
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
        recent.packed.push(sent.clone());
        Some(sent)
    }

    /// Puts a configuration from another daemon in force, if it is newer and valid.
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
        let recent = self.lock();
        let config = recent
            .configs
            .iter()
            .find(|config| config.version == version)?;
        Some(Arc::clone(&config.value))
    }

    /// Returns whether `value` is the configuration in force.
    fn is_in_force(&self, value: &[u8]) -> bool {
        let recent = self.lock();
        recent
            .configs
            .front()
            .is_some_and(|config| *config.value == *value)
    }

    /// Returns the time since the version in force was installed; zero before the first one.
    pub(crate) fn age(&self) -> Duration {
        let recent = self.lock();
        recent
            .configs
            .front()
            .map_or(Duration::ZERO, |config| config.in_force_since.elapsed())
    }

    /// Returns the version in force.
    pub(crate) fn version(&self) -> Version {
        self.table.snapshot().version
    }

    /// Returns the latest revision of the store's key whose value was offered here.
    pub(crate) fn seen(&self) -> Revision {
        self.lock().seen.unwrap_or(Revision::ZERO)
    }

    /// Records that the value of the store's key at `revision` was offered here.
    pub(crate) fn mark_seen(&self, revision: Revision) {
        let mut recent = self.lock();
        recent.seen = recent.seen.max(Some(revision));
    }

    /// Puts the configuration among `entries` in force.
    pub(crate) fn offer_entries(&self, entries: &[Entry]) {
        let ours = entries
            .iter()
            .filter(|entry| entry.key == self.format.key());
        for entry in ours {
            let before = self.version();
            self.offer(&entry.value, "store");
            self.mark_seen(entry.revision);
            if self.version() > before {
                info!(self.log, "configuration read from the store";
                    "version" => %self.version(), "revision" => %entry.revision);
            }
        }
    }

    /// Puts the configuration in `value` in force, if it is newer and valid.
    pub(crate) fn offer(&self, value: &[u8], origin: &str) {
        let started = Instant::now();
        if self.is_in_force(value) {
            return;
        }
        let read = self.format.read(value);
        let mut configuration = match read {
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
        let warnings = std::mem::take(&mut configuration.warnings);
        match self
            .table
            .install_with(to_full_version(configuration), limits)
        {
            Ok(Applied::Installed(_)) => {
                self.remember(StoredConfig {
                    version,
                    in_force_since: Instant::now(),
                    value: value.into(),
                });
                info!(self.log, "configuration in force"; "version" => %version,
                    "previous" => %in_force, "origin" => origin, "bytes" => value.len(),
                    "took_ms" => started.elapsed().as_millis() as u64);
                for warning in warnings {
                    warn!(self.log, "configuration not fully known"; "version" => %version,
                        "reason" => warning);
                }
            }
            Ok(Applied::Stale) => {}
            Err(error) => {
                warn!(self.log, "configuration refused"; "version" => %version, "origin" => origin,
                    "in_force" => %in_force, "reason" => %error);
            }
        }
    }

    fn remember(&self, config: StoredConfig) {
        let mut recent = self.lock();
        let newest = recent.configs.front();
        if newest.is_some_and(|newest| newest.version >= config.version) {
            return;
        }
        recent.configs.push_front(config);
        recent.configs.truncate(MAX_RECENT);
        recent.packed.clear();
    }

    fn lock(&self) -> MutexGuard<'_, RecentConfigs> {
        lock(&self.recent)
    }
}

/// Converts a configuration to the form that the table installs.
///
/// # Panics
///
/// Never panics: the fixed names are valid.
fn to_full_version(configuration: Configuration) -> FullVersion {
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
    FullVersion {
        change: change.to_bytes().into(),
        state,
    }
}
