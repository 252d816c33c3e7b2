//! Reads the chain of changes.

use std::sync::{Arc, Mutex, MutexGuard};

use model::{AcceptId, Change, CheckpointRef, Digest, State, Version, lock};
use serde::{Deserialize, Serialize};
use store::{Revision, Store};

use crate::accept::Queue;
use crate::cache::Cache;
use crate::link::{self, Assembler, Link};
use crate::retry::RetryingStore;
use crate::{Error, Retention, checkpoint};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "head";

/// Store entries read in one page.
const PAGE_ENTRIES: u32 = 512;

/// Largest distance from the cached head at which the newer changes are applied to it; beyond it
/// the state is loaded from the newest checkpoint.
const MAX_REPLAYED_VERSIONS: u64 = 512;

/// Value of the head key: version and digest of the newest change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadPointer {
    /// Newest version.
    pub(crate) version: Version,
    /// Digest of the change that created it.
    pub(crate) digest: Digest,
}

/// The newest version with its whole state.
#[derive(Debug, Clone)]
pub struct ChainHead {
    /// Number of the version.
    pub version: Version,
    /// Digest of the change that created it.
    pub digest: Digest,
    /// Change that created it; `None` before the first accept.
    pub change: Option<Arc<Change>>,
    /// State at the version.
    pub state: State,
    /// Store revision of the head key; `None` before the first accept.
    pub(crate) revision: Option<Revision>,
}

impl ChainHead {
    /// Returns the head of an empty chain.
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

/// State shared between a ledger handle and its tasks. The lock on `cache` is never held across an
/// await point.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) store: RetryingStore,
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
    /// Opens the ledger in `store` with the default retention, without reading anything.
    pub fn open(store: Arc<dyn Store>) -> Self {
        Self::open_with(store, Retention::default())
    }

    /// Opens the ledger in `store` with the given retention, without reading anything.
    pub fn open_with(store: Arc<dyn Store>, retention: Retention) -> Self {
        Self {
            inner: Arc::new(Inner {
                store: RetryingStore::new(store),
                queue: Queue::default(),
                retention,
                cache: Mutex::new(Cache::new(ChainHead::empty())),
            }),
        }
    }

    /// Returns the newest version, read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn head(&self) -> Result<Arc<ChainHead>, Error> {
        self.inner.head().await
    }

    /// Returns the changes after `version` up to `head`, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the store does, if it holds damaged data, or if the changes are no longer kept.
    pub async fn since(
        &self,
        head: &ChainHead,
        version: Version,
    ) -> Result<Vec<Arc<Change>>, Error> {
        let links = self.inner.range(version, head.version, head.digest).await?;
        Ok(links.into_iter().map(|link| link.change).collect())
    }

    /// Returns up to `limit` changes, newest first, starting at `from` or the head.
    ///
    /// Returns fewer if older ones have been removed.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn log(
        &self,
        from: Option<Version>,
        limit: usize,
    ) -> Result<Vec<Arc<Change>>, Error> {
        let head = self.head().await?;
        let from = from.map_or(head.version, |from| from.min(head.version));
        let Some(newest) = self.inner.find(&head, from).await? else {
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
        let head = self.head().await?;
        if version == head.version && version > Version::default() {
            return Ok(head.state.clone());
        }
        self.inner.state_at(&head, version).await
    }

    /// Returns the change that was accepted under `accept_id`, if it is among the newest 2,048.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn find_accept(&self, accept_id: &AcceptId) -> Result<Option<Arc<Change>>, Error> {
        let head = self.head().await?;
        self.inner.find_accept(&head, accept_id).await
    }
}

impl Inner {
    /// Returns the newest version, read from the store.
    pub(crate) async fn head(&self) -> Result<Arc<ChainHead>, Error> {
        let Some(entry) = self.store.get(HEAD_KEY).await? else {
            return Ok(Arc::new(ChainHead::empty()));
        };
        let pointer: HeadPointer =
            serde_json::from_slice(&entry.value).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let cached_head = Arc::clone(self.cache().head());
        if cached_head.digest == pointer.digest {
            let mut head = (*cached_head).clone();
            head.revision = Some(entry.revision);
            return Ok(Arc::new(head));
        }
        let (state, change) = self.load(&pointer, &cached_head).await?;
        let head = Arc::new(ChainHead {
            version: pointer.version,
            digest: pointer.digest,
            change: Some(change),
            state,
            revision: Some(entry.revision),
        });
        self.cache_head(&head);
        Ok(head)
    }

    /// Loads the state at `pointer`, starting from the cached head or the newest checkpoint.
    async fn load(
        &self,
        pointer: &HeadPointer,
        cached_head: &ChainHead,
    ) -> Result<(State, Arc<Change>), Error> {
        let (low, state) = if cached_head.version < pointer.version
            && pointer.version.get() - cached_head.version.get() <= MAX_REPLAYED_VERSIONS
        {
            (cached_head.version, cached_head.state.clone())
        } else {
            let last = self.read(pointer.version, pointer.digest).await?;
            match last.change.base {
                Some(base) => (base.version, checkpoint::read(&self.store, base).await?),
                None => (Version::default(), State::empty()),
            }
        };
        let links = self
            .kept_range(low, pointer.version, pointer.digest)
            .await?;
        let state = apply(state, &links)?;
        let damaged = || Error::Damaged(link::key(pointer.version, pointer.digest));
        let last = links.last().ok_or_else(damaged)?;
        Ok((state, Arc::clone(&last.change)))
    }

    /// Returns the state at `version` on the chain that ends in `head`.
    pub(crate) async fn state_at(
        &self,
        head: &ChainHead,
        version: Version,
    ) -> Result<State, Error> {
        let Some(newest) = self.find(head, version).await? else {
            return Err(Error::NoVersion(version));
        };
        let (low, state) = self.newest_kept_checkpoint(newest.change.base).await?;
        let links = self.range(low, version, newest.digest).await?;
        apply(state, &links)
    }

    /// Returns version and state of the newest checkpoint still kept, starting at `base` and going
    /// down; the empty state if the chain has no checkpoint below.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NoVersion`] if the change that refers to the next checkpoint is missing.
    async fn newest_kept_checkpoint(
        &self,
        base: Option<CheckpointRef>,
    ) -> Result<(Version, State), Error> {
        let mut next = base;
        while let Some(base) = next {
            match checkpoint::read(&self.store, base).await {
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

    /// Returns the change accepted under `accept_id` on the chain that ends in `head`.
    pub(crate) async fn find_accept(
        &self,
        head: &ChainHead,
        accept_id: &AcceptId,
    ) -> Result<Option<Arc<Change>>, Error> {
        let missing = self.cache().missing_ids_after(head.version);
        if let Some(low) = missing {
            let links = self.kept_range(low, head.version, head.digest).await?;
            self.cache().add_ids(low, &links);
        }
        let version = self.cache().version_of(accept_id);
        let Some(version) = version else {
            return Ok(None);
        };
        let link = self.find(head, version).await?;
        Ok(link.map(|link| link.change))
    }

    /// Returns the change of `version` on the chain that ends in `head`.
    ///
    /// Follows the checkpoint references downwards; each contains the digest of its change.
    pub(crate) async fn find(
        &self,
        head: &ChainHead,
        version: Version,
    ) -> Result<Option<Link>, Error> {
        if version > head.version || version == Version::default() {
            return Ok(None);
        }
        let cached = self.cache().link(version).cloned();
        if cached.is_some() {
            return Ok(cached);
        }
        let mut above = (head.version, head.digest);
        let mut base = head.change.as_ref().and_then(|change| change.base);
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

    /// Returns the changes after `low` up to `high`, whose change has `digest`, oldest first.
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

    /// Returns the changes of [`Self::range`] that are still kept, oldest first.
    pub(crate) async fn kept_range(
        &self,
        low: Version,
        high: Version,
        digest: Digest,
    ) -> Result<Vec<Link>, Error> {
        let mut walk = ChainWalk::new(low, high, digest);
        walk.follow(|version, _| self.cache().link(version).cloned());
        if !walk.is_done() {
            let mut read = self.read_pages(low, walk.next, walk.digest).await?;
            walk.follow(|version, digest| read.take(version, digest));
            let mut cache = self.cache();
            walk.links.iter().for_each(|link| cache.add(link));
        }
        if walk.links.is_empty() && high > low {
            return Err(Error::Damaged(link::key(high, digest)));
        }
        walk.links.reverse();
        Ok(walk.links)
    }

    /// Reads the parts of all changes after `low` up to `high`, whose change has `digest`; includes
    /// changes that are not on the chain.
    async fn read_pages(
        &self,
        low: Version,
        high: Version,
        digest: Digest,
    ) -> Result<Assembler, Error> {
        let mut parts = Assembler::default();
        let mut after = link::key_after(low);
        loop {
            let page = self.store.list(link::PREFIX, &after, PAGE_ENTRIES).await?;
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

    /// Reads one change and verifies its digest.
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
            let page = self.store.list(&prefix, &after, PAGE_ENTRIES).await?;
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

    /// Caches `head` if it is newer than the cached one.
    pub(crate) fn cache_head(&self, head: &Arc<ChainHead>) {
        self.cache().set_head(head);
    }

    /// Caches a change that this process committed.
    pub(crate) fn cache_link(&self, link: &Link) {
        self.cache().add(link);
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        lock(&self.cache)
    }
}

/// A walk from a change down the chain of parent digests.
struct ChainWalk {
    low: Version,
    next: Version,
    digest: Digest,
    /// Changes found, newest first.
    links: Vec<Link>,
}

impl ChainWalk {
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

    /// Continues the walk until `find` has no change with the next digest.
    fn follow(&mut self, mut find: impl FnMut(Version, Digest) -> Option<Link>) {
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

/// Applies `links` to `state` in order.
fn apply(mut state: State, links: &[Link]) -> Result<State, Error> {
    for link in links {
        let change = &link.change;
        state = state
            .apply(change)
            .map_err(|_| Error::Damaged(link::key(change.version, link.digest)))?;
    }
    Ok(state)
}
