//! Errors as the API answers them.

use axum::Json;
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use ledger::Error as LedgerError;
use model::Problem;
use serde::{Deserialize, Serialize};

/// Kind of an error, by which a program decides what to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is not well formed.
    BadRequest,
    /// There is no valid token.
    Unauthenticated,
    /// The token may not change these parts.
    Forbidden,
    /// The configuration cannot be served; nothing was accepted.
    Invalid,
    /// The same parts changed meanwhile; nothing was accepted.
    Conflict,
    /// What was asked for does not exist.
    NotFound,
    /// The store is out; nothing was accepted.
    Unavailable,
    /// The store lost an answer; the accept may have taken effect.
    Unknown,
}

/// An error as the API answers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ErrorPage {
    /// Kind.
    pub kind: ErrorKind,
    /// What happened.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
    /// Every problem of a refused configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

impl ErrorPage {
    /// Describes an error without problems of a configuration.
    pub fn new(kind: ErrorKind, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            remedy: remedy.into(),
            problems: Vec::new(),
        }
    }

    fn status(&self) -> StatusCode {
        match self.kind {
            ErrorKind::BadRequest => StatusCode::BAD_REQUEST,
            ErrorKind::Unauthenticated => StatusCode::UNAUTHORIZED,
            ErrorKind::Forbidden => StatusCode::FORBIDDEN,
            ErrorKind::Invalid => StatusCode::UNPROCESSABLE_ENTITY,
            ErrorKind::Conflict => StatusCode::CONFLICT,
            ErrorKind::NotFound => StatusCode::NOT_FOUND,
            ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<LedgerError> for ErrorPage {
    fn from(error: LedgerError) -> Self {
        let message = error.to_string();
        let (kind, remedy) = match error {
            LedgerError::Invalid(problems) => {
                let mut page = Self::new(
                    ErrorKind::Invalid,
                    "the configuration has problems; nothing was accepted",
                    "mend each problem and accept again",
                );
                page.problems = problems.0;
                return page;
            }
            LedgerError::Store(_) => (ErrorKind::Unavailable, "try again when the store is back"),
            LedgerError::Conflict { .. } => (
                ErrorKind::Conflict,
                "look at the difference, print again and accept with the head as parent",
            ),
            LedgerError::Reused { .. } => {
                (ErrorKind::Conflict, "accept again under a new accept id")
            }
            LedgerError::TooLarge(_) => (ErrorKind::BadRequest, "accept it in several steps"),
            LedgerError::Busy(_) => (ErrorKind::Conflict, "accept again"),
            LedgerError::Unknown(_) => (
                ErrorKind::Unknown,
                "accept the same file under the same accept id when the store is back",
            ),
            LedgerError::NoVersion(_) => (ErrorKind::NotFound, "see `sardinestall log`"),
            LedgerError::Damaged(_) => (ErrorKind::Unavailable, "restore the store's data"),
        };
        Self::new(kind, message, remedy)
    }
}

impl IntoResponse for ErrorPage {
    fn into_response(self) -> Response {
        (self.status(), Json(self)).into_response()
    }
}
