//! Replays loads against the decisions of the call path, on simulated time.
//!
//! Callers, gates and upstreams are emulated; admission, order, placing and the tries of a call are those
//! of the crate `call`. A day of minutes takes milliseconds, so each decision is tried on hundreds of
//! seeded loads, with it and without.

mod load;
mod policy;
mod tally;
mod world;

pub use load::{Kind, Load};
pub use policy::Policy;
pub use tally::{KindTally, Tally};
pub use world::play;
