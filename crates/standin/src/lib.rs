//! Stand-ins for what the system finds outside: the platform's key-value service and upstreams.
//!
//! They serve the demo, the tests and the benchmarks. No daemon needs them.

mod control;
mod kv;
mod kv_server;
mod limit;
mod upstream;

pub use control::{ControlClient, ControlError, serve_kv_control};
pub use kv::{Counts, Faults, Kv};
pub use kv_server::KvServer;
pub use upstream::{Behaviour, Run, Upstream, UpstreamSettings};
