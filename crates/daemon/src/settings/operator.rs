//! Section `operators`.

use admin::{Operator, TokenHash};
use model::{OperatorName, TeamName};
use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

/// An operator who may change the configuration.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name for the audit trail.
    pub name: OperatorName,
    /// Teams whose items the operator may change.
    pub teams: Vec<TeamName>,
    /// Hash of the operator's token, as `sardinestall token` prints it.
    #[serde_as(as = "DisplayFromStr")]
    pub token_hash: TokenHash,
}

impl From<&OperatorSettings> for Operator {
    fn from(settings: &OperatorSettings) -> Self {
        Self {
            name: settings.name.clone(),
            teams: settings.teams.clone(),
            token_hash: settings.token_hash.clone(),
        }
    }
}
