//! The call path: the ingress takes the calls of local callers and picks an upstream, the gate
//! beside that upstream admits them and calls it.

mod admission;
mod backend;
mod body;
mod choose;
mod gate;
mod header;
mod ingress;
mod links;
mod metrics;
mod outcome;
mod retry;
mod serve;

pub use backend::{Announcement, Backend, Readiness};
pub use gate::Gate;
pub use header::{DEADLINE, KEY, OUTCOME, REQUEST_ID, SERVICE};
pub use ingress::Ingress;
pub use metrics::Metrics;
pub use outcome::{Outcome, Refusal, RefusalKind};
pub use serve::{Server, ServerError};
