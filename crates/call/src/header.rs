//! Names of headers, and the removal of internal and hop-by-hop headers.

use http::header::{CONNECTION, EXPECT, TE, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Id of a call, the same at each daemon that it passes.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Time left until the call's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sardinestall-deadline-ms");

/// Outcome of a refused call: `not-run`, `ran` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("sardinestall-outcome");

/// Kind of a refusal.
pub const KIND: HeaderName = HeaderName::from_static("sardinestall-kind");

/// Service that the call is addressed to.
pub const SERVICE: HeaderName = HeaderName::from_static("sardinestall-service");

/// Key by which a gate detects duplicates of a call that may run only once.
pub const KEY: HeaderName = HeaderName::from_static("sardinestall-key");

/// Caller's key for a call that may run only once.
pub const CALLER_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Priority of the call's route.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("sardinestall-priority");

/// Running and queued calls of the upstream, in percent of its limit.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("sardinestall-load");

/// What the upstream states in its responses, between the daemon beside it and those that call it.
pub(crate) const NOTICE: HeaderName = HeaderName::from_static("sardinestall-notice");

/// Service of the VM that the call comes from.
pub(crate) const CALLER: HeaderName = HeaderName::from_static("sardinestall-caller");

/// Route of the call.
pub(crate) const ROUTE: HeaderName = HeaderName::from_static("sardinestall-route");

/// Time left until the call misses its latency objective, in milliseconds.
pub(crate) const OBJECTIVE: HeaderName = HeaderName::from_static("sardinestall-aim-ms");

/// Set on an attempt that is refused at once if it would have to queue for a slot; `brief` on one that may
/// join a short queue.
pub(crate) const NO_WAIT: HeaderName = HeaderName::from_static("sardinestall-no-wait");

/// Value of [`NO_WAIT`] for an attempt that may join a short queue.
pub(crate) const BRIEF: &str = "brief";

/// Requests a slot reservation for the call that follows.
pub(crate) const RESERVE: HeaderName = HeaderName::from_static("sardinestall-reserve");

/// Size of the body of the call that a reservation is requested for, in bytes.
pub(crate) const BODY: HeaderName = HeaderName::from_static("sardinestall-body");

/// Id of the slot reserved for the call.
pub(crate) const RESERVATION: HeaderName = HeaderName::from_static("sardinestall-reservation");

/// Fingerprint of the call's request.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("sardinestall-request");

/// Crashes of upstreams that count against the call's request, separated by commas.
pub(crate) const CRASHES: HeaderName = HeaderName::from_static("sardinestall-crashes");

/// Crash of the upstream that ended the refused call.
pub(crate) const CRASH: HeaderName = HeaderName::from_static("sardinestall-crash");

/// Delay after which a refused call may be retried, in milliseconds.
pub(crate) const RETRY_DELAY: HeaderName = HeaderName::from_static("sardinestall-pause-ms");

/// Reason that a gate states for a refusal.
pub(crate) const REASON: HeaderName = HeaderName::from_static("sardinestall-reason");

/// Shared key of the fleet.
pub(crate) const FLEET_KEY: HeaderName = HeaderName::from_static("sardinestall-fleet-key");

/// Prefix of internal headers.
const INTERNAL_PREFIX: &str = "sardinestall-";

/// Hop-by-hop headers, which are not forwarded.
static HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those named by `Connection`; keeps `TE: trailers`.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let trailers = headers.get_all(TE).iter().any(accepts_trailers);
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
}

fn accepts_trailers(value: &HeaderValue) -> bool {
    let Ok(text) = value.to_str() else {
        return false;
    };
    text.split(',')
        .any(|item| item.trim().eq_ignore_ascii_case("trailers"))
}

/// Removes the internal headers, so that neither callers nor upstreams can pass them on.
pub(crate) fn remove_internal(headers: &mut HeaderMap) {
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Parses a numeric header.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
