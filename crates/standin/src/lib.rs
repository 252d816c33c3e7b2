//! Stand-ins for the external parts of the system: the key-value service of the platform and
//! upstreams.
//!
//! The demo, the tests and the benchmarks use them; the daemon does not depend on them.

mod control;
mod kv;
mod kv_server;
mod limit;
mod upstream;

pub use control::{ControlClient, ControlError, serve_kv_control};
pub use kv::{Counts, Faults, Kv};
pub use kv_server::KvServer;
pub use upstream::{Behaviour, Run, Upstream, UpstreamSettings};
