//! Headers of the system's own, and those that do not travel on.

use http::header::{CONNECTION, EXPECT, TE, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Id that follows a call through its daemons.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Time left until the call's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sardinestall-deadline-ms");

/// What became of a call that the system itself answers: `not-run`, `ran` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("sardinestall-outcome");

/// Why the system itself answers a call.
pub const KIND: HeaderName = HeaderName::from_static("sardinestall-kind");

/// Service that the ingress wants to reach.
pub const SERVICE: HeaderName = HeaderName::from_static("sardinestall-service");

/// Key under which a call that may run only once is remembered.
pub const KEY: HeaderName = HeaderName::from_static("sardinestall-key");

/// Key that a caller gives to a call that may run only once.
pub const CALLER_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Priority of the call's route.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("sardinestall-priority");

/// Calls that the upstream runs and that wait for it, in percent of its limit.
pub(crate) const LOAD: HeaderName = HeaderName::from_static("sardinestall-load");

/// Service of the VM on which the call began.
pub(crate) const CALLER: HeaderName = HeaderName::from_static("sardinestall-caller");

/// Route of the call.
pub(crate) const ROUTE: HeaderName = HeaderName::from_static("sardinestall-route");

/// Time left until the call's answer is worth less, in milliseconds.
pub(crate) const AIM: HeaderName = HeaderName::from_static("sardinestall-aim-ms");

/// Marks a try that is refused at once where it would have to wait for a slot.
pub(crate) const NO_WAIT: HeaderName = HeaderName::from_static("sardinestall-no-wait");

/// Asks a gate to hold a slot for the call that follows.
pub(crate) const RESERVE: HeaderName = HeaderName::from_static("sardinestall-reserve");

/// Size of the body of the call that a slot is asked for, in bytes.
pub(crate) const BODY: HeaderName = HeaderName::from_static("sardinestall-body");

/// Slot that a gate holds for the call.
pub(crate) const RESERVATION: HeaderName = HeaderName::from_static("sardinestall-reservation");

/// Time after which a refused call may come back, in milliseconds.
pub(crate) const PAUSE: HeaderName = HeaderName::from_static("sardinestall-pause-ms");

/// What a gate says of its refusal.
pub(crate) const REASON: HeaderName = HeaderName::from_static("sardinestall-reason");

/// Key that the daemons of one fleet share.
pub(crate) const FLEET_KEY: HeaderName = HeaderName::from_static("sardinestall-fleet-key");

/// Prefix of the system's own headers.
const OWN_PREFIX: &str = "sardinestall-";

/// Headers that belong to one connection and do not travel on.
static HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that belong to one connection; keeps the wish for trailers.
pub(crate) fn remove_hop(headers: &mut HeaderMap) {
    let trailers = headers.get_all(TE).iter().any(names_trailers);
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    if trailers {
        headers.insert(TE, HeaderValue::from_static("trailers"));
    }
}

fn names_trailers(value: &HeaderValue) -> bool {
    let Ok(text) = value.to_str() else {
        return false;
    };
    text.split(',')
        .any(|item| item.trim().eq_ignore_ascii_case("trailers"))
}

/// Removes the system's own headers, which no caller and no upstream may set.
pub(crate) fn remove_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Reads a header that holds a number.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
