//! Errors in the API's responses.

use axum::Json;
use axum::extract::rejection::{PathRejection, QueryRejection};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use ledger::Error as LedgerError;
use model::Problem;
use serde::{Deserialize, Serialize};

/// Machine-readable kind of an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The request has no valid token.
    Unauthenticated,
    /// The operator may not change these parts.
    Forbidden,
    /// The configuration cannot be served; nothing was accepted.
    Invalid,
    /// The accept conflicts with another one; nothing was accepted.
    Conflict,
    /// The requested object does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The body is too large.
    TooLarge,
    /// The store is unavailable; nothing was accepted.
    Unavailable,
    /// A response of the store was lost; the accept may have taken effect.
    Unknown,
}

impl ErrorKind {
    /// Returns the name of the kind in JSON and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::Invalid => "invalid",
            Self::Conflict => "conflict",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::TooLarge => "too_large",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

/// Body of an error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct ApiError {
    /// Machine-readable kind.
    pub kind: ErrorKind,
    /// Description of the error.
    pub message: String,
    /// Action that resolves the error.
    pub remedy: String,
    /// All problems of a refused configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<Problem>,
}

impl ApiError {
    /// Creates an error without problems of a configuration.
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
            ErrorKind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ErrorKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<LedgerError> for ApiError {
    fn from(error: LedgerError) -> Self {
        let message = error.to_string();
        let (kind, remedy) = match error {
            LedgerError::Invalid(problems) => {
                let mut error = Self::new(
                    ErrorKind::Invalid,
                    "the configuration has problems; nothing was accepted",
                    "mend each problem and accept again",
                );
                error.problems = problems.0;
                return error;
            }
            LedgerError::Store(_) => (ErrorKind::Unavailable, "try again when the store is back"),
            LedgerError::Conflict { .. } => (
                ErrorKind::Conflict,
                "look at the difference, print again and accept with the head as parent",
            ),
            LedgerError::Reused { .. } => {
                (ErrorKind::Conflict, "accept again under a new accept id")
            }
            LedgerError::TooLarge(_) => (ErrorKind::TooLarge, "accept it in several steps"),
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

impl From<QueryRejection> for ApiError {
    fn from(rejection: QueryRejection) -> Self {
        Self::new(
            ErrorKind::BadRequest,
            rejection.body_text(),
            "see docs/OPERATIONS.md for the query that the call takes",
        )
    }
}

impl From<PathRejection> for ApiError {
    fn from(rejection: PathRejection) -> Self {
        Self::new(
            ErrorKind::BadRequest,
            rejection.body_text(),
            "see docs/OPERATIONS.md for the path of the call",
        )
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        (self.status(), Json(self)).into_response()
    }
}
