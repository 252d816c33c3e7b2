//! The port to the platform's key-value service, and its gRPC adapter.
//!
//! An adapter to another service must give what [`Store`] states: linearizable reads and
//! compare-and-swap of single keys, leases that delete their keys when they lapse, and a watch.
//! Above all it must tell [`Error::Unavailable`] (nothing was done) from [`Error::Unknown`]
//! (a write may have taken effect).

mod error;
mod grpc;

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;

pub use error::Error;
pub use grpc::GrpcStore;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Size after which a page of [`Store::list`] ends, in bytes.
pub const MAX_PAGE_BYTES: usize = 4 << 20;

/// Keys that one page of a scan asks for.
const SCAN_PAGE: u32 = 500;

/// Revision of a key: grows with every write to the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

/// Id of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Revision,
}

/// State that a key must be in for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Expect {
    /// Any state.
    Any,
    /// No value.
    Absent,
    /// Last written at this revision.
    At(Revision),
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Put {
    /// The write took effect.
    Done(Revision),
    /// The key was in another state; nothing was written.
    Conflict,
}

/// Every key under a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Scan {
    /// Keys with their values. Keys written during the scan may be missing or newer than others.
    pub entries: Vec<Entry>,
    /// Revision to watch after, which sees everything that the scan may have missed.
    pub revision: Revision,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// Keys written, with their newest values.
    pub entries: Vec<Entry>,
    /// Keys deleted.
    pub deleted: Vec<String>,
    /// Revision to watch after next.
    pub revision: Revision,
}

/// The platform's key-value service.
///
/// # Errors
///
/// Every call fails with [`Error::Unavailable`] if it surely had no effect, with
/// [`Error::Limited`] if the service refused it for its rate, and, if it writes, with
/// [`Error::Unknown`] if it may have had its effect.
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads up to `limit` keys that begin with `prefix` and follow `after`, in order.
    ///
    /// A page ends early once it holds [`MAX_PAGE_BYTES`]; only an empty page is surely the last.
    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error>;

    /// Reads every key that begins with `prefix`.
    ///
    /// The revision is that of the newest entry unless the service tells its own.
    async fn scan(&self, prefix: &str) -> Result<Scan, Error> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let last = entries.last();
            let after = last.map_or(String::new(), |entry| entry.key.clone());
            let page = self.list(prefix, &after, SCAN_PAGE).await?;
            if page.is_empty() {
                break;
            }
            entries.extend(page);
        }
        let newest = entries.iter().map(|entry| entry.revision).max();
        let revision = newest.unwrap_or(Revision(0));
        Ok(Scan { entries, revision })
    }

    /// Writes one key if it is as expected; the key lives by `lease` where one is given.
    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error>;

    /// Deletes one key if it is as expected.
    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error>;

    /// Waits at most `wait` for a write, after revision `after`, to a key that begins with `prefix`.
    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;

    /// Grants a lease of `ttl`.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease; returns whether it was still alive.
    async fn renew(&self, lease: LeaseId) -> Result<bool, Error>;

    /// Ends a lease and deletes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}
