//! Operators and their tokens.

use std::fmt;
use std::str::FromStr;

use axum::extract::FromRequestParts;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use http::request::Parts;
use model::{OperatorName, TeamName};

use crate::{Api, ErrorKind, ErrorPage};

/// BLAKE3 hash of an operator's token, as it stands in the settings.
#[derive(Clone, PartialEq)]
pub struct TokenHash(blake3::Hash);

/// A text that is no token hash.
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

/// An operator and what they may change.
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
    /// Checks that the operator may change the parts of every one of `teams`.
    ///
    /// # Errors
    ///
    /// Names the teams that the operator may not change.
    pub(crate) fn check_teams(&self, teams: &[TeamName]) -> Result<(), ErrorPage> {
        let others = teams.iter().filter(|team| !self.teams.contains(team));
        let others: Vec<&str> = others.map(TeamName::as_str).collect();
        if others.is_empty() {
            return Ok(());
        }
        Err(ErrorPage::new(
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
    type Rejection = ErrorPage;

    /// Finds the operator before the body of the call is read.
    async fn from_request_parts(parts: &mut Parts, api: &Api) -> Result<Self, ErrorPage> {
        api.operators.find(&parts.headers).cloned()
    }
}

/// All operators.
#[derive(Debug, Clone, Default)]
pub struct Operators(pub Vec<Operator>);

impl Operators {
    /// Returns the operator whose token a request carries.
    ///
    /// # Errors
    ///
    /// Fails without saying more if there is no valid token.
    pub(crate) fn find(&self, headers: &HeaderMap) -> Result<&Operator, ErrorPage> {
        let header = headers
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let token = header.and_then(|header| header.strip_prefix("Bearer "));
        // Comparing hashes takes the same time wherever they differ.
        let found = token
            .map(TokenHash::of)
            .and_then(|hash| self.0.iter().find(|operator| operator.token_hash == hash));
        found.ok_or_else(|| {
            ErrorPage::new(
                ErrorKind::Unauthenticated,
                "no valid token; nothing was changed",
                "set SARDINESTALL_TOKEN to the token of an operator in the settings",
            )
        })
    }
}
