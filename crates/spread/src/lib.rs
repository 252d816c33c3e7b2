//! Distribution: brings versions and membership to every daemon, whatever fails in between.
//!
//! Some daemons of each failure domain are relays: they hold a lease, watch the head in the store
//! and link to the relays of other domains. Every other daemon follows a relay, directly or
//! through daemons between, in a tree of bounded fan-out. Order alone makes this safe: a version
//! is put in force only above the one before it, so leases and links merely save work.

mod codec;
mod counts;
mod follow;
mod hub;
mod link;
mod mesh;
mod node;
mod relay;
mod repair;
mod server;
mod settings;

pub use counts::{Counts, Summary};
pub use node::{DrainError, Local, Node, SpawnError};
pub use settings::Settings;
