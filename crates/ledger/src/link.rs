//! Storage format of changes: split into parts, keyed by version and digest.

use std::collections::BTreeMap;
use std::sync::Arc;

use model::{Change, Digest, Version};
use store::Entry;

/// Key prefix of all changes.
pub(crate) const PREFIX: &str = "change/";

/// Largest part of a change; the store accepts values up to 1 MB.
const MAX_PART_BYTES: usize = 900_000;

/// A change with its digest and size.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Digest of the change's canonical bytes.
    pub(crate) digest: Digest,
    /// Length of the canonical bytes, in bytes.
    pub(crate) size: usize,
    /// The change.
    pub(crate) change: Arc<Change>,
}

impl Link {
    /// Wraps a change, and also returns its canonical bytes.
    pub(crate) fn new(change: Change) -> (Self, Vec<u8>) {
        let bytes = change.to_bytes();
        let link = Self {
            digest: Digest::of(&bytes),
            size: bytes.len(),
            change: Arc::new(change),
        };
        (link, bytes)
    }
}

/// Returns the key prefix of the parts of a change.
pub(crate) fn key(version: Version, digest: Digest) -> String {
    format!("{PREFIX}{:020}/{digest}", version.get())
}

/// Returns the key that sorts before every change after `version`.
pub(crate) fn key_after(version: Version) -> String {
    format!("{PREFIX}{:020}", version.next().get())
}

/// Splits a change into the keys and values under which it is stored.
pub(crate) fn split<'a>(link: &Link, bytes: &'a [u8]) -> Vec<(String, &'a [u8])> {
    let key = key(link.change.version, link.digest);
    let parts = bytes.chunks(MAX_PART_BYTES).enumerate();
    parts
        .map(|(i, part)| (format!("{key}/{i:04}"), part))
        .collect()
}

/// Parses the version and digest from the key of a part.
pub(crate) fn parse_key(key: &str) -> Option<(Version, Digest)> {
    let mut fields = key.strip_prefix(PREFIX)?.split('/');
    let version = fields.next()?.parse().ok()?;
    let digest = fields.next()?.parse().ok()?;
    Some((version, digest))
}

/// Reassembles changes from their parts, which must be added in key order.
#[derive(Debug, Default)]
pub(crate) struct Assembler {
    parts: BTreeMap<(Version, Digest), Vec<u8>>,
}

impl Assembler {
    /// Adds one part.
    pub(crate) fn add(&mut self, entry: Entry) {
        if let Some(id) = parse_key(&entry.key) {
            self.parts.entry(id).or_default().extend(entry.value);
        }
    }

    /// Returns whether the change with `digest` is complete.
    pub(crate) fn has(&self, version: Version, digest: Digest) -> bool {
        let bytes = self.parts.get(&(version, digest));
        bytes.is_some_and(|bytes| Digest::of(bytes) == digest)
    }

    /// Removes and returns the change with `digest`, if it is complete and matches its digest.
    pub(crate) fn take(&mut self, version: Version, digest: Digest) -> Option<Link> {
        let bytes = self.parts.remove(&(version, digest))?;
        if Digest::of(&bytes) != digest {
            return None;
        }
        let change = Change::from_bytes(&bytes).ok()?;
        Some(Link {
            digest,
            size: bytes.len(),
            change: Arc::new(change),
        })
    }
}
