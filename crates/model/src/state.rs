//! The whole configuration at one version, as a persistent hash tree.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{Change, Digest, Item, Key};

/// Number of leaves of the hash tree.
const BUCKETS: usize = 256;

/// One immutable item with its digest.
#[derive(Debug, PartialEq)]
pub struct Piece {
    /// The item itself.
    pub item: Item,
    /// Digest of the item's canonical JSON.
    pub digest: Digest,
}

impl Piece {
    /// Wraps `item` and computes its digest.
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

/// A change that does not lead to the state it promises.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StateError {
    /// The state after the change has another root digest than the change states.
    #[error("state has root {found}, the change states {stated}; fetch the whole state again")]
    Root {
        /// Root that the change states.
        stated: Digest,
        /// Root after applying it.
        found: Digest,
    },
}

/// A leaf of the hash tree.
#[derive(Debug, Clone, Default)]
struct Bucket {
    pieces: BTreeMap<Key, Arc<Piece>>,
}

impl Bucket {
    fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for (key, piece) in &self.pieces {
            hasher.update(key.to_string().as_bytes());
            hasher.update(piece.digest.as_bytes());
        }
        Digest::from_slice(hasher.finalize().as_bytes()).unwrap_or(Digest::ZERO)
    }
}

/// The configuration at one version. Cloning is cheap and shares every piece.
#[derive(Debug, Clone)]
pub struct State {
    buckets: Vec<Arc<Bucket>>,
    digests: Vec<Digest>,
}

impl State {
    /// Returns the state without any item.
    pub fn empty() -> Self {
        let bucket = Arc::new(Bucket::default());
        Self {
            digests: vec![bucket.digest(); BUCKETS],
            buckets: vec![bucket; BUCKETS],
        }
    }

    /// Returns the state that holds `items`.
    pub fn from_items(items: impl IntoIterator<Item = Item>) -> Self {
        let mut state = Self::empty();
        for item in items {
            let key = item.key();
            state.set(&key, Some(Arc::new(Piece::new(item))));
        }
        state
    }

    /// Returns the digest of the whole state; equal states have equal roots.
    pub fn root(&self) -> Digest {
        let mut hasher = blake3::Hasher::new();
        for digest in &self.digests {
            hasher.update(digest.as_bytes());
        }
        Digest::from_slice(hasher.finalize().as_bytes()).unwrap_or(Digest::ZERO)
    }

    /// Returns the piece under `key`.
    pub fn get(&self, key: &Key) -> Option<&Arc<Piece>> {
        self.buckets[bucket_of(key)].pieces.get(key)
    }

    /// Returns all pieces, in the order of the hash tree.
    pub fn pieces(&self) -> impl Iterator<Item = (&Key, &Arc<Piece>)> {
        self.buckets.iter().flat_map(|bucket| bucket.pieces.iter())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(|bucket| bucket.pieces.len()).sum()
    }

    /// Returns whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts or removes the piece under `key`.
    pub fn set(&mut self, key: &Key, piece: Option<Arc<Piece>>) {
        let index = bucket_of(key);
        let bucket = Arc::make_mut(&mut self.buckets[index]);
        match piece {
            Some(piece) => bucket.pieces.insert(key.clone(), piece),
            None => bucket.pieces.remove(key),
        };
        self.digests[index] = bucket.digest();
    }

    /// Returns the state after `change`.
    ///
    /// # Errors
    ///
    /// Fails if the result has another root than the change states.
    pub fn apply(&self, change: &Change) -> Result<Self, StateError> {
        let mut next = self.clone();
        for entry in &change.entries {
            let piece = entry.item.clone().map(|item| Arc::new(Piece::new(item)));
            next.set(&entry.key, piece);
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

/// Returns the leaf that holds `key`.
fn bucket_of(key: &Key) -> usize {
    let hash = blake3::hash(key.to_string().as_bytes());
    usize::from(hash.as_bytes()[0])
}
