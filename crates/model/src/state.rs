//! The whole configuration at one version, stored as a persistent hash tree.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Change, Digest, Item, Key};

/// Number of buckets, the leaves of the hash tree.
const BUCKET_COUNT: usize = 256;

/// An immutable item with its digest.
#[derive(Debug, PartialEq)]
pub struct HashedItem {
    /// The item.
    pub item: Item,
    /// Digest of the item's canonical JSON.
    pub digest: Digest,
}

impl HashedItem {
    /// Creates the item with its digest.
    ///
    /// # Panics
    ///
    /// Never: items always serialise.
    pub fn new(item: Item) -> Self {
        let json = to_json(&item);
        Self {
            digest: Digest::of(&json),
            item,
        }
    }

    /// Returns the item's canonical JSON.
    ///
    /// # Panics
    ///
    /// Never: items always serialise.
    pub fn to_json(&self) -> Vec<u8> {
        to_json(&self.item)
    }
}

fn to_json(item: &Item) -> Vec<u8> {
    serde_json::to_vec(item).expect("items serialise to JSON")
}

/// Error of applying a change to a state.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StateError {
    /// The resulting state does not have the root digest that the change declares.
    #[error("state has root {found}, the change states {stated}; fetch the whole state again")]
    Root {
        /// Root digest that the change declares.
        stated: Digest,
        /// Root digest of the resulting state.
        found: Digest,
    },
}

/// A leaf of the hash tree: the items whose keys hash to it.
#[derive(Debug, Clone, Default)]
struct Bucket {
    items: BTreeMap<Key, Arc<HashedItem>>,
}

impl Bucket {
    fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for (key, item) in &self.items {
            hasher.update(key.to_string().as_bytes());
            hasher.update(item.digest.as_bytes());
        }
        Digest::from_slice(hasher.finalize().as_bytes()).unwrap_or(Digest::ZERO)
    }
}

/// The configuration at one version. Cloning is cheap, because clones share their items.
#[derive(Debug, Clone)]
pub struct State {
    buckets: Vec<Arc<Bucket>>,
    digests: Vec<Digest>,
}

impl State {
    /// Creates a state without items.
    pub fn empty() -> Self {
        let bucket = Arc::new(Bucket::default());
        Self {
            digests: vec![bucket.digest(); BUCKET_COUNT],
            buckets: vec![bucket; BUCKET_COUNT],
        }
    }

    /// Creates a state that contains `items`.
    pub fn from_items(items: impl IntoIterator<Item = Item>) -> Self {
        let mut state = Self::empty();
        for item in items {
            let key = item.key();
            state.set(&key, Some(Arc::new(HashedItem::new(item))));
        }
        state
    }

    /// Returns the root digest of the hash tree; equal states have equal roots.
    pub fn root(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for digest in &self.digests {
            hasher.update(digest.as_bytes());
        }
        Digest::from_slice(hasher.finalize().as_bytes()).unwrap_or(Digest::ZERO)
    }

    /// Returns the item under `key`.
    pub fn get(&self, key: &Key) -> Option<&Arc<HashedItem>> {
        self.buckets[bucket_of(key)].items.get(key)
    }

    /// Returns all items, in the order of the hash tree.
    pub fn items(&self) -> impl Iterator<Item = (&Key, &Arc<HashedItem>)> {
        self.buckets.iter().flat_map(|bucket| bucket.items.iter())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|bucket| bucket.items.len()).sum()
    }

    /// Returns whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Inserts or removes the item under `key`.
    pub fn set(&mut self, key: &Key, item: Option<Arc<HashedItem>>) {
        let index = bucket_of(key);
        let bucket = Arc::make_mut(&mut self.buckets[index]);
        match item {
            Some(item) => bucket.items.insert(key.clone(), item),
            None => bucket.items.remove(key),
        };
        self.digests[index] = bucket.digest();
    }

    /// Returns the state that results from `change`.
    ///
    /// # Errors
    ///
    /// Fails if the result does not have the root digest that the change declares.
    pub fn apply(&self, change: &Change) -> Result<Self, StateError> {
        let mut next = self.clone();
        for entry in &change.entries {
            let item = entry
                .item
                .clone()
                .map(|item| Arc::new(HashedItem::new(item)));
            next.set(&entry.key, item);
        }
        let found = next.root();
        if found != change.root {
            return Err(StateError::Root {
                stated: change.root,
                found,
            });
        }
        Ok(next)
    }
}

/// Returns the index of the bucket that contains `key`.
fn bucket_of(key: &Key) -> usize {
    let hash = blake3::hash(key.to_string().as_bytes());
    usize::from(hash.as_bytes()[0])
}
