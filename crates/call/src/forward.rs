//! Headers of an ingress's request to a gate, and the request that the gate sends to its upstream.

use std::time::Duration;

use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, Uri};
use model::RouteName;
use tokio::time::Instant;

use crate::backend::Announcement;
use crate::body::Body;
use crate::dialect::{Dialect, Envelope};
use crate::header::{CALLER, DEADLINE, KEY, RESERVATION, ROUTE, SERVICE, number, remove_internal};
use crate::reserve::ReservationId;

/// Timeout of a call if the ingress states no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the reservation that the ingress states.
pub(crate) fn reservation(headers: &HeaderMap) -> Option<ReservationId> {
    headers.get(RESERVATION)?.to_str().ok()?.parse().ok()
}

/// Returns the route that the ingress states.
pub(crate) fn route(headers: &HeaderMap) -> Option<RouteName> {
    headers.get(ROUTE)?.to_str().ok()?.parse().ok()
}

/// Returns the deadline of a call.
pub(crate) fn deadline(headers: &HeaderMap) -> Instant {
    let left = number(headers, &DEADLINE).map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    Instant::now() + left
}

/// Returns the request to the upstream: HTTP/1.1, with the time left, and without internal headers
/// other than service and key.
pub(crate) fn for_upstream(
    request: Request<Body>,
    announced: &Announcement,
    dialect: &dyn Dialect,
    deadline: Instant,
) -> Request<Body> {
    let (mut parts, body) = request.into_parts();
    parts.version = http::Version::HTTP_11;
    let caller = parts
        .headers
        .get(CALLER)
        .and_then(|name| name.to_str().ok());
    let caller = caller.and_then(|name| name.parse().ok());
    let kept = [SERVICE, KEY].map(|name| parts.headers.remove(&name).map(|value| (name, value)));
    remove_internal(&mut parts.headers);
    parts.headers.extend(kept.into_iter().flatten());
    let left = deadline.saturating_duration_since(Instant::now());
    parts.headers.insert(
        dialect.deadline_header(),
        HeaderValue::from(left.as_millis() as u64),
    );
    let envelope = Envelope {
        instance: announced.instance.as_ref(),
        caller: caller.as_ref(),
    };
    dialect.write_envelope(&mut parts.headers, &envelope);
    let host = match parts.uri.authority() {
        Some(authority) => HeaderValue::from_str(authority.as_str()),
        None => HeaderValue::from_str(&announced.address.to_string()),
    };
    if let Ok(host) = host {
        parts.headers.insert(HOST, host);
    }
    let path = parts.uri.path_and_query().cloned();
    parts.uri = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    Request::from_parts(parts, body)
}
