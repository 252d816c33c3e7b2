//! Distribution of configuration and membership through a key-value store.
//!
//! A relay in each failure domain watches the key that holds the configuration and the prefix that holds
//! the membership records. The other daemons poll two relays for changes, and read the store themselves
//! while too few relays respond. Each daemon keeps its record in the store under a lease. Daemons also
//! exchange versions and records with random peers, which covers outages of the store.
//!
//! Decisions are separate from sockets and clocks: the selection of relays ([`relays`]), the next read of
//! the store ([`schedule`]), the next call for the local record ([`publisher`]), the changes that a relay
//! sends ([`feed`]), the checks that no change was missed ([`confirmation`]), the expiry of members ([`suspects`]),
//! the entries to delete ([`outdated`]) and the peers that hold a daemon's record ([`holders`]).

mod config;
pub mod confirmation;
mod error;
pub mod feed;
mod format;
pub mod holders;
mod keep;
mod members;
mod metrics;
mod node;
pub mod outdated;
pub mod packed;
mod peers;
pub mod publisher;
mod relay_client;
pub mod relays;
pub mod schedule;
pub mod suspects;
mod topic;
pub mod topic_state;
mod verify;

pub use error::SpawnError;
pub use format::{ConfigFormat, Configuration, FormatError};
pub use node::{Follower, Settings};
