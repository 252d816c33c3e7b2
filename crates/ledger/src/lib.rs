//! The accepted versions: a chain of immutable changes under one compare-and-swap head.
//!
//! An accept writes the change under its digest and then moves `head`; the chain of parent
//! digests is the audit trail. A swap whose answer was lost is repeated as it was, which can take
//! effect at most once because it names the revision that it replaces.

mod accept;
mod chain;
mod check;
mod checkpoint;
mod error;

pub use accept::{Accepted, Request};
pub use chain::{Ledger, Tip};
pub use check::check;
pub use error::Error;
