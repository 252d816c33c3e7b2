//! Test configurations, one part for each team. A stamp makes each version distinct.

use model::PathMatch;
use plan::{Plan, PlanError};

/// Host of every route.
pub const HOST: &str = "proof.example";

/// Timeout of every route before the stamp is added.
const TIMEOUT_MS: u64 = 5_000;

/// Returns the service of `team`.
pub fn service_of(team: &str) -> String {
    format!("{team}-work")
}

/// Returns the configuration of `team` as JSON, with `stamp` added to the route timeouts.
///
/// Calls of `/TEAM/reads` are idempotent; calls of `/TEAM/notices` are not.
///
/// # Errors
///
/// Fails if `team` is not a valid name.
pub fn render_config(team: &str, stamp: u64) -> Result<String, PlanError> {
    let mut plan = Plan::new(team)?;
    let service = plan.service(&service_of(team))?.add();
    let pool = plan.pool(&format!("{team}-pool"), &service)?;
    let path = |last: &str| PathMatch::Prefix(format!("/{team}/{last}"));
    plan.route(&format!("{team}-reads"), HOST, path("reads"))?
        .to(&pool, 1)
        .timeout_ms(TIMEOUT_MS + stamp)
        .add();
    plan.route(&format!("{team}-notices"), HOST, path("notices"))?
        .to(&pool, 1)
        .timeout_ms(TIMEOUT_MS + stamp)
        .idempotent(false)
        .add();
    plan.to_json()
}
