//! Authentication and authorization of operators.

use std::fmt;
use std::str::FromStr;

use axum::extract::FromRequestParts;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use http::request::Parts;
use model::{OperatorName, TeamName};

use crate::{Api, ApiError, ErrorKind};

/// BLAKE3 hash of an operator's token, as given in the settings.
#[derive(Clone, PartialEq)]
pub struct TokenHash(blake3::Hash);

/// An error of parsing a token hash.
#[derive(Debug, thiserror::Error)]
#[error("not a token hash: write what `sardinestall token` prints")]
pub struct TokenHashError;

impl TokenHash {
    /// Returns the hash of `token`.
    pub fn of(token: &str) -> Self {
        Self(blake3::hash(token.as_bytes()))
    }
}

impl fmt::Debug for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl FromStr for TokenHash {
    type Err = TokenHashError;

    fn from_str(text: &str) -> Result<Self, TokenHashError> {
        blake3::Hash::from_hex(text)
            .map(Self)
            .map_err(|_| TokenHashError)
    }
}

/// An operator, and the teams whose parts they may change.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Name for the audit trail.
    pub name: OperatorName,
    /// Teams whose parts the operator may change.
    pub teams: Vec<TeamName>,
    /// Hash of the operator's token.
    pub token_hash: TokenHash,
}

impl Operator {
    /// Checks that the operator may change the parts of all `teams`.
    ///
    /// # Errors
    ///
    /// Fails if the operator may not; the error names the teams concerned.
    pub(crate) fn check_teams(&self, teams: &[TeamName]) -> Result<(), ApiError> {
        let others = teams.iter().filter(|team| !self.teams.contains(team));
        let others: Vec<&str> = others.map(TeamName::as_str).collect();
        if others.is_empty() {
            return Ok(());
        }
        Err(ApiError::new(
            ErrorKind::Forbidden,
            format!(
                "operator `{}` may not change parts of team {}; nothing was changed",
                self.name,
                others.join(", ")
            ),
            "ask an operator of that team, or have the team added to the operator's settings",
        ))
    }
}

impl FromRequestParts<Api> for Operator {
    type Rejection = ApiError;

    /// Authenticates the operator before the body of the request is read.
    async fn from_request_parts(parts: &mut Parts, api: &Api) -> Result<Self, ApiError> {
        api.operators.find(&parts.headers).cloned()
    }
}

/// All operators.
#[derive(Debug, Clone, Default)]
pub struct Operators(pub Vec<Operator>);

impl Operators {
    /// Returns the operator whose token `headers` carry.
    ///
    /// # Errors
    ///
    /// Fails if there is no valid token, without the reason.
    pub(crate) fn find(&self, headers: &HeaderMap) -> Result<&Operator, ApiError> {
        let header = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|header| header.strip_prefix("Bearer "));
        // The comparison of hashes takes constant time, which reveals nothing about a token.
        let found = token
            .map(TokenHash::of)
            .and_then(|hash| self.0.iter().find(|operator| operator.token_hash == hash));
        found.ok_or_else(|| {
            ApiError::new(
                ErrorKind::Unauthenticated,
                "no valid token; nothing was changed",
                "set SARDINESTALL_TOKEN to the token of an operator in the settings",
            )
        })
    }
}
