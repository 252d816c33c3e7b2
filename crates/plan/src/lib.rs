//! The operators' library: describes services, pools and routes, and prints the configuration.
//!
//! A pool takes its service, and a route its pools, as values that the plan hands out, so that a
//! reference to a part that was forgotten does not compile. Parts of other teams are named with
//! [`Plan::other_service`] and [`Plan::other_pool`]; `sardinestall check --admin` and every accept
//! check that they exist.
//!
//! A program builds a plan, prints it and leaves the accept to `sardinestall accept`:
//!
//! ```
//! use model::PathMatch;
//! use plan::Plan;
//!
//! # fn main() -> Result<(), plan::PlanError> {
//! let mut plan = Plan::new("orders")?;
//! let store = plan.service("order-store")?.slots(12).connections(110).add();
//! let writes = plan.pool("order-writes", &store)?;
//! plan.route("orders", "shop.example", PathMatch::Prefix("/orders".into()))?
//!     .method("POST")
//!     .to(&writes, 1)
//!     .timeout_ms(2_000)
//!     .idempotent(false)
//!     .add();
//! println!("{}", plan.to_json()?);
//! # Ok(())
//! # }
//! ```
//!
//! [`brno`] and [`tesfaye`] are two whole examples. The format has a JSON Schema,
//! `schema/config.schema.json`, for programs in other languages.

mod brno;
mod plan;
mod tesfaye;

pub use brno::brno;
pub use plan::{Plan, PlanError, PoolRef, RouteBuilder, ServiceBuilder, ServiceRef};
pub use tesfaye::tesfaye;
