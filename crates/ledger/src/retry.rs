//! Calls to the store, repeated where that is safe.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use store::{Entry, Error, Expect, Put, Store};
use tokio::time::{Instant, sleep};

/// Longest time that one call is repeated for.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest first pause before a call is repeated; later ones are longer.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause before a call is repeated.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Longest first pause after a swap was lost to another process; later ones are longer.
const FIRST_LOST_PAUSE: Duration = Duration::from_millis(4);

/// Longest pause after a swap was lost. Short, as a process that waits longer than the others
/// loses to them every time.
const MAX_LOST_PAUSE: Duration = Duration::from_millis(32);

/// Pauses between tries, of random length, until a deadline.
#[derive(Debug)]
pub(crate) struct Backoff {
    deadline: Instant,
    longest: Duration,
    limit: Duration,
}

impl Backoff {
    /// Returns pauses between the tries of a call.
    pub(crate) fn start() -> Self {
        Self {
            deadline: Instant::now() + RETRY_TIMEOUT,
            longest: FIRST_PAUSE,
            limit: MAX_PAUSE,
        }
    }

    /// Returns pauses after swaps that were lost to other processes.
    pub(crate) fn after_loss() -> Self {
        Self {
            deadline: Instant::now() + RETRY_TIMEOUT,
            longest: FIRST_LOST_PAUSE,
            limit: MAX_LOST_PAUSE,
        }
    }

    /// Waits before the next try; returns whether there is time for one.
    pub(crate) async fn pause(&mut self) -> bool {
        if Instant::now() >= self.deadline {
            return false;
        }
        let longest = self.longest.as_micros() as u64;
        let pause = rand::rng().random_range(longest / 4..=longest);
        self.longest = (self.longest * 2).min(self.limit);
        sleep(Duration::from_micros(pause)).await;
        true
    }
}

/// The store, with calls that are repeated where that is safe.
#[derive(Debug)]
pub(crate) struct Calls {
    store: Arc<dyn Store>,
}

impl Calls {
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Reads one key; repeats a call refused for its rate.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let mut backoff = Backoff::start();
        loop {
            match self.store.get(key).await {
                Err(Error::Limited) if backoff.pause().await => {}
                result => return result,
            }
        }
    }

    /// Reads a page of keys; repeats a call refused for its rate.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Entry>, Error> {
        let mut backoff = Backoff::start();
        loop {
            match self.store.list(prefix, after, limit).await {
                Err(Error::Limited) if backoff.pause().await => {}
                result => return result,
            }
        }
    }

    /// Writes content under a key that names it, so that repeating the write changes nothing.
    pub(crate) async fn put_content(&self, key: &str, value: &[u8]) -> Result<(), Error> {
        let mut backoff = Backoff::start();
        loop {
            match self.store.put(key, value.to_vec(), Expect::Any, None).await {
                Err(Error::Limited | Error::Unknown(_)) if backoff.pause().await => {}
                result => return result.map(drop),
            }
        }
    }

    /// Deletes content that nothing refers to any more.
    pub(crate) async fn delete_content(&self, key: &str) -> Result<(), Error> {
        let mut backoff = Backoff::start();
        loop {
            match self.store.delete(key, Expect::Any).await {
                Err(Error::Limited | Error::Unknown(_)) if backoff.pause().await => {}
                result => return result.map(drop),
            }
        }
    }

    /// Tries once to write a key that is as expected.
    pub(crate) async fn swap(&self, key: &str, value: &[u8], expect: Expect) -> Result<Put, Error> {
        self.store.put(key, value.to_vec(), expect, None).await
    }
}
