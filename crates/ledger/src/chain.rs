//! Reading the chain.

use std::sync::{Arc, Mutex, PoisonError};

use model::{AcceptId, Change, Digest, State, Version};
use serde::{Deserialize, Serialize};
use store::{Revision, Store};

use crate::{Error, checkpoint};

/// Key of the head.
pub(crate) const HEAD_KEY: &str = "head";

/// Changes walked back when an accept id is looked for.
const SETTLE_DEPTH: usize = 1_000;

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

/// The chain of accepted changes in the platform's store.
#[derive(Debug)]
pub struct Ledger {
    pub(crate) store: Arc<dyn Store>,
    /// Newest tip read, so that the next read fetches only what follows it.
    cache: Mutex<Arc<Tip>>,
}

impl Ledger {
    /// Opens the ledger in `store`. Reads nothing yet.
    pub fn open(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            cache: Mutex::new(Arc::new(Tip::empty())),
        }
    }

    /// Returns the newest version, read from the store.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn tip(&self) -> Result<Arc<Tip>, Error> {
        let Some(entry) = self.store.get(HEAD_KEY).await? else {
            return Ok(Arc::new(Tip::empty()));
        };
        let head: Head =
            serde_json::from_slice(&entry.value).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let cached = self.cached();
        if cached.digest == head.digest {
            let mut tip = (*cached).clone();
            tip.revision = Some(entry.revision);
            return Ok(Arc::new(tip));
        }
        let (state, change) = self.load(head.digest, Some(&cached)).await?;
        let tip = Arc::new(Tip {
            version: head.version,
            digest: head.digest,
            change: Some(Arc::new(change)),
            state,
            revision: Some(entry.revision),
        });
        self.keep(&tip);
        Ok(tip)
    }

    /// Returns the changes after `version`, oldest first, of the chain that ends in `tip`.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn since(&self, tip: &Tip, version: Version) -> Result<Vec<Arc<Change>>, Error> {
        let mut changes = Vec::new();
        let mut next = tip.change.clone();
        while let Some(change) = next {
            if change.version <= version {
                break;
            }
            next = match change.parent {
                Digest::ZERO => None,
                parent => Some(Arc::new(self.change(parent).await?)),
            };
            changes.push(change);
        }
        changes.reverse();
        Ok(changes)
    }

    /// Returns up to `limit` changes, newest first, from `from` or the head downwards.
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
        let mut changes = Vec::new();
        let mut next = tip.change.clone();
        while let Some(change) = next {
            if changes.len() == limit {
                break;
            }
            let parent = change.parent;
            if from.is_none_or(|from| change.version <= from) {
                changes.push(change);
            }
            next = match parent {
                Digest::ZERO => None,
                parent => Some(Arc::new(self.change(parent).await?)),
            };
        }
        Ok(changes)
    }

    /// Returns the whole state at `version`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NoVersion`] if the chain has no such version.
    pub async fn at(&self, version: Version) -> Result<State, Error> {
        let found = self.log(Some(version), 1).await?;
        match found.first() {
            Some(change) if change.version == version => {
                let digest = Digest::of(&change.to_bytes());
                Ok(self.load(digest, None).await?.0)
            }
            _ => Err(Error::NoVersion(version)),
        }
    }

    /// Returns the change that was accepted under `accept_id`, if the chain has it.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if it holds damaged data.
    pub async fn settle(&self, accept_id: &AcceptId) -> Result<Option<Arc<Change>>, Error> {
        let changes = self.log(None, SETTLE_DEPTH).await?;
        Ok(changes
            .into_iter()
            .find(|change| change.accept_id == *accept_id))
    }

    /// Reads one change and checks it against its digest.
    pub(crate) async fn change(&self, digest: Digest) -> Result<Change, Error> {
        let key = change_key(digest);
        let entry = self.store.get(&key).await?;
        let Some(entry) = entry.filter(|entry| Digest::of(&entry.value) == digest) else {
            return Err(Error::Damaged(key));
        };
        Change::from_bytes(&entry.value).map_err(|_| Error::Damaged(key))
    }

    /// Loads the state whose last change has `digest`, from `near` or the newest checkpoint.
    async fn load(&self, digest: Digest, near: Option<&Tip>) -> Result<(State, Change), Error> {
        let last = self.change(digest).await?;
        let mut pending = vec![last.clone()];
        let mut parent = last.parent;
        let mut state = loop {
            let oldest = &pending[pending.len() - 1];
            if let Some(tip) = near.filter(|tip| tip.digest == parent) {
                break tip.state.clone();
            }
            if parent == Digest::ZERO {
                break State::empty();
            }
            if let Some(base) = oldest
                .base
                .filter(|base| base.version.next() == oldest.version)
            {
                break checkpoint::read(&*self.store, base).await?;
            }
            let change = self.change(parent).await?;
            parent = change.parent;
            pending.push(change);
        };
        for change in pending.iter().rev() {
            state = state
                .apply(change)
                .map_err(|_| Error::Damaged(format!("version {}", change.version)))?;
        }
        Ok((state, last))
    }

    /// Returns the newest tip read so far.
    fn cached(&self) -> Arc<Tip> {
        let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&cache)
    }

    /// Keeps `tip` if it is newer than the one kept.
    pub(crate) fn keep(&self, tip: &Arc<Tip>) {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if tip.version > cache.version {
            *cache = Arc::clone(tip);
        }
    }
}

/// Returns the key that holds the change with `digest`.
pub(crate) fn change_key(digest: Digest) -> String {
    format!("change/{digest}")
}
