//! Library for operators: builds a configuration of services, pools and routes, and prints it.
//!
//! A pool refers to its service, and a route to its pools, by values that the plan returns, so that
//! a reference to a missing item does not compile. Items of other teams are referenced with
//! [`Plan::other_service`] and [`Plan::other_pool`]; `sardinestall check --admin` and every accept
//! verify that they exist.
//!
//! A program builds a plan and prints it; `sardinestall accept` then accepts the printed file:
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
//! [`brno`] and [`tesfaye`] are two complete examples. For programs in other languages, the format is
//! described by a JSON Schema, `schema/config.schema.json`.

mod brno;
mod plan;
mod tesfaye;

pub use brno::brno;
pub use plan::{Plan, PlanError, PoolRef, RouteBuilder, ServiceBuilder, ServiceRef};
pub use tesfaye::tesfaye;
