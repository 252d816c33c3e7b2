//! Idempotency keys of calls that may run only once, as kept by one gate.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::lock;
use tokio::time::Instant;

/// Time for which a key is kept after its call ended.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);

/// Maximum number of keys; the keys of ended calls are evicted first, oldest first.
pub const MAX_KEYS: usize = 65_536;

/// BLAKE3 digest of a key.
pub type KeyDigest = [u8; 32];

/// Status of a call with a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// The call is queued or running.
    Running,
    /// The upstream ran the call and responded.
    Ran,
    /// The call was sent, but no response arrived.
    Unknown,
}

/// Result of registering a call with a key.
#[derive(Debug, PartialEq)]
pub enum Entry {
    /// The key is new.
    New,
    /// A call with this key is already known.
    Known(Fate),
    /// The table is full of running calls.
    Full,
}

/// Table of the keys of one gate.
#[derive(Debug, Default)]
pub struct KeyTable {
    fates: HashMap<KeyDigest, Fate>,
    /// Keys of ended calls with their expiry, oldest first.
    ended: VecDeque<(Instant, KeyDigest)>,
}

impl KeyTable {
    /// Registers a call with `key`, unless the key is already known.
    pub fn begin(&mut self, key: KeyDigest, now: Instant) -> Entry {
        self.forget(now);
        if let Some(fate) = self.fates.get(&key) {
            return Entry::Known(*fate);
        }
        if self.fates.len() >= MAX_KEYS {
            let Some((_, oldest)) = self.ended.pop_front() else {
                return Entry::Full;
            };
            self.fates.remove(&oldest);
        }
        self.fates.insert(key, Fate::Running);
        Entry::New
    }

    /// Records the final status of the call with `key`; `None` if it certainly did not run.
    pub fn end(&mut self, key: KeyDigest, fate: Option<Fate>, now: Instant) {
        match fate {
            Some(fate) => {
                self.fates.insert(key, fate);
                self.ended.push_back((now + KEY_WINDOW, key));
            }
            None => {
                self.fates.remove(&key);
            }
        }
    }

    fn forget(&mut self, now: Instant) {
        while let Some((until, key)) = self.ended.front() {
            if *until > now {
                return;
            }
            self.fates.remove(key);
            self.ended.pop_front();
        }
    }
}

/// Shared table of the keys of one gate.
#[derive(Debug, Clone, Default)]
pub struct Keys(Arc<Mutex<KeyTable>>);

impl Keys {
    /// Claims `key` for a call, or returns the status of an earlier call with it.
    pub fn begin(&self, key: &[u8]) -> Result<Claim, Entry> {
        let key = *blake3::hash(key).as_bytes();
        match self.lock().begin(key, Instant::now()) {
            Entry::New => Ok(Claim {
                keys: self.clone(),
                key,
                fate: None,
            }),
            known => Err(known),
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeyTable> {
        lock(&self.0)
    }
}

/// A call's claim on its key. Dropping it records the call's status, or removes the key if there is none.
#[derive(Debug)]
pub struct Claim {
    keys: Keys,
    key: KeyDigest,
    fate: Option<Fate>,
}

impl Claim {
    /// Sets the status of the call; `None` if it certainly did not run.
    pub fn note(&mut self, fate: Option<Fate>) {
        self.fate = fate;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.keys.lock().end(self.key, self.fate, Instant::now());
    }
}
