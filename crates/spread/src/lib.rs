//! Distribution: brings versions and membership to every daemon, whatever fails in between.
//!
//! Some daemons of each failure domain are relays: they hold a lease, watch the head in the store
//! and link to the relays of other domains. Every other daemon follows a relay, directly or
//! through daemons between, in a tree of bounded fan-out. Order alone makes this safe: a version
//! is put in force only above the one before it, so leases and links merely save work.

mod census;
mod children;
mod codec;
mod counts;
mod flight;
mod floor;
mod follow;
mod guard;
mod hub;
mod join;
mod link;
mod mesh;
mod node;
mod pack;
mod relay;
mod relays;
mod release;
mod repair;
mod server;
mod settings;
mod traffic;
mod upper;

pub use counts::{Counts, Lag, Summary};
pub use flight::Flight;
pub use floor::is_enough;
pub use guard::Guard;
pub use join::JoinLimit;
pub use node::{DrainError, Local, Node, SpawnError};
pub use settings::Settings;
