//! Distribution in which every daemon follows the store on its own.
//!
//! Each daemon watches the key that holds the configuration and the prefix that holds the membership
//! records, and keeps its own record under a lease. Daemons exchange versions and records with each
//! other, which carries those that the store does not serve.
//!
//! Which call of the store comes next ([`tail`], [`keeper`]) and which member is given up
//! ([`roster`]) are decided apart from sockets and clocks.

mod config;
mod error;
mod format;
pub mod keeper;
mod members;
mod metrics;
mod node;
mod peers;
pub mod roster;
pub mod tail;

pub use error::SpawnError;
pub use format::{ConfigFormat, Configuration, FormatError};
pub use node::{Follower, Settings};
