//! The accepted versions: a chain of immutable changes under one compare-and-swap head.
//!
//! An accept writes the change under its version and digest and then moves `head`; the chain of
//! parent digests is the audit trail. A swap whose answer was lost is repeated as it was, which can
//! take effect at most once because it names the revision that it replaces. Accepts that wait in
//! one daemon are written together, each as a version of its own, and moved by one swap.

mod accept;
mod cache;
mod calls;
mod chain;
mod check;
mod checkpoint;
mod error;
mod link;
mod plan;
mod retention;
mod swap;

pub use accept::{Accepted, Request};
pub use chain::{Ledger, Tip};
pub use check::check;
pub use error::Error;
pub use retention::Retention;
