//! The operators' library: describes services, pools and routes, and prints the configuration.
//!
//! A pool takes its service, and a route its pools, as values that only this plan hands out, so
//! that a reference to something that does not exist cannot be written.

mod brno;
mod plan;
mod tesfaye;

pub use brno::brno;
pub use plan::{Plan, PlanError, PoolRef, RouteBuilder, ServiceBuilder, ServiceRef};
pub use tesfaye::tesfaye;
