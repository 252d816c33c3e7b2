//! Decides whether a failed attempt may be retried.

use http::Method;
use model::Rules;

use crate::{Outcome, Refusal, RefusalKind};

/// Returns whether calls of `method` may run more than once under `rules`.
pub fn is_idempotent(rules: &Rules, method: &Method) -> bool {
    rules.idempotent.unwrap_or_else(|| method.is_safe())
}

/// Returns whether an attempt that ended with `refusal` may be retried.
///
/// `arrivals` is the number of attempts that reached an upstream; the others put no load on upstreams and
/// do not count as retries. A response of an upstream is never retried, whatever its status. So a failure
/// deep in a chain of calls is retried only by the ingress next to it.
pub fn may_retry(refusal: &Refusal, idempotent: bool, arrivals: u32, rules: &Rules) -> bool {
    if arrivals > rules.retries {
        return false;
    }
    // Another upstream would refuse these too.
    if let RefusalKind::BadRequest
    | RefusalKind::TooLarge
    | RefusalKind::Forbidden
    | RefusalKind::Duplicate
    | RefusalKind::Quarantined
    | RefusalKind::Unsupported = refusal.kind
    {
        return false;
    }
    match refusal.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => idempotent,
        Outcome::Ran => false,
    }
}
