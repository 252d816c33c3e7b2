//! Reading the chain.

use std::sync::{Arc, Mutex, MutexGuard};

use model::{AcceptId, Base, Change, Digest, State, Version, lock};
use serde::{Deserialize, Serialize};
use store::{Revision, Store};

use crate::accept::Queue;
use crate::cache::Cache;
use crate::calls::Calls;
use crate::link::{self, Assembler, Link};
use crate::{Error, Retention, checkpoint};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "head";

/// Changes read in one page.
const PAGE: u32 = 512;

/// Versions between the newest tip read and the head that are read as changes.
const MAX_STEPS: u64 = 512;

/// Value of the head key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Version in force.
    pub(crate) version: Version,
    /// Digest of its change.
    pub(crate) digest: Digest,
}

/// The newest version, whole.
#[derive(Debug, Clone)]
pub struct Tip {
    /// Number of the version.
    pub version: Version,
    /// Digest of its change.
    pub digest: Digest,
    /// Its change; `None` before the first accept.
    pub change: Option<Arc<Change>>,
    /// Every item of it.
    pub state: State,
    /// Revision of the head key, absent before the first accept.
    pub(crate) revision: Option<Revision>,
}

impl Tip {
    /// Returns the tip before the first accept.
    fn empty() -> Self {
        Self {
            version: Version::default(),
            digest: Digest::ZERO,
            change: None,
            state: State::empty(),
            revision: None,
        }
    }
}

/// What the handle and the tasks of a ledger share. The lock on `cache` is never held over a call.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) calls: Calls,
    pub(crate) queue: Queue,
    pub(crate) retention: Retention,
    cache: Mutex<Cache>,
}

/// The chain of accepted changes in the platform's store.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) inner: Arc<Inner>,
}

impl Ledger {
    /// Opens the ledger in `store`. Reads nothing yet.
    pub fn open(store: Arc<dyn Store>) -> Self {
        Self::open_with(store, Retention::default())
    }

    /// Opens the ledger in `store`, of which `retention` is kept. Reads nothing yet.
    pub fn open_with(store: Arc<dyn Store>, retention: Retention) -> Self {
        Self {
            inner: Arc::new(Inner {
                calls: Calls::new(store),
                queue: Queue::default(),
                retention,
                cache: Mutex::new(Cache::new(Tip::empty())),
            }),
        }
    }

    /// Returns the newest version, read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn tip(&self) -> Result<Arc<Tip>, Error> {
        self.inner.tip().await
    }

    /// Returns the changes after `version`, oldest first, of the chain that ends in `tip`.
    ///
    /// # Errors
    ///
    /// Fails if the store does, if it holds damaged data, or if the changes are no longer kept.
    pub async fn since(&self, tip: &Tip, version: Version) -> Result<Vec<Arc<Change>>, Error> {
        let links = self.inner.range(version, tip.version, tip.digest).await?;
        Ok(links.into_iter().map(|link| link.change).collect())
    }

    /// Returns up to `limit` changes, newest first, from `from` or the head downwards.
    ///
    /// Returns fewer where older ones are no longer kept.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn log(
        &self,
        from: Option<Version>,
        limit: usize,
    ) -> Result<Vec<Arc<Change>>, Error> {
        let tip = self.tip().await?;
        let from = from.map_or(tip.version, |from| from.min(tip.version));
        let Some(newest) = self.inner.find(&tip, from).await? else {
            return Ok(Vec::new());
        };
        let low = from.get().saturating_sub(limit as u64);
        let links = self
            .inner
            .kept_range(Version::new(low), from, newest.digest)
            .await?;
        Ok(links.into_iter().rev().map(|link| link.change).collect())
    }

    /// Returns the whole state at `version`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NoVersion`] if the chain has no such version or it is no longer kept.
    pub async fn at(&self, version: Version) -> Result<State, Error> {
        let tip = self.tip().await?;
        if version == tip.version && version > Version::default() {
            return Ok(tip.state.clone());
        }
        self.inner.state_at(&tip, version).await
    }

    /// Returns the change that was accepted under `accept_id`, if it is among the newest 2,048.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn settle(&self, accept_id: &AcceptId) -> Result<Option<Arc<Change>>, Error> {
        let tip = self.tip().await?;
        self.inner.settle(&tip, accept_id).await
    }
}

impl Inner {
    /// Returns the newest version, read from the store.
    pub(crate) async fn tip(&self) -> Result<Arc<Tip>, Error> {
        let Some(entry) = self.calls.get(HEAD_KEY).await? else {
            return Ok(Arc::new(Tip::empty()));
        };
        let head: Head =
            serde_json::from_slice(&entry.value).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let near = Arc::clone(self.cache().tip());
        if near.digest == head.digest {
            let mut tip = (*near).clone();
            tip.revision = Some(entry.revision);
            return Ok(Arc::new(tip));
        }
        let (state, change) = self.load(&head, &near).await?;
        let tip = Arc::new(Tip {
            version: head.version,
            digest: head.digest,
            change: Some(change),
            state,
            revision: Some(entry.revision),
        });
        self.keep(&tip);
        Ok(tip)
    }

    /// Loads the state at the head, from `near` or the newest checkpoint.
    async fn load(&self, head: &Head, near: &Tip) -> Result<(State, Arc<Change>), Error> {
        let (low, state) = if near.version < head.version
            && head.version.get() - near.version.get() <= MAX_STEPS
        {
            (near.version, near.state.clone())
        } else {
            let last = self.read(head.version, head.digest).await?;
            match last.change.base {
                Some(base) => (base.version, checkpoint::read(&self.calls, base).await?),
                None => (Version::default(), State::empty()),
            }
        };
        let links = self.kept_range(low, head.version, head.digest).await?;
        let state = apply(state, &links)?;
        let damaged = || Error::Damaged(link::key(head.version, head.digest));
        let last = links.last().ok_or_else(damaged)?;
        Ok((state, Arc::clone(&last.change)))
    }

    /// Returns the state at `version` of the chain that ends in `tip`.
    pub(crate) async fn state_at(&self, tip: &Tip, version: Version) -> Result<State, Error> {
        let Some(newest) = self.find(tip, version).await? else {
            return Err(Error::NoVersion(version));
        };
        let (low, state) = self.near_checkpoint(newest.change.base).await?;
        let links = self.range(low, version, newest.digest).await?;
        apply(state, &links)
    }

    /// Returns the newest state that is still kept, from `base` downwards, with its version.
    async fn near_checkpoint(&self, base: Option<Base>) -> Result<(Version, State), Error> {
        let mut next = base;
        while let Some(base) = next {
            match checkpoint::read(&self.calls, base).await {
                Err(Error::NoVersion(_)) => {}
                result => return result.map(|state| (base.version, state)),
            }
            next = match self.read(base.version, base.digest).await {
                Err(Error::Damaged(_)) => return Err(Error::NoVersion(base.version)),
                result => result?.change.base,
            };
        }
        Ok((Version::default(), State::empty()))
    }

    /// Returns the change that was accepted under `accept_id` in the chain that ends in `tip`.
    pub(crate) async fn settle(
        &self,
        tip: &Tip,
        accept_id: &AcceptId,
    ) -> Result<Option<Arc<Change>>, Error> {
        let lack = self.cache().ids_lack(tip.version);
        if let Some(low) = lack {
            let links = self.kept_range(low, tip.version, tip.digest).await?;
            self.cache().add_ids(low, &links);
        }
        let version = self.cache().version_of(accept_id);
        let Some(version) = version else {
            return Ok(None);
        };
        let link = self.find(tip, version).await?;
        Ok(link.map(|link| link.change))
    }

    /// Returns the change of `version` in the chain that ends in `tip`.
    ///
    /// Steps from checkpoint to checkpoint, each of which names its change's digest.
    pub(crate) async fn find(&self, tip: &Tip, version: Version) -> Result<Option<Link>, Error> {
        if version > tip.version || version == Version::default() {
            return Ok(None);
        }
        let cached = self.cache().link(version).cloned();
        if cached.is_some() {
            return Ok(cached);
        }
        let mut above = (tip.version, tip.digest);
        let mut base = tip.change.as_ref().and_then(|change| change.base);
        while let Some(lower) = base.filter(|base| base.version >= version) {
            above = (lower.version, lower.digest);
            base = match self.read(lower.version, lower.digest).await {
                Err(Error::Damaged(_)) => return Ok(None),
                result => result?.change.base,
            };
        }
        let low = Version::new(version.get() - 1);
        let links = self.kept_range(low, above.0, above.1).await?;
        let first = links.into_iter().next();
        Ok(first.filter(|link| link.change.version == version))
    }

    /// Returns the changes after `low` up to the one of `high` with `digest`, oldest first.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NoVersion`] if some are no longer kept.
    pub(crate) async fn range(
        &self,
        low: Version,
        high: Version,
        digest: Digest,
    ) -> Result<Vec<Link>, Error> {
        let links = self.kept_range(low, high, digest).await?;
        if links.len() as u64 != high.get().saturating_sub(low.get()) {
            return Err(Error::NoVersion(low.next()));
        }
        Ok(links)
    }

    /// Returns the kept changes after `low` up to the one of `high` with `digest`, oldest first.
    pub(crate) async fn kept_range(
        &self,
        low: Version,
        high: Version,
        digest: Digest,
    ) -> Result<Vec<Link>, Error> {
        let mut walk = Walk::new(low, high, digest);
        walk.step(|version, _| self.cache().link(version).cloned());
        if !walk.is_done() {
            let mut read = self.read_pages(low, walk.next, walk.digest).await?;
            walk.step(|version, digest| read.take(version, digest));
            let mut cache = self.cache();
            walk.links.iter().for_each(|link| cache.add(link));
        }
        if walk.links.is_empty() && high > low {
            return Err(Error::Damaged(link::key(high, digest)));
        }
        walk.links.reverse();
        Ok(walk.links)
    }

    /// Reads every part of a change after `low` up to the one of `high` with `digest`, those off
    /// the chain among them.
    async fn read_pages(
        &self,
        low: Version,
        high: Version,
        digest: Digest,
    ) -> Result<Assembler, Error> {
        let mut parts = Assembler::default();
        let mut after = link::key_after(low);
        loop {
            let page = self.calls.list(link::PREFIX, &after, PAGE).await?;
            let Some(last) = page.last() else {
                return Ok(parts);
            };
            after.clone_from(&last.key);
            for entry in page {
                if link::parse_key(&entry.key).is_some_and(|(version, _)| version > high) {
                    return Ok(parts);
                }
                parts.add(entry);
            }
            if parts.has(high, digest) {
                return Ok(parts);
            }
        }
    }

    /// Reads one change and checks it against its digest.
    pub(crate) async fn read(&self, version: Version, digest: Digest) -> Result<Link, Error> {
        let cached = self.cache().link(version).cloned();
        if let Some(link) = cached.filter(|link| link.digest == digest) {
            return Ok(link);
        }
        let key = link::key(version, digest);
        let prefix = format!("{key}/");
        let mut parts = Assembler::default();
        let mut after = String::new();
        loop {
            let page = self.calls.list(&prefix, &after, PAGE).await?;
            let Some(last) = page.last() else {
                break;
            };
            after.clone_from(&last.key);
            page.into_iter().for_each(|entry| parts.add(entry));
            if parts.has(version, digest) {
                break;
            }
        }
        parts.take(version, digest).ok_or(Error::Damaged(key))
    }

    /// Keeps `tip` if it is newer than the one kept.
    pub(crate) fn keep(&self, tip: &Arc<Tip>) {
        self.cache().set_tip(tip);
    }

    /// Keeps a change that this process moved the head to.
    pub(crate) fn keep_link(&self, link: &Link) {
        self.cache().add(link);
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        lock(&self.cache)
    }
}

/// A walk down the chain by parent digests.
struct Walk {
    low: Version,
    next: Version,
    digest: Digest,
    /// Changes found, newest first.
    links: Vec<Link>,
}

impl Walk {
    fn new(low: Version, high: Version, digest: Digest) -> Self {
        Self {
            low,
            next: high,
            digest,
            links: Vec::new(),
        }
    }

    fn is_done(&self) -> bool {
        self.next <= self.low
    }

    /// Walks on as far as `find` has the changes that the digests name.
    fn step(&mut self, mut find: impl FnMut(Version, Digest) -> Option<Link>) {
        while !self.is_done() {
            let found = find(self.next, self.digest);
            let Some(link) = found.filter(|link| link.digest == self.digest) else {
                return;
            };
            self.digest = link.change.parent;
            self.next = Version::new(self.next.get() - 1);
            self.links.push(link);
        }
    }
}

/// Returns `state` after `links`.
fn apply(mut state: State, links: &[Link]) -> Result<State, Error> {
    for link in links {
        let change = &link.change;
        state = state
            .apply(change)
            .map_err(|_| Error::Damaged(link::key(change.version, link.digest)))?;
    }
    Ok(state)
}
