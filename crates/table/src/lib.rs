//! Configuration and membership, compiled to an immutable snapshot that calls are routed with.
//!
//! Lock order: the lock of [`Table`], then that of its [`member::Members`].

mod compile;
mod history;
mod incremental;
mod snapshot;
mod table;
mod upstream;

pub use snapshot::{HostTable, PoolIndex, PoolTable, RouteIndex, RouteTable, Snapshot};
pub use table::{Applied, ApplyError, FullVersion, Table};
pub use upstream::{Upstream, UpstreamStats};
