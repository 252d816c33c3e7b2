//! Starts a fleet of separate processes for tests and benchmarks: a key-value service, daemons
//! and upstreams. The system's own processes start none.

mod caller;
mod cut;
mod error;
mod fleet;
mod process;

pub use caller::{Answer, Caller};
pub use cut::{Cut, Harm};
pub use error::Error;
pub use fleet::{DaemonProcess, Fleet, KvProcess, TOKEN, UpstreamProcess, VmSpec, wait_until};
pub use process::{Process, binary};
