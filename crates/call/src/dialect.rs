//! Interface to the HTTP conventions of callers and upstreams.

use std::fmt::Debug;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, response};
use model::{CallRate, InstanceId, ServiceName, UnitError};

use crate::header::{DEADLINE, REQUEST_ID};
use crate::{Refusal, RefusalKind};

/// Addressee and sender of a request, as the gate states them to its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Envelope<'a> {
    /// Instance of the upstream that the request is addressed to.
    pub instance: Option<&'a InstanceId>,
    /// Service of the VM that sent the request.
    pub caller: Option<&'a ServiceName>,
}

/// Result of checking an upstream's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseCheck {
    /// The response answers the request.
    Accepted,
    /// The upstream lacked capacity and did not run the request.
    Rejected,
    /// Another upstream now uses the address and did not run the request.
    Misdirected,
    /// The response does not belong to the request, or is unusable; the request may have run.
    Mismatched(&'static str),
}

/// HTTP conventions of callers and upstreams: the headers and status codes that the call path reads
/// and writes.
pub trait Dialect: Debug + Send + Sync {
    /// Returns the header with a request's id.
    fn request_id_header(&self) -> HeaderName;

    /// Returns the header with the time left until the deadline, in milliseconds.
    fn deadline_header(&self) -> HeaderName;

    /// Writes the envelope into the headers of a request to an upstream.
    fn write_envelope(&self, headers: &mut HeaderMap, envelope: &Envelope<'_>);

    /// Checks an upstream's response to the request with `id`.
    ///
    /// No earlier response on the connection failed to name its request, so one that names none is no second
    /// copy of an earlier one.
    fn check_response(&self, id: Option<&HeaderValue>, response: &response::Parts)
    -> ResponseCheck;

    /// Returns whether a response with `headers` names the request that it answers. A connection is not
    /// reused after one that does not, because a second copy of it could pass for any later response.
    fn names_request(&self, _headers: &HeaderMap) -> bool {
        true
    }

    /// Returns the limit on the calls of all daemons together that an upstream states in its response, if
    /// it states one.
    ///
    /// # Errors
    ///
    /// Fails if the limit cannot be read.
    fn stated_limit(&self, _headers: &HeaderMap) -> Result<Option<CallRate>, UnitError> {
        Ok(None)
    }

    /// Returns whether an upstream states in its response that it leaves.
    fn states_leaving(&self, _headers: &HeaderMap) -> bool {
        false
    }

    /// Returns the HTTP status of a refusal.
    fn status(&self, refusal: &Refusal) -> StatusCode;

    /// Writes the delay after which a refused call may be retried.
    fn write_retry_after(&self, headers: &mut HeaderMap, delay: Duration);
}

/// The default conventions.
#[derive(Debug, Clone, Copy)]
pub struct DefaultDialect;

impl Dialect for DefaultDialect {
    fn request_id_header(&self) -> HeaderName {
        REQUEST_ID
    }

    fn deadline_header(&self) -> HeaderName {
        DEADLINE
    }

    fn write_envelope(&self, _headers: &mut HeaderMap, _envelope: &Envelope<'_>) {}

    fn check_response(
        &self,
        _id: Option<&HeaderValue>,
        _response: &response::Parts,
    ) -> ResponseCheck {
        ResponseCheck::Accepted
    }

    fn status(&self, refusal: &Refusal) -> StatusCode {
        refusal.status()
    }

    /// Writes the delay in whole seconds, rounded up.
    fn write_retry_after(&self, headers: &mut HeaderMap, delay: Duration) {
        let seconds = delay.as_millis().div_ceil(1_000) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
    }
}

/// Delay after which a call that its upstream rejected may be retried. The upstream names none, and others
/// may have room, so this is about the time of a call.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(100);

impl ResponseCheck {
    /// Returns the refusal that replaces a response that was not accepted.
    pub(crate) fn refusal(self) -> Option<Refusal> {
        match self {
            Self::Accepted => None,
            Self::Rejected => Some(
                Refusal::not_run(
                    RefusalKind::Rejected,
                    "the upstream had no room; try again later",
                )
                .with_retry_delay(REJECTED_RETRY_DELAY),
            ),
            Self::Misdirected => Some(Refusal::not_run(
                RefusalKind::Misdirected,
                "another upstream has the address; try again",
            )),
            Self::Mismatched(reason) => Some(Refusal::unknown(
                RefusalKind::Garbled,
                format!("the upstream's answer is unusable ({reason}); the call may have run"),
            )),
        }
    }
}
