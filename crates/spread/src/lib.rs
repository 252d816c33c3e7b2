//! Fault-tolerant distribution of versions and membership to every daemon of the fleet.
//!
//! Some daemons of each failure domain are relays: they hold a lease, watch the head in the store
//! and link to the relays of other domains. All other daemons follow a relay, directly or through
//! other daemons, in a tree of bounded fan-out. Safety relies only on the order of versions: a
//! version is put in force only if it is newer than the current one. Leases and links merely save
//! work.

mod child_link;
mod children;
mod codec;
mod counts;
mod expiry_guard;
mod floor;
mod follow;
mod hub;
mod join_limit;
mod member_backup;
mod mesh;
mod metrics;
mod node;
mod pack;
mod parent_link;
mod relay;
mod relays;
mod release;
mod repair;
mod server;
mod settings;
mod single_flight;

pub use counts::{Counts, Lag, Summary};
pub use expiry_guard::ExpiryGuard;
pub use floor::is_quorum;
pub use join_limit::JoinLimit;
pub use node::{DrainError, DrainHandler, Node, SpawnError};
pub use settings::Settings;
pub use single_flight::SingleFlight;
