//! Membership: one record for each daemon, written by that daemon alone and merged by all.

mod members;
mod record;

pub use members::{LinkId, Members, Sequence};
pub use record::{Record, RecordError, UpstreamState};
