//! What a daemon serves: configuration and membership compiled to one immutable snapshot.
//!
//! Lock order: a [`Table`]'s own lock, then that of its [`member::Members`].

mod compile;
mod history;
mod snapshot;
mod step;
mod table;
mod upstream;

pub use snapshot::{HostTable, PoolIndex, PoolTable, RouteIndex, RouteTable, Snapshot};
pub use table::{Applied, ApplyError, Table, Whole};
pub use upstream::{Observed, Upstream};
