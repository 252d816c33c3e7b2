//! When a failed try may be followed by another.

use http::Method;
use model::Rules;

use crate::Outcome;

/// Returns whether calls of this method may run more than once under `rules`.
pub(crate) fn is_idempotent(rules: &Rules, method: &Method) -> bool {
    rules.idempotent.unwrap_or_else(|| method.is_safe())
}

/// Returns whether a try that ended with `outcome` may be followed by another.
pub(crate) fn may_retry(outcome: Outcome, idempotent: bool, tries: u32, rules: &Rules) -> bool {
    if tries > rules.retries {
        return false;
    }
    match outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => idempotent,
        Outcome::Ran => false,
    }
}
