//! Example: the configuration of Tesfaye Lantern Tickets PLC.

use model::{PathMatch, Priority};

use crate::{Plan, PlanError, ServiceRef};

/// Host that pilgrims, stewards and families call.
const HOST: &str = "tickets.tesfaye.example";

/// Calls that one upstream runs concurrently.
const SLOTS: u32 = 12;

/// Largest number of connections that one upstream accepts.
const CONNECTIONS: u32 = 110;

/// Largest banner artwork.
const BANNER_BYTES: u64 = 32 << 20;

/// Returns the plan: pass checks have a short timeout and high priority, bookings run at most once.
///
/// # Errors
///
/// Never: every name in the plan is valid.
pub fn tesfaye() -> Result<Plan, PlanError> {
    let mut plan = Plan::new("lanterns")?;
    let routes = service(&mut plan, "fanos-routes")?;
    let till = service(&mut plan, "fanos-till")?;
    let gates = service(&mut plan, "fanos-gates")?;
    let walks = plan.pool("walks", &routes)?;
    let bookings = plan.pool("bookings", &till)?;
    let passes = plan.pool("passes", &gates)?;
    plan.route("walks", HOST, PathMatch::Prefix("/walks".into()))?
        .to(&walks, 1)
        .timeout_ms(3_000)
        .add();
    plan.route("banners", HOST, PathMatch::Prefix("/banners".into()))?
        .method("GET")
        .method("PUT")
        .to(&walks, 1)
        .timeout_ms(60_000)
        .idempotent(true)
        .priority(Priority::Low)
        .body_limit(BANNER_BYTES)
        .add();
    plan.route("bookings", HOST, PathMatch::Prefix("/bookings".into()))?
        .to(&bookings, 1)
        .timeout_ms(10_000)
        .idempotent(false)
        .priority(Priority::High)
        .add();
    plan.route("passes", HOST, PathMatch::Prefix("/passes".into()))?
        .to(&passes, 1)
        .timeout_ms(1_000)
        .retries(1)
        .priority(Priority::High)
        .add();
    Ok(plan)
}

/// Adds a service with the limits of the current upstreams.
fn service(plan: &mut Plan, name: &str) -> Result<ServiceRef, PlanError> {
    let service = plan.service(name)?;
    Ok(service.slots(SLOTS).connections(CONNECTIONS).add())
}
