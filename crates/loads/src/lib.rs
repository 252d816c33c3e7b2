//! Simulates load patterns against the scheduling policies of the call path, in simulated time.
//!
//! Callers, gates and upstreams are emulated; admission, queueing, load balancing and retries are those of
//! the crate `call`. A simulated run takes milliseconds, so each policy can be compared on and off over
//! hundreds of seeded runs.

mod load;
mod policy;
mod simulation;
mod summary;

pub use load::{Kind, Load};
pub use policy::Policy;
pub use simulation::simulate;
pub use summary::{KindSummary, Summary};
