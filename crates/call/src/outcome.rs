//! Refusals: responses that the system itself generates.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use model::CrashReport;
use serde::Serialize;

use crate::body::{Body, full};
use crate::dialect::Dialect;
use crate::header::{CRASH, KIND, OUTCOME, REASON, RETRY_DELAY, number};

/// Delay after which a refused call may be retried, unless the refusal states another.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a refused call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call cannot have reached an upstream's handler.
    NotRun,
    /// An upstream ran the call.
    Ran,
    /// The call may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome's name as used in headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the outcome header of another daemon's response.
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

/// Reason for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// No route matches the call.
    NoRoute,
    /// No version is in force yet.
    NotReady,
    /// The service has no upstream that accepts calls.
    NoUpstream,
    /// The upstream is draining or gone.
    Leaving,
    /// The upstream has no free slot.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The connection to the upstream or its gate could not be established.
    Unreachable,
    /// The upstream itself rejected the call for lack of capacity.
    Rejected,
    /// Another upstream now uses the address.
    Misdirected,
    /// The upstream's response does not belong to the call or is unusable.
    Garbled,
    /// The connection broke during the call.
    Broken,
    /// The request's body exceeds the route's limit.
    TooLarge,
    /// The request is malformed.
    BadRequest,
    /// The sender of a call to a gate does not belong to this fleet.
    Forbidden,
    /// A call with the same key was received before.
    Duplicate,
    /// The request has crashed upstreams.
    Quarantined,
    /// The call uses a feature that the system does not support.
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
        Self::Quarantined,
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
            Self::Quarantined => "quarantined",
            Self::Unsupported => "unsupported",
        }
    }

    /// Parses the refusal kind header of another daemon's response.
    pub fn of(response: &Response<impl Sized>) -> Option<Self> {
        let name = response.headers().get(KIND)?.as_bytes();
        let mut kinds = Self::ALL.iter();
        kinds.find(|kind| kind.as_str().as_bytes() == name).copied()
    }
}

/// A response that the system itself generates instead of an upstream.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Reason for the refusal.
    pub kind: RefusalKind,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Cause and remedy.
    pub message: String,
    /// Delay after which the call may be retried, if it differs from the default.
    pub retry_delay: Option<Duration>,
    /// Crash of the upstream that ended the call.
    pub crash: Option<CrashReport>,
}

/// JSON body of a refusal sent to a caller.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    kind: &'static str,
    outcome: Outcome,
    message: &'a str,
}

impl Refusal {
    /// Creates a refusal of a call that was not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            message: message.into(),
            retry_delay: None,
            crash: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Unknown,
            message: message.into(),
            retry_delay: None,
            crash: None,
        }
    }

    /// Creates a refusal of a call that already ran under the same key.
    pub fn ran(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: Outcome::Ran,
            message: message.into(),
            retry_delay: None,
            crash: None,
        }
    }

    /// Returns the HTTP status of the refusal.
    pub const fn status(&self) -> StatusCode {
        match self.kind {
            RefusalKind::NoRoute => StatusCode::NOT_FOUND,
            RefusalKind::NotReady
            | RefusalKind::NoUpstream
            | RefusalKind::Leaving
            | RefusalKind::Rejected
            | RefusalKind::Misdirected
            | RefusalKind::Quarantined
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

    /// Sets the delay after which the call may be retried.
    pub fn with_retry_delay(mut self, delay: Duration) -> Self {
        self.retry_delay = Some(delay);
        self
    }

    /// Returns the delay after which a retry can succeed, or `None` if it cannot.
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
                | RefusalKind::Quarantined
                | RefusalKind::Unreachable,
            ) => Some(self.retry_delay.unwrap_or(DEFAULT_RETRY_DELAY)),
            _ => None,
        }
    }

    /// Returns whether a request that ended with this refusal reached the upstream.
    pub const fn reached_upstream(&self) -> bool {
        match self.kind {
            RefusalKind::Rejected | RefusalKind::Misdirected | RefusalKind::Garbled => true,
            _ => !matches!(self.outcome, Outcome::NotRun),
        }
    }

    /// Parses the refusal in another daemon's response, if it is one.
    pub(crate) fn of(response: &Response<impl Sized>) -> Option<Self> {
        let outcome = Outcome::of(response)?;
        let kind = RefusalKind::of(response)?;
        let retry_delay = number(response.headers(), &RETRY_DELAY).map(Duration::from_millis);
        let message = response.headers().get(REASON);
        let message = message.and_then(|reason| reason.to_str().ok());
        Some(Self {
            kind,
            outcome,
            message: message.unwrap_or("refused by the upstream's gate").into(),
            retry_delay,
            crash: response
                .headers()
                .get(CRASH)
                .and_then(|crash| crash.to_str().ok()?.parse().ok()),
        })
    }

    /// Returns the response to another daemon, which parses it with [`Refusal::of`].
    pub(crate) fn to_daemon(&self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(KIND, HeaderValue::from_static(self.kind.as_str()));
        if let Some(delay) = self.retry_delay {
            headers.insert(RETRY_DELAY, HeaderValue::from(delay.as_millis() as u64));
        }
        let crash = self
            .crash
            .map(|crash| HeaderValue::from_str(&crash.to_string()));
        if let Some(Ok(crash)) = crash {
            headers.insert(CRASH, crash);
        }
        if let Ok(reason) = HeaderValue::from_str(&self.message) {
            headers.insert(REASON, reason);
        }
        response
    }

    /// Returns the response to a caller.
    pub(crate) fn response(&self, dialect: &dyn Dialect) -> Response<Body> {
        let body = RefusalBody {
            kind: self.kind.as_str(),
            outcome: self.outcome,
            message: &self.message,
        };
        let json = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(full(Bytes::from(json)));
        *response.status_mut() = dialect.status(self);
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(self.outcome.as_str()));
        headers.insert(KIND, HeaderValue::from_static(self.kind.as_str()));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = self.retry_after() {
            dialect.write_retry_after(headers, delay);
        }
        response
    }
}
