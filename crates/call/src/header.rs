//! Headers of the system's own.

use http::HeaderName;

/// Id that follows a call through its daemons.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Time left until the call's deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("sardinestall-deadline-ms");

/// What became of a call that the system itself answers: `not-run`, `ran` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("sardinestall-outcome");

/// Service that the ingress wants to reach.
pub const SERVICE: HeaderName = HeaderName::from_static("sardinestall-service");

/// Key under which a call that may run only once is remembered.
pub const KEY: HeaderName = HeaderName::from_static("sardinestall-key");

/// Key that the daemons of one fleet share.
pub(crate) const FLEET_KEY: HeaderName = HeaderName::from_static("sardinestall-fleet-key");
