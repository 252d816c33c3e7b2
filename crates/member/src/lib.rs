//! Membership: one record per daemon, written only by that daemon and merged by all.

mod buckets;
mod members;
mod record;

pub use buckets::{BucketIndex, Buckets};
pub use members::{LinkId, MAX_RECORDS, Members, RETENTION, Sequence};
pub use record::{Record, RecordError, UpstreamState, departures_from_wire, departures_to_wire};
