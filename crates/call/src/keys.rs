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
pub enum KeyStatus {
    /// The call is queued or running.
    Running,
    /// The upstream ran the call and responded.
    Ran,
    /// The call was sent, but no response arrived.
    Unknown,
}

/// Result of registering a call with a key.
#[derive(Debug, PartialEq)]
pub enum Registration {
    /// The key is new.
    New,
    /// A call with this key is already known.
    Known(KeyStatus),
    /// The table is full of running calls.
    Full,
}

/// Table of the keys of one gate.
#[derive(Debug, Default)]
pub struct KeyTable {
    statuses: HashMap<KeyDigest, KeyStatus>,
    /// Keys of ended calls with their expiry, oldest first.
    ended: VecDeque<(Instant, KeyDigest)>,
}

impl KeyTable {
    /// Registers a call with `key`, unless the key is already known.
    pub fn register(&mut self, key: KeyDigest, now: Instant) -> Registration {
        self.evict_expired(now);
        if let Some(status) = self.statuses.get(&key) {
            return Registration::Known(*status);
        }
        if self.statuses.len() >= MAX_KEYS {
            let Some((_, oldest)) = self.ended.pop_front() else {
                return Registration::Full;
            };
            self.statuses.remove(&oldest);
        }
        self.statuses.insert(key, KeyStatus::Running);
        Registration::New
    }

    /// Records the final status of the call with `key`; `None` if it certainly did not run.
    pub fn end(&mut self, key: KeyDigest, status: Option<KeyStatus>, now: Instant) {
        match status {
            Some(status) => {
                self.statuses.insert(key, status);
                self.ended.push_back((now + KEY_WINDOW, key));
            }
            None => {
                self.statuses.remove(&key);
            }
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        while let Some((until, key)) = self.ended.front() {
            if *until > now {
                return;
            }
            self.statuses.remove(key);
            self.ended.pop_front();
        }
    }
}

/// Shared table of the keys of one gate.
#[derive(Debug, Clone, Default)]
pub struct Keys(Arc<Mutex<KeyTable>>);

impl Keys {
    /// Claims `key` for a call.
    ///
    /// # Errors
    ///
    /// Fails if the key is already known or the table is full.
    pub fn claim(&self, key: &[u8]) -> Result<Claim, Registration> {
        let key = *blake3::hash(key).as_bytes();
        match self.lock().register(key, Instant::now()) {
            Registration::New => Ok(Claim {
                keys: self.clone(),
                key,
                status: None,
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
    status: Option<KeyStatus>,
}

impl Claim {
    /// Sets the status of the call; `None` if it certainly did not run.
    pub fn set_status(&mut self, status: Option<KeyStatus>) {
        self.status = status;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.keys.lock().end(self.key, self.status, Instant::now());
    }
}
