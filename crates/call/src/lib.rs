//! The call path: the ingress takes the calls of local callers and picks an upstream, the gate
//! beside that upstream admits them and calls it.
//!
//! Lock order: the lock of a body, then at most one other of this crate.

mod admission;
mod backend;
mod body;
mod bounds;
pub mod budget;
pub mod choose;
mod connections;
mod dialect;
mod forward;
mod gate;
mod gate_connections;
mod header;
pub mod health;
mod ingress;
mod intake;
pub mod keys;
pub mod limit;
mod metrics;
mod outcome;
mod payload;
pub mod queue;
mod request;
mod reserve;
pub mod retry;
pub mod route_stats;
pub mod scan;
pub mod selection;
mod serve;
mod tries;
pub mod uplink;
mod upstream_stats;

pub use backend::{Announcement, Backend, Readiness};
pub use dialect::{Dialect, Envelope, Judgement, OwnDialect};
pub use gate::Gate;
pub use header::{CALLER_KEY, DEADLINE, KEY, KIND, OUTCOME, REQUEST_ID, SERVICE};
pub use ingress::{Ingress, IngressSettings};
pub use metrics::Metrics;
pub use outcome::{Outcome, Refusal, RefusalKind};
pub use serve::{Server, ServerError};
