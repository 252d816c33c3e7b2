//! Distribution in which every daemon follows the store on its own.
//!
//! A relay in each failure domain watches the key that holds the configuration and the prefix that holds
//! the membership records. The other daemons wait at two relays for what these read, and read the store
//! themselves while too few relays answer. Each daemon keeps its own record under a lease. Daemons
//! exchange versions and records with each other, which carries those that the store does not serve.
//!
//! Who is a relay and who is followed ([`relays`]), which call of the store comes next ([`tail`],
//! [`keeper`]), what a relay tells ([`feed`]) and which member is given up ([`roster`]) are decided apart
//! from sockets and clocks.

mod config;
mod error;
pub mod feed;
mod followed;
mod format;
pub mod keeper;
mod members;
mod metrics;
mod node;
pub mod packed;
mod peers;
mod polls;
pub mod relays;
pub mod roster;
pub mod tail;
mod topic;

pub use error::SpawnError;
pub use format::{ConfigFormat, Configuration, FormatError};
pub use node::{Follower, Settings};
