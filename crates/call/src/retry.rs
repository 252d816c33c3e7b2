//! When a failed try may be followed by another.

use http::Method;
use model::Rules;

use crate::{Outcome, RefusalKind};

/// Returns whether calls of this method may run more than once under `rules`.
pub fn is_idempotent(rules: &Rules, method: &Method) -> bool {
    rules.idempotent.unwrap_or_else(|| method.is_safe())
}

/// Returns whether a try that the system itself answered may be followed by another.
///
/// What an upstream answers is never tried again, whatever its status: so a failure deep in a
/// chain of calls is retried by the one ingress next to it only.
pub fn may_retry(
    outcome: Outcome,
    kind: Option<RefusalKind>,
    idempotent: bool,
    tries: u32,
    rules: &Rules,
) -> bool {
    if tries > rules.retries {
        return false;
    }
    // Another upstream cannot answer these better.
    if let Some(
        RefusalKind::BadRequest
        | RefusalKind::TooLarge
        | RefusalKind::Forbidden
        | RefusalKind::Duplicate
        | RefusalKind::Unsupported,
    ) = kind
    {
        return false;
    }
    match outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => idempotent,
        Outcome::Ran => false,
    }
}
