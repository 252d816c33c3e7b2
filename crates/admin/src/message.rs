//! What the API answers.

use std::collections::BTreeMap;

use ledger::Accepted as LedgerAccepted;
use model::{
    AcceptId, Change, Config, FORMAT, Item, Key, OperatorName, State, TeamName, UnixMillis, Version,
};
use serde::{Deserialize, Serialize};
use spread::Lag;

/// What goes with an accept, beside the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptQuery {
    /// Id by which a lost answer is settled.
    pub accept_id: AcceptId,
    /// Reason for the audit trail.
    #[serde(default)]
    pub reason: String,
}

/// What goes with a rollback, beside the version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RollbackQuery {
    /// Id and reason.
    #[serde(flatten)]
    pub accept: AcceptQuery,
    /// Team whose parts alone are rolled back; every part that differs when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
}

/// A configuration that could be accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// Items that an accept would change.
    pub changed: Vec<Key>,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that holds it.
    pub version: Version,
    /// Items that the version changed; empty when nothing differed.
    pub changed: Vec<Key>,
}

impl From<LedgerAccepted> for Accepted {
    fn from(accepted: LedgerAccepted) -> Self {
        Self {
            version: accepted.version,
            changed: accepted.keys,
        }
    }
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Version accepted.
    pub version: Version,
    /// Operator who accepted it.
    pub operator: OperatorName,
    /// When, in milliseconds since the Unix epoch.
    pub at: UnixMillis,
    /// Reason given.
    pub reason: String,
    /// Id of the accept.
    pub accept_id: AcceptId,
    /// Teams whose parts were replaced.
    pub teams: Vec<TeamName>,
    /// Items changed.
    pub changed: Vec<Key>,
}

impl From<&Change> for LogEntry {
    fn from(change: &Change) -> Self {
        Self {
            version: change.version,
            operator: change.operator.clone(),
            at: change.at,
            reason: change.reason.clone(),
            accept_id: change.accept_id.clone(),
            teams: change.teams.clone(),
            changed: change
                .entries
                .iter()
                .map(|entry| entry.key.clone())
                .collect(),
        }
    }
}

/// A version's whole configuration, in the format that operators print.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Version shown.
    pub version: Version,
    /// Its configuration.
    pub config: Config,
}

impl Shown {
    /// Describes `state` as `version`.
    pub(crate) fn of(version: Version, state: &State) -> Self {
        let mut config = Config {
            format: FORMAT,
            parent: Some(version),
            teams: Vec::new(),
            services: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
        };
        let pieces: BTreeMap<_, _> = state.items().collect();
        for piece in pieces.values() {
            config.teams.push(piece.item.team().clone());
            match piece.item.clone() {
                Item::Service(service) => config.services.push(service),
                Item::Pool(pool) => config.pools.push(pool),
                Item::Route(route) => config.routes.push(route),
            }
        }
        config.teams.sort();
        config.teams.dedup();
        Self { version, config }
    }
}

/// How one item differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key of the item.
    pub key: Key,
    /// Item in the older version, absent when added.
    pub before: Option<Item>,
    /// Item in the newer version, absent when removed.
    pub after: Option<Item>,
}

/// What differs between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DiffReply {
    /// Older version.
    pub from: Version,
    /// Newer version.
    pub to: Version,
    /// Items that differ.
    pub changes: Vec<KeyChange>,
}

/// How many daemons serve a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Version served.
    pub version: Version,
    /// Daemons that serve it.
    pub daemons: u32,
}

/// State of the fleet as one daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Newest accepted version, absent while the store is out.
    pub head: Option<Version>,
    /// Version that the answering daemon serves.
    pub serving: Version,
    /// Whether the answering daemon is connected to a relay.
    pub connected: bool,
    /// Daemons by the version that they serve.
    pub versions: Vec<VersionCount>,
    /// Daemons known by the membership that have not left or expired.
    pub members: u32,
    /// Some of the daemons that lag, and why, as their relays last reported.
    #[serde(default)]
    pub lags: Vec<Lag>,
}

impl Status {
    /// Returns whether every known daemon serves `version` or a later one.
    pub fn is_converged(&self, version: Version) -> bool {
        let served: u32 = self
            .versions
            .iter()
            .filter(|count| count.version >= version)
            .map(|count| count.daemons)
            .sum();
        let behind = self.versions.iter().any(|count| count.version < version);
        !behind && served >= self.members
    }
}
