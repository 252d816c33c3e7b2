//! Starts a fleet of separate processes for tests and benchmarks: a key-value service, daemons
//! and upstreams. The daemon itself starts no processes.

mod caller;
mod error;
mod fault_proxy;
mod fleet;
mod process;

pub use caller::{Caller, Response};
pub use error::Error;
pub use fault_proxy::{FaultProxy, LinkFault};
pub use fleet::{DaemonProcess, Fleet, KvProcess, TOKEN, UpstreamProcess, VmSpec, wait_until};
pub use process::{Process, binary};
