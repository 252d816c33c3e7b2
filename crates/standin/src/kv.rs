//! A key-value service in memory, with the faults of a real one on demand.

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

/// Deletions remembered for watches.
const MAX_DELETIONS: usize = 10_000;

/// Longest wait between two looks for lapsed leases, while a watch waits.
const LAPSE_INTERVAL: Duration = Duration::from_millis(50);

/// Faults of the service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every call fails without effect.
    pub down: bool,
    /// Time added to every call.
    pub delay: Millis,
    /// Number of coming writes that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Reads a second; no limit when zero.
    pub reads: u32,
    /// Writes a second; no limit when zero.
    pub writes: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            delay: Millis::new(0),
            lose_answers: 0,
            reads: 0,
            writes: 0,
        }
    }
}

/// Calls since the start, refused ones among them.
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
    /// Calls refused for their rate.
    pub limited: u64,
}

/// A stored value.
#[derive(Debug, Clone)]
struct Value {
    bytes: Vec<u8>,
    revision: u64,
    lease: u64,
}

/// A granted lease.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Everything under one lock.
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

/// Kind of a call, for counts and rates.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Call {
    Get,
    List,
    Put,
    Watch,
    Lease,
}

/// A key-value service in memory. Clones share their content.
#[derive(Debug, Clone)]
pub struct Kv {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

impl Kv {
    /// Opens an empty service without faults.
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

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        let mut inner = self.lock();
        inner.reads = RateLimit::new(faults.reads);
        inner.writes = RateLimit::new(faults.writes);
        inner.faults = faults;
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns the calls since the start.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Counts a call, and fails or delays it as the faults say.
    async fn enter(&self, call: Call) -> Result<(), Error> {
        let delay = {
            let mut inner = self.lock();
            inner.count(call);
            if inner.faults.down {
                return Err(Error::Unavailable("the service is down".into()));
            }
            inner.limit(call)?;
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

    /// Loses the answer of a write that took effect, if the faults say so.
    fn leave<T>(&self, answer: T) -> Result<T, Error> {
        let mut inner = self.lock();
        if inner.faults.lose_answers == 0 {
            return Ok(answer);
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
        self.enter(Call::Put).await?;
        let put = {
            let mut inner = self.lock();
            inner.lapse();
            inner.write(key, bytes, expect, lease.map_or(0, |lease| lease.0))
        };
        self.notify();
        self.leave(put)
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

    fn limit(&mut self, call: Call) -> Result<(), Error> {
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

    /// Deletes the keys of lapsed leases.
    fn lapse(&mut self) {
        let now = Instant::now();
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let lapsed: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in lapsed {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let bound = self.values.iter().filter(|(_, value)| value.lease == id);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
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
        let held = self.values.get(key).map(|value| value.revision);
        let fits = match expect {
            Expect::Any => true,
            Expect::Absent => held.is_none(),
            Expect::At(revision) => held == Some(revision.0),
        };
        let lease_lives = lease == 0 || self.leases.contains_key(&lease);
        if !fits || !lease_lives {
            return Put::Conflict;
        }
        let Some(bytes) = bytes else {
            self.remove(key);
            return Put::Done(Revision(self.revision));
        };
        self.revision += 1;
        let value = Value {
            bytes,
            revision: self.revision,
            lease,
        };
        self.values.insert(key.into(), value);
        Put::Done(Revision(self.revision))
    }

    /// Returns what happened below `prefix` after `after`.
    fn changes(&self, prefix: &str, after: Revision) -> Changes {
        let newer = self
            .below(prefix)
            .filter(|(_, value)| value.revision > after.0);
        let deleted = self
            .deletions
            .iter()
            .filter(|(revision, key)| *revision > after.0 && key.starts_with(prefix));
        Changes {
            entries: newer.map(|(key, value)| entry(key, value)).collect(),
            deleted: deleted.map(|(_, key)| key.clone()).collect(),
            revision: Revision(self.revision),
        }
    }

    fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        let range = self.values.range(prefix.to_owned()..);
        range.take_while(move |(key, _)| key.starts_with(prefix))
    }
}

#[async_trait]
impl Store for Kv {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.enter(Call::Get).await?;
        let mut inner = self.lock();
        inner.lapse();
        Ok(inner.values.get(key).map(|value| entry(key, value)))
    }

    async fn list(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Entry>, Error> {
        self.enter(Call::List).await?;
        let mut inner = self.lock();
        inner.lapse();
        let found = inner.below(prefix).filter(|(key, _)| key.as_str() > after);
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
        self.enter(Call::Watch).await?;
        let deadline = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let changes = {
                let mut inner = self.lock();
                if inner.faults.down {
                    return Err(Error::Unavailable("the service is down".into()));
                }
                inner.lapse();
                inner.changes(prefix, after)
            };
            let seen = !changes.entries.is_empty() || !changes.deleted.is_empty();
            let now = Instant::now();
            if seen || now >= deadline {
                return Ok(changes);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(deadline.min(now + LAPSE_INTERVAL)) => {}
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.enter(Call::Lease).await?;
        let id = {
            let mut inner = self.lock();
            inner.last_lease += 1;
            let id = inner.last_lease;
            let expires = Instant::now() + ttl;
            inner.leases.insert(id, Lease { ttl, expires });
            id
        };
        self.leave(LeaseId(id))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        self.enter(Call::Lease).await?;
        let mut inner = self.lock();
        inner.lapse();
        let Some(lease) = inner.leases.get_mut(&lease.0) else {
            return Ok(false);
        };
        lease.expires = Instant::now() + lease.ttl;
        Ok(true)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.enter(Call::Lease).await?;
        self.lock().end_lease(lease.0);
        self.notify();
        self.leave(())
    }
}

fn entry(key: &str, value: &Value) -> Entry {
    Entry {
        key: key.into(),
        value: value.bytes.clone(),
        revision: Revision(value.revision),
    }
}
