//! In-memory key-value service with fault injection.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_trait::async_trait;
use model::{Millis, lock};
use serde::{Deserialize, Serialize};
use store::{
    Changes, Entry, Error, Expect, LeaseId, MAX_PAGE_BYTES, MAX_VALUE_BYTES, Put, Revision, Store,
};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

use crate::limit::RateLimit;

/// Maximum number of deletions kept for watches.
const MAX_DELETIONS: usize = 10_000;

/// Interval at which a waiting watch checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Injected faults of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Whether watches report no changes, while all other calls are served.
    pub deaf_watches: bool,
    /// Delay of every call.
    pub delay: Millis,
    /// Number of following writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Maximum reads per second; zero means no limit.
    pub reads: u32,
    /// Maximum writes per second; zero means no limit.
    pub writes: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            deaf_watches: false,
            delay: Millis::new(0),
            lose_answers: 0,
            reads: 0,
            writes: 0,
        }
    }
}

/// Number of calls since the service started, including refused ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Single reads.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Writes and deletions.
    pub puts: u64,
    /// Watches.
    pub watches: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls refused by the rate limits.
    pub limited: u64,
}

/// Stored value.
#[derive(Debug, Clone)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// Granted lease.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// State of the service, behind one lock.
#[derive(Debug)]
struct Inner {
    revision: u64,
    values: BTreeMap<String, Value>,
    deletions: VecDeque<(u64, String)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    counts: Counts,
    faults: Faults,
    reads: RateLimit,
    writes: RateLimit,
}

/// Kind of a call, for the counts and rate limits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Call {
    Get,
    List,
    Put,
    Watch,
    Lease,
}

/// In-memory key-value service. Clones share their content.
#[derive(Debug, Clone)]
pub struct Kv {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

impl Kv {
    /// Returns an empty service without faults.
    pub fn open() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                revision: 0,
                values: BTreeMap::new(),
                deletions: VecDeque::new(),
                leases: HashMap::new(),
                last_lease: 0,
                counts: Counts::default(),
                faults: Faults::default(),
                reads: RateLimit::new(0),
                writes: RateLimit::new(0),
            })),
            changed: watch::Sender::new(0),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.reads = RateLimit::new(faults.reads);
        inner.writes = RateLimit::new(faults.writes);
        inner.faults = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns the call counts.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Counts a call, and fails or delays it according to the faults.
    async fn begin_call(&self, call: Call) -> Result<(), Error> {
        let delay = {
            let mut inner = self.lock();
            inner.count(call);
            if inner.faults.down {
                return Err(Error::Unavailable("the service is down".into()));
            }
            inner.check_rate(call)?;
            inner.faults.delay
        };
        if delay.get() > 0 {
            sleep(delay.duration()).await;
        }
        if self.lock().faults.down {
            return Err(Error::Unavailable("the service is down".into()));
        }
        Ok(())
    }

    /// Drops the response to a write that took effect, if the faults require it.
    fn respond<T>(&self, response: T) -> Result<T, Error> {
        let mut inner = self.lock();
        if inner.faults.lose_answers == 0 {
            return Ok(response);
        }
        inner.faults.lose_answers -= 1;
        Err(Error::Unknown("the answer was lost".into()))
    }

    async fn write(
        &self,
        key: &str,
        bytes: Option<Vec<u8>>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        self.begin_call(Call::Put).await?;
        let put = {
            let mut inner = self.lock();
            inner.expire_leases();
            inner.write(key, bytes, expect, lease.map_or(0, |lease| lease.number))
        };
        self.notify();
        self.respond(put)
    }

    fn notify(&self) {
        let revision = self.lock().revision;
        self.changed.send_if_modified(|seen| {
            let newer = revision > *seen;
            *seen = revision;
            newer
        });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

impl Inner {
    fn count(&mut self, call: Call) {
        let count = match call {
            Call::Get => &mut self.counts.gets,
            Call::List => &mut self.counts.lists,
            Call::Put => &mut self.counts.puts,
            Call::Watch => &mut self.counts.watches,
            Call::Lease => &mut self.counts.leases,
        };
        *count += 1;
    }

    fn check_rate(&mut self, call: Call) -> Result<(), Error> {
        let limit = match call {
            Call::Get | Call::List | Call::Watch => &mut self.reads,
            Call::Put | Call::Lease => &mut self.writes,
        };
        if limit.take() {
            return Ok(());
        }
        self.counts.limited += 1;
        Err(Error::Limited)
    }

    /// Removes expired leases and deletes their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let leased = self.values.iter().filter(|(_, value)| value.lease == id);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.revision += 1;
            self.deletions.push_back((self.revision, key.into()));
            if self.deletions.len() > MAX_DELETIONS {
                self.deletions.pop_front();
            }
        }
    }

    fn write(&mut self, key: &str, bytes: Option<Vec<u8>>, expect: Expect, lease: u64) -> Put {
        let current = self.values.get(key).map(|value| value.revision);
        let matches = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::At(revision) => current == Some(revision.number),
        };
        let lease_valid = lease == 0 || self.leases.contains_key(&lease);
        if !matches || !lease_valid {
            return Put::Conflict;
        }
        let Some(bytes) = bytes else {
            self.remove(key);
            return Put::Done(Revision::new(self.revision));
        };
        self.revision += 1;
        let value = Value {
            bytes,
            revision: self.revision,
            lease,
        };
        self.values.insert(key.into(), value);
        Put::Done(Revision::new(self.revision))
    }

    /// Returns the changes to keys with `prefix` after the revision `after`.
    fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let newer = self
            .with_prefix(prefix)
            .filter(|(_, value)| value.revision > after.number);
        let deleted = self
            .deletions
            .iter()
            .filter(|(revision, key)| *revision > after.number && key.starts_with(prefix));
        Changes {
            entries: newer.map(|(key, value)| entry(key, value)).collect(),
            deleted: deleted.map(|(_, key)| key.clone()).collect(),
            revision: Revision::new(self.revision),
        }
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        let range = self.values.range(prefix.to_owned()..);
        range.take_while(move |(key, _)| key.starts_with(prefix))
    }
}

#[async_trait]
impl Store for Kv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.begin_call(Call::Get).await?;
        let mut inner = self.lock();
        inner.expire_leases();
        Ok(inner.values.get(key).map(|value| entry(key, value)))
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        self.begin_call(Call::List).await?;
        let mut inner = self.lock();
        inner.expire_leases();
        let found = inner
            .with_prefix(prefix)
            .filter(|(key, _)| key.as_str() > after);
        let mut page = Vec::new();
        let mut size = 0;
        for (key, value) in found.take(limit as usize) {
            page.push(entry(key, value));
            size += value.bytes.len();
            if size >= MAX_PAGE_BYTES {
                break;
            }
        }
        Ok(page)
    }

    async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Put, Error> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        self.write(key, Some(value), expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<Put, Error> {
        self.write(key, None, expect, None).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, Error> {
        self.begin_call(Call::Watch).await?;
        let deadline = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let changes = {
                let mut inner = self.lock();
                if inner.faults.down {
                    return Err(Error::Unavailable("the service is down".into()));
                }
                inner.expire_leases();
                match inner.faults.deaf_watches {
                    true => Changes {
                        entries: Vec::new(),
                        deleted: Vec::new(),
                        revision: after,
                    },
                    false => inner.changes(prefix, after),
                }
            };
            let has_changes = !changes.entries.is_empty() || !changes.deleted.is_empty();
            let now = Instant::now();
            if has_changes || now >= deadline {
                return Ok(changes);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(deadline.min(now + LEASE_CHECK_INTERVAL)) => {}
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.begin_call(Call::Lease).await?;
        let id = {
            let mut inner = self.lock();
            inner.last_lease += 1;
            let id = inner.last_lease;
            let expires = Instant::now() + ttl;
            inner.leases.insert(id, Lease { ttl, expires });
            id
        };
        self.respond(LeaseId::new(id))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        self.begin_call(Call::Lease).await?;
        let mut inner = self.lock();
        inner.expire_leases();
        let Some(lease) = inner.leases.get_mut(&lease.number) else {
            return Ok(false);
        };
        lease.expires = Instant::now() + lease.ttl;
        Ok(true)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.begin_call(Call::Lease).await?;
        self.lock().end_lease(lease.number);
        self.notify();
        self.respond(())
    }
}

fn entry(key: &str, value: &Value) -> Entry {
    Entry {
        key: key.into(),
        value: value.bytes.clone(),
        revision: Revision::new(value.revision),
    }
}
