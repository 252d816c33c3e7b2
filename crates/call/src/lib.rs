//! The call path: the ingress accepts calls from local callers and selects an upstream; the gate in
//! front of that upstream admits the calls and forwards them to it.
//!
//! Lock order: a body's lock first, then at most one other lock of this crate, except that the crashes are locked under
//! the running calls.

mod admission;
mod backend;
pub mod backup;
mod body;
mod bounds;
pub mod budget;
pub mod choose;
mod closing;
mod connections;
pub mod crashes;
mod dialect;
mod dispatch;
mod forward;
mod gate;
mod gate_connections;
mod header;
pub mod health;
mod ingress;
pub mod keys;
pub mod limit;
mod live_stream;
mod metrics;
mod outcome;
pub mod overload;
pub mod pace;
mod payload;
mod pipeline;
mod quarantine;
pub mod queue;
mod request;
mod reserve;
pub mod retry;
pub mod route_stats;
mod running;
pub mod scan;
pub mod selection;
mod serve;
mod statements;
pub mod uplink;
mod upstream_tracker;

pub use backend::{Announcement, Backend, Readiness};
pub use crashes::Crashes;
pub use dialect::{DefaultDialect, Dialect, Envelope, ResponseCheck};
pub use gate::Gate;
pub use header::{CALLER_KEY, DEADLINE, KEY, KIND, OUTCOME, REQUEST_ID, SERVICE};
pub use ingress::{Ingress, IngressSettings};
pub use metrics::Metrics;
pub use outcome::{Outcome, Refusal, RefusalKind};
pub use serve::{Server, ServerError};
