//! Answers that the system itself gives.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body::{Body, full};
use crate::dialect::Dialect;
use crate::header::{KIND, OUTCOME, PAUSE, REASON, number};

/// Time after which a refused call is worth another try, where the refusal knows no better.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

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
    /// The upstream itself had no room.
    Rejected,
    /// Another upstream has the address.
    Misdirected,
    /// The upstream's answer is none to the call.
    Garbled,
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
        Self::Rejected,
        Self::Misdirected,
        Self::Garbled,
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
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::Garbled => "garbled",
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
    /// Time after which the caller may come back, where the refusal knows better than the default.
    pub pause: Option<Duration>,
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
            pause: None,
        }
    }

    /// Describes a call that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Unknown,
            message: message.into(),
            pause: None,
        }
    }

    /// Describes a call that ran before under the same key.
    pub fn ran(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Ran,
            message: message.into(),
            pause: None,
        }
    }

    /// Returns the status to answer with.
    pub const fn status(&self) -> StatusCode {
        match self.kind {
            RefusalKind::NoRoute => StatusCode::NOT_FOUND,
            RefusalKind::NotReady
            | RefusalKind::NoUpstream
            | RefusalKind::Leaving
            | RefusalKind::Rejected
            | RefusalKind::Misdirected
            | RefusalKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            RefusalKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
            RefusalKind::Unreachable | RefusalKind::Broken | RefusalKind::Garbled => {
                StatusCode::BAD_GATEWAY
            }
            RefusalKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalKind::BadRequest => StatusCode::BAD_REQUEST,
            RefusalKind::Forbidden => StatusCode::FORBIDDEN,
            RefusalKind::Duplicate => StatusCode::CONFLICT,
            RefusalKind::Unsupported => StatusCode::NOT_IMPLEMENTED,
        }
    }

    /// Returns this refusal with the time after which the caller may come back.
    pub fn with_pause(mut self, pause: Duration) -> Self {
        self.pause = Some(pause);
        self
    }

    /// Returns after how long a later try can work, where it can.
    pub fn retry_after(&self) -> Option<Duration> {
        match (self.outcome, self.kind) {
            (
                Outcome::NotRun,
                RefusalKind::NotReady
                | RefusalKind::NoUpstream
                | RefusalKind::Leaving
                | RefusalKind::Overloaded
                | RefusalKind::Deadline
                | RefusalKind::Rejected
                | RefusalKind::Misdirected
                | RefusalKind::Unreachable,
            ) => Some(self.pause.unwrap_or(RETRY_PAUSE)),
            _ => None,
        }
    }

    /// Returns whether a request that ended so has reached the upstream.
    pub const fn arrived(&self) -> bool {
        match self.kind {
            RefusalKind::Rejected | RefusalKind::Misdirected | RefusalKind::Garbled => true,
            _ => !matches!(self.outcome, Outcome::NotRun),
        }
    }

    /// Reads the refusal that another daemon answered with.
    pub(crate) fn of(response: &Response<impl Sized>) -> Option<Self> {
        let outcome = Outcome::of(response)?;
        let kind = RefusalKind::of(response)?;
        let pause = number(response.headers(), &PAUSE).map(Duration::from_millis);
        let message = response.headers().get(REASON);
        let message = message.and_then(|reason| reason.to_str().ok());
        Some(Self {
            kind,
            outcome,
            message: message.unwrap_or("refused by the upstream's gate").into(),
            pause,
        })
    }

    /// Returns the answer to another daemon, which reads it with [`Refusal::of`].
    pub(crate) fn to_daemon(&self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(KIND, HeaderValue::from_static(self.kind.as_str()));
        if let Some(pause) = self.pause {
            headers.insert(PAUSE, HeaderValue::from(pause.as_millis() as u64));
        }
        if let Ok(reason) = HeaderValue::from_str(&self.message) {
            headers.insert(REASON, reason);
        }
        response
    }

    /// Returns the answer to a caller.
    pub(crate) fn response(&self, dialect: &dyn Dialect) -> Response<Body> {
        let page = Page {
            kind: self.kind.as_str(),
            outcome: self.outcome,
            message: &self.message,
        };
        let json = serde_json::to_vec(&page).unwrap_or_default();
        let mut response = Response::new(full(Bytes::from(json)));
        *response.status_mut() = dialect.status(self);
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(KIND, HeaderValue::from_static(self.kind.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(pause) = self.retry_after() {
            dialect.retry_after(headers, pause);
        }
        response
    }
}
