//! The chain of accepted versions: immutable changes below one head key, which is moved by
//! compare-and-swap.
//!
//! An accept writes the change under its version and digest and then moves `head`. The chain of
//! parent digests is the audit trail. A swap whose response was lost is retried unchanged; it can
//! take effect at most once because it contains the revision that it replaces. Accepts that are
//! pending in one daemon are committed as a batch: one version each, and one swap for all.

mod accept;
mod cache;
mod chain;
mod check;
mod checkpoint;
mod error;
mod link;
mod merge;
mod retention;
mod retry;
mod swap;

pub use accept::{Accepted, Request};
pub use chain::{ChainHead, Ledger};
pub use check::check;
pub use error::Error;
pub use retention::Retention;
