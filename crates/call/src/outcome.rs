//! Answers that the system itself gives.

use std::fmt;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::{Body, full};
use crate::header::{KIND, OUTCOME};

/// Time after which a refused call is worth another try, in seconds.
const RETRY_SECONDS: u32 = 1;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    /// A call with the same key came before.
    Duplicate,
    /// The call asks for what the system does not do.
    Unsupported,
}

impl RefusalKind {
    /// Every kind.
    const ALL: &[Self] = &[
        Self::NoRoute,
        Self::NotReady,
        Self::NoUpstream,
        Self::Leaving,
        Self::Overloaded,
        Self::Deadline,
        Self::Unreachable,
        Self::Broken,
        Self::TooLarge,
        Self::BadRequest,
        Self::Forbidden,
        Self::Duplicate,
        Self::Unsupported,
    ];

    /// Returns the kind's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no_route",
            Self::NotReady => "not_ready",
            Self::NoUpstream => "no_upstream",
            Self::Leaving => "leaving",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::TooLarge => "too_large",
            Self::BadRequest => "bad_request",
            Self::Forbidden => "forbidden",
            Self::Duplicate => "duplicate",
            Self::Unsupported => "unsupported",
        }
    }

    /// Reads the kind that another daemon's answer carries.
    pub fn of(response: &Response<impl Sized>) -> Option<Self> {
        let name = response.headers().get(KIND)?.as_bytes();
        let mut kinds = Self::ALL.iter();
        kinds.find(|kind| kind.as_str().as_bytes() == name).copied()
    }
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
    kind: &'static str,
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

    /// Describes a call that ran before under the same key.
    pub fn ran(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Ran,
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
            RefusalKind::Duplicate => StatusCode::CONFLICT,
            RefusalKind::Unsupported => StatusCode::NOT_IMPLEMENTED,
        }
    }

    /// Returns when a later try can work, in seconds, where it can.
    const fn retry_after(&self) -> Option<u32> {
        match (self.outcome, self.kind) {
            (
                Outcome::NotRun,
                RefusalKind::NotReady
                | RefusalKind::NoUpstream
                | RefusalKind::Leaving
                | RefusalKind::Overloaded
                | RefusalKind::Deadline
                | RefusalKind::Unreachable,
            ) => Some(RETRY_SECONDS),
            _ => None,
        }
    }

    /// Returns the answer.
    pub(crate) fn response(&self) -> Response<Body> {
        let page = Page {
            kind: self.kind.as_str(),
            outcome: self.outcome,
            message: &self.message,
        };
        let json = serde_json::to_vec(&page).unwrap_or_default();
        let mut response = Response::new(full(Bytes::from(json)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(KIND, HeaderValue::from_static(self.kind.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(seconds) = self.retry_after() {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
