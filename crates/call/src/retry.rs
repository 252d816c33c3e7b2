//! When a failed try may be followed by another.

use http::Method;
use model::Rules;

use crate::{Outcome, Refusal, RefusalKind};

/// Returns whether calls of this method may run more than once under `rules`.
pub fn is_idempotent(rules: &Rules, method: &Method) -> bool {
    rules.idempotent.unwrap_or_else(|| method.is_safe())
}

/// Returns whether a try that ended with `refusal` may be followed by another.
///
/// `arrivals` counts the tries that reached an upstream; the others cost upstreams nothing and do not
/// count as retries. What an upstream answers is never tried again, whatever its status: so a failure
/// deep in a chain of calls is retried by the one ingress next to it only.
pub fn may_retry(refusal: &Refusal, idempotent: bool, arrivals: u32, rules: &Rules) -> bool {
    if arrivals > rules.retries {
        return false;
    }
    // Another upstream cannot answer these better.
    if let RefusalKind::BadRequest
    | RefusalKind::TooLarge
    | RefusalKind::Forbidden
    | RefusalKind::Duplicate
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
