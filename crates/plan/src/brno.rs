//! Example: the configuration of Městská redakční služba Brno.

use model::{PathMatch, Priority};

use crate::{Plan, PlanError, ServiceRef};

/// Host that editors and authors call.
const HOST: &str = "redakce.brno.example";

/// Calls that one upstream runs concurrently.
const SLOTS: u32 = 12;

/// Largest number of connections that one upstream accepts.
const CONNECTIONS: u32 = 130;

/// Largest figure bundle.
const FIGURE_BYTES: u64 = 64 << 20;

/// Returns the plan: proofs and galleys are read, acceptance notices are sent at most once.
///
/// # Errors
///
/// Never: every name in the plan is valid.
pub fn brno() -> Result<Plan, PlanError> {
    let mut plan = Plan::new("redakce")?;
    let proofdesk = service(&mut plan, "proofdesk")?;
    let decisions = service(&mut plan, "decisions")?;
    let galleys = service(&mut plan, "galleys")?;
    let proofs = plan.pool("proofs", &proofdesk)?;
    let notices = plan.pool("notices", &decisions)?;
    let status = plan.pool("galley-status", &galleys)?;
    plan.route("proofs", HOST, PathMatch::Prefix("/proofs".into()))?
        .to(&proofs, 1)
        .timeout_ms(5_000)
        .priority(Priority::High)
        .add();
    plan.route("figures", HOST, PathMatch::Prefix("/figures".into()))?
        .method("GET")
        .method("PUT")
        .to(&proofs, 1)
        .timeout_ms(60_000)
        .idempotent(true)
        .body_limit(FIGURE_BYTES)
        .add();
    plan.route("notices", HOST, PathMatch::Prefix("/notices".into()))?
        .to(&notices, 1)
        .timeout_ms(10_000)
        .idempotent(false)
        .priority(Priority::High)
        .add();
    plan.route("galleys", HOST, PathMatch::Prefix("/galleys".into()))?
        .to(&status, 1)
        .timeout_ms(3_000)
        .add();
    Ok(plan)
}

/// Adds a service with the limits of the current upstreams.
fn service(plan: &mut Plan, name: &str) -> Result<ServiceRef, PlanError> {
    let service = plan.service(name)?;
    Ok(service.slots(SLOTS).connections(CONNECTIONS).add())
}
