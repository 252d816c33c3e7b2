//! Keys of calls that may run only once, as one gate remembers them.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use model::lock;
use tokio::time::Instant;

/// Time that a key is remembered after its call ended.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);

/// Keys remembered at most; the oldest of the ended calls are forgotten first.
pub const MAX_KEYS: usize = 65_536;

/// A key, as its digest.
pub type KeyDigest = [u8; 32];

/// What the gate knows of a call by its key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// It is waiting for the upstream or with it.
    Running,
    /// The upstream answered it.
    Ran,
    /// It was sent and no answer came.
    Unknown,
}

/// The answer to a new call with a key.
#[derive(Debug, PartialEq)]
pub enum Entry {
    /// The key is new.
    New,
    /// A call with this key came before.
    Known(Fate),
    /// Every place is taken by a call that still runs.
    Full,
}

/// Keys of one gate.
#[derive(Debug, Default)]
pub struct KeyTable {
    fates: HashMap<KeyDigest, Fate>,
    /// Keys of ended calls, the oldest first, with when they are forgotten.
    ended: VecDeque<(Instant, KeyDigest)>,
}

impl KeyTable {
    /// Takes in a call with `key`, unless one came before.
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

    /// Notes how the call with `key` ended; `None` if it was surely not run.
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

/// Keys of one gate, shared by its calls.
#[derive(Debug, Clone, Default)]
pub struct Keys(Arc<Mutex<KeyTable>>);

impl Keys {
    /// Takes in a call with `key`, or returns what is known of an earlier one.
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

/// A call's hold on its key. Forgets the key when dropped before the call was sent.
#[derive(Debug)]
pub struct Claim {
    keys: Keys,
    key: KeyDigest,
    fate: Option<Fate>,
}

impl Claim {
    /// Notes what is now known of the call.
    pub fn note(&mut self, fate: Option<Fate>) {
        self.fate = fate;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.keys.lock().end(self.key, self.fate, Instant::now());
    }
}
