//! Answers that the system itself gives.

use std::fmt;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::{Body, full};
use crate::header::OUTCOME;

/// What became of a call that the system itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of it can have reached an upstream's handler.
    NotRun,
    /// An upstream ran it.
    Ran,
    /// It may have run or not.
    Unknown,
}

impl Outcome {
    /// Returns the outcome's name in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Reads the outcome that another daemon's answer carries.
    pub fn of(response: &Response<impl Sized>) -> Option<Self> {
        match response.headers().get(OUTCOME)?.as_bytes() {
            b"not-run" => Some(Self::NotRun),
            b"ran" => Some(Self::Ran),
            b"unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why the system itself answers a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// No route takes the call.
    NoRoute,
    /// No version is in force yet.
    NotReady,
    /// The service has no upstream that takes calls.
    NoUpstream,
    /// The upstream is draining or gone.
    Leaving,
    /// The upstream has no slot free.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The upstream or its gate could not be connected to.
    Unreachable,
    /// The connection broke while the call was under way.
    Broken,
    /// The request's body is over the route's limit.
    TooLarge,
    /// The request is not well formed.
    BadRequest,
    /// The process that calls the gate is not of this fleet.
    Forbidden,
}

/// An answer that the system itself gives.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What became of the call.
    pub outcome: Outcome,
    /// What happened, and what to do.
    pub message: String,
}

/// The refusal as the caller reads it.
#[derive(Debug, Serialize)]
struct Page<'a> {
    kind: RefusalKind,
    outcome: Outcome,
    message: &'a str,
}

impl Refusal {
    /// Describes a call that was not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            message: message.into(),
        }
    }

    /// Describes a call that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Unknown,
            message: message.into(),
        }
    }

    /// Returns the status to answer with.
    pub const fn status(&self) -> StatusCode {
        match self.kind {
            RefusalKind::NoRoute => StatusCode::NOT_FOUND,
            RefusalKind::NotReady
            | RefusalKind::NoUpstream
            | RefusalKind::Leaving
            | RefusalKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            RefusalKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
            RefusalKind::Unreachable | RefusalKind::Broken => StatusCode::BAD_GATEWAY,
            RefusalKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
            RefusalKind::Forbidden => StatusCode::FORBIDDEN,
        }
    }

    /// Returns when a later try can work, in seconds, where it can.
    const fn retry_after(&self) -> Option<u32> {
        match self.kind {
            RefusalKind::NotReady
            | RefusalKind::NoUpstream
            | RefusalKind::Leaving
            | RefusalKind::Overloaded
            | RefusalKind::Unreachable => Some(1),
            _ => None,
        }
    }

    /// Returns the answer.
    pub(crate) fn response(&self) -> Response<Body> {
        let page = Page {
            kind: self.kind,
            outcome: self.outcome,
            message: &self.message,
        };
        let json = serde_json::to_vec(&page).unwrap_or_default();
        let mut response = Response::new(full(Bytes::from(json)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(seconds) = self.retry_after() {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
