//! Queries and replies of the API.

use std::collections::BTreeMap;

use ledger::Accepted as LedgerAccepted;
use model::{
    AcceptId, Change, Config, FORMAT, Item, Key, OperatorName, State, TeamName, UnixMillis, Version,
};
use serde::{Deserialize, Serialize};
use spread::Lag;

/// Query parameters of an accept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptQuery {
    /// Idempotency key: an accept repeated under the same id returns the original result.
    pub accept_id: AcceptId,
    /// Reason for the audit trail.
    #[serde(default)]
    pub reason: String,
}

/// Query parameters of a rollback.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RollbackQuery {
    /// Accept id and reason.
    #[serde(flatten)]
    pub accept: AcceptQuery,
    /// Only team whose parts are rolled back; every part that differs if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
}

/// Reply to a successful check of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckReply {
    /// Keys of the items that an accept would change.
    pub changed: Vec<Key>,
}

/// Reply to an accept or a rollback.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptReply {
    /// Version that contains the accepted configuration.
    pub version: Version,
    /// Keys of the items that the version changed; empty if nothing differed.
    pub changed: Vec<Key>,
}

impl From<LedgerAccepted> for AcceptReply {
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
    /// Accepted version.
    pub version: Version,
    /// Operator who accepted it.
    pub operator: OperatorName,
    /// Time of the accept, in milliseconds since the Unix epoch.
    pub at: UnixMillis,
    /// Reason that the operator gave.
    pub reason: String,
    /// Id of the accept.
    pub accept_id: AcceptId,
    /// Teams whose parts were replaced.
    pub teams: Vec<TeamName>,
    /// Keys of the changed items.
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

/// The complete configuration of a version, in the format that operators accept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShowReply {
    /// Version of the configuration.
    pub version: Version,
    /// Configuration of the version.
    pub config: Config,
}

impl ShowReply {
    /// Returns the configuration of `state`, with `version` as the parent of the next accept.
    pub(crate) fn of(version: Version, state: &State) -> Self {
        let mut config = Config {
            format: FORMAT,
            parent: Some(version),
            teams: Vec::new(),
            services: Vec::new(),
            pools: Vec::new(),
            routes: Vec::new(),
        };
        let items: BTreeMap<_, _> = state.items().collect();
        for hashed in items.values() {
            config.teams.push(hashed.item.team().clone());
            match hashed.item.clone() {
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

/// Difference of one item between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyChange {
    /// Key of the item.
    pub key: Key,
    /// Item in the version `from`, absent if it was added.
    pub before: Option<Item>,
    /// Item in the version `to`, absent if it was removed.
    pub after: Option<Item>,
}

/// Differences between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DiffReply {
    /// Version compared from.
    pub from: Version,
    /// Version compared to.
    pub to: Version,
    /// Items that differ, in the order of their keys.
    pub changes: Vec<KeyChange>,
}

/// Number of daemons that serve a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionCount {
    /// Version.
    pub version: Version,
    /// Number of daemons.
    pub daemons: u32,
}

/// State of the fleet from the perspective of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Newest accepted version, absent while the store is unavailable.
    pub head: Option<Version>,
    /// Version that the responding daemon serves.
    pub serving: Version,
    /// Whether the responding daemon is connected to a relay or is one.
    pub connected: bool,
    /// Number of daemons per served version.
    pub versions: Vec<VersionCount>,
    /// Number of daemons in the membership that have not left or expired.
    pub members: u32,
    /// Some of the lagging daemons with their reasons, as last reported by the relays.
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
