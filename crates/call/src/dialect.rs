//! The port to the manner in which callers and upstreams speak.

use std::fmt::Debug;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, response};
use model::{InstanceId, ServiceName};

use crate::header::{DEADLINE, REQUEST_ID};
use crate::{Refusal, RefusalKind};

/// Whom a request is for and from, as the gate tells its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Envelope<'a> {
    /// Upstream that the request is for.
    pub instance: Option<&'a InstanceId>,
    /// Service of the VM on which the request began.
    pub caller: Option<&'a ServiceName>,
}

/// What an upstream's answer says of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It is the upstream's answer to the request.
    Answer,
    /// The upstream had no room, and did not run the request.
    Rejected,
    /// Another upstream has the address, and did not run the request.
    Misdirected,
    /// It is not an answer to this request, which may have run.
    Foreign(&'static str),
}

/// How callers and upstreams speak: the headers that the call path reads and writes.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the header that holds a request's id.
    fn id(&self) -> HeaderName;

    /// Returns the header that holds the time left, in milliseconds.
    fn deadline(&self) -> HeaderName;

    /// Writes the envelope of a request to an upstream.
    fn address(&self, headers: &mut HeaderMap, envelope: &Envelope<'_>);

    /// Judges an upstream's answer to the request with `id`.
    fn judge(&self, id: Option<&HeaderValue>, answer: &response::Parts) -> Judgement;

    /// Returns the status of a refusal.
    fn status(&self, refusal: &Refusal) -> StatusCode;

    /// Writes when a refused caller may come back.
    fn retry_after(&self, headers: &mut HeaderMap, pause: Duration);
}

/// The product's own manner.
#[derive(Debug, Clone, Copy)]
pub struct OwnDialect;

impl Dialect for OwnDialect {
    fn id(&self) -> HeaderName {
        REQUEST_ID
    }

    fn deadline(&self) -> HeaderName {
        DEADLINE
    }

    fn address(&self, _headers: &mut HeaderMap, _envelope: &Envelope<'_>) {}

    fn judge(&self, _id: Option<&HeaderValue>, _answer: &response::Parts) -> Judgement {
        Judgement::Answer
    }

    fn status(&self, refusal: &Refusal) -> StatusCode {
        refusal.status()
    }

    /// Writes whole seconds, rounded up.
    fn retry_after(&self, headers: &mut HeaderMap, pause: Duration) {
        let seconds = pause.as_millis().div_ceil(1_000) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
}

impl Judgement {
    /// Returns the refusal that stands for an answer which is none to the request.
    pub(crate) fn refusal(self) -> Option<Refusal> {
        match self {
            Self::Answer => None,
            Self::Rejected => Some(Refusal::not_run(
                RefusalKind::Rejected,
                "the upstream had no room; try again later",
            )),
            Self::Misdirected => Some(Refusal::not_run(
                RefusalKind::Misdirected,
                "another upstream has the address; try again",
            )),
            Self::Foreign(reason) => Some(Refusal::unknown(
                RefusalKind::Garbled,
                format!("the upstream's answer is unusable ({reason}); the call may have run"),
            )),
        }
    }
}
