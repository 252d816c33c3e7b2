//! Interface to the platform's key-value service, and its gRPC adapter.
//!
//! An adapter to another service must provide the guarantees of [`Store`]: linearizable reads and
//! compare-and-swap of single keys, leases that delete their keys when they expire, and a watch.
//! In particular, it must distinguish [`Error::Unavailable`] (the call had no effect) from
//! [`Error::Unknown`] (a write may have taken effect).

mod error;
mod grpc;

use std::fmt::{self, Debug};
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;

pub use error::Error;
pub use grpc::GrpcStore;

/// Largest value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Size at which a page of [`Store::list`] ends.
pub const MAX_PAGE_BYTES: usize = 4 << 20;

/// Number of keys requested per page of a scan.
const SCAN_PAGE_KEYS: u32 = 500;

/// Generation of the service's data. Rises each time the service comes back from a copy, without the writes
/// and leases since the copy was made. Services that lose nothing remain in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Revision of a key. Increases with every write to the service. Any revision of a later era is later,
/// because the service gives out the same numbers again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision {
    /// Era of the service.
    pub era: Era,
    /// Number of the write.
    pub number: u64,
}

impl Revision {
    /// Revision before the first write.
    pub const ZERO: Self = Self::new(0);

    /// Returns revision `number` of a service that loses nothing.
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era(0),
            number,
        }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Id of a lease. Void in later eras, in which the service may grant the same number to another client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// Era of the service.
    pub era: Era,
    /// Number of the lease.
    pub number: u64,
}

impl LeaseId {
    /// Returns lease `number` of a service that loses nothing.
    pub const fn new(number: u64) -> Self {
        Self {
            era: Era(0),
            number,
        }
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Precondition of a write: the state that the key must be in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Expect {
    /// No precondition.
    Any,
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(Revision),
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Put {
    /// The write took effect.
    Done(Revision),
    /// The precondition failed; nothing was written.
    Conflict,
}

/// Result of comparing the state of a key with a known one.
#[derive(Debug, Clone, PartialEq)]
pub enum Comparison {
    /// The key was last written at the known revision.
    Unchanged,
    /// The key has this entry, or does not exist.
    Changed(Option<Entry>),
}

/// Result of reading every key with a prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Scan {
    /// Keys with their values. Keys written during the scan may be missing or newer than the others.
    pub entries: Vec<Entry>,
    /// Revision to start a watch after, which returns every write that the scan may have missed.
    pub revision: Revision,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// Keys written, with their newest values.
    pub entries: Vec<Entry>,
    /// Keys deleted.
    pub deleted: Vec<String>,
    /// Revision to start the next watch after.
    pub revision: Revision,
}

/// The platform's key-value service.
///
/// # Errors
///
/// A call fails with [`Error::Unavailable`] if it certainly had no effect and with
/// [`Error::Limited`] if it exceeded the service's rate limit. A write fails with
/// [`Error::Unknown`] if it may have taken effect, and with [`Error::Restored`] if its lease or
/// precondition is of an earlier era. Reads after a revision of an earlier era fail with
/// [`Error::Compacted`].
#[async_trait]
pub trait Store: Debug + Send + Sync {
    /// Returns a receiver of the latest era that any response named. The default implementation is for
    /// services that lose nothing.
    fn era(&self) -> watch::Receiver<Era> {
        watch::Sender::default().subscribe()
    }

    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Returns whether `key` was last written at `revision`, and its entry if it was not. Sees every write that was
    /// answered before the call began.
    ///
    /// The default implementation reads the value; an adapter may compare without it.
    async fn compare(&self, key: &str, revision: Revision) -> Result<Comparison, Error> {
        let entry = self.get(key).await?;
        Ok(match entry {
            Some(entry) if entry.revision == revision => Comparison::Unchanged,
            entry => Comparison::Changed(entry),
        })
    }

    /// Reads up to `limit` keys that start with `prefix` and sort after `after`, in order.
    ///
    /// A page ends early once it contains [`MAX_PAGE_BYTES`]; only an empty page marks the end.
    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error>;

    /// Reads every key that starts with `prefix`.
    ///
    /// The default implementation returns the revision of the newest entry; an adapter may return
    /// one that the service reports. The default is exact only for a single page: a write to a page
    /// that was already read is missed if a later page contains a newer entry.
    async fn scan(&self, prefix: &str) -> Result<Scan, Error> {
        let mut entries: Vec<Entry> = Vec::new();
        loop {
            let last = entries.last();
            let after = last.map_or(String::new(), |entry| entry.key.clone());
            let page = self.list(prefix, &after, SCAN_PAGE_KEYS).await?;
            if page.is_empty() {
                break;
            }
            entries.extend(page);
        }
        let newest = entries.iter().map(|entry| entry.revision).max();
        let revision = newest.unwrap_or(Revision::ZERO);
        Ok(Scan { entries, revision })
    }

    /// Writes one key if `expect` holds. With a lease, the key is deleted when the lease ends.
    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error>;

    /// Deletes one key if `expect` holds.
    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error>;

    /// Waits at most `wait` for a write after revision `after` to a key that starts with `prefix`.
    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error>;

    /// Grants a lease that expires after `ttl` unless renewed.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease; returns whether it was still alive in its era.
    async fn renew(&self, lease: LeaseId) -> Result<bool, Error>;

    /// Ends a lease and deletes its keys. A lease of an earlier era has already ended.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;
}
