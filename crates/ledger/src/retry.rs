//! Store access that retries calls where that is safe.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use store::{Entry, Error, Expect, Put, Store};
use tokio::time::{Instant, sleep};

/// Time after which a call is not retried again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// Upper bound of the first pause before a retry; doubles with every retry.
const INITIAL_CALL_BACKOFF: Duration = Duration::from_millis(20);

/// Upper bound of any pause before a retry.
const MAX_CALL_BACKOFF: Duration = Duration::from_secs(1);

/// Upper bound of the first pause after losing a swap to another process; doubles with every loss.
const INITIAL_CONFLICT_BACKOFF: Duration = Duration::from_millis(4);

/// Upper bound of any pause after a lost swap. Short, because a process that waits longer than its
/// competitors loses every swap.
const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(32);

/// Exponential backoff with jitter and a deadline.
#[derive(Debug)]
pub(crate) struct Backoff {
    deadline: Instant,
    ceiling: Duration,
    max: Duration,
}

impl Backoff {
    /// Returns the backoff for retries of one call.
    pub(crate) fn for_call() -> Self {
        Self {
            deadline: Instant::now() + RETRY_TIMEOUT,
            ceiling: INITIAL_CALL_BACKOFF,
            max: MAX_CALL_BACKOFF,
        }
    }

    /// Returns the backoff for swaps lost to other processes.
    pub(crate) fn after_conflict() -> Self {
        Self {
            deadline: Instant::now() + RETRY_TIMEOUT,
            ceiling: INITIAL_CONFLICT_BACKOFF,
            max: MAX_CONFLICT_BACKOFF,
        }
    }

    /// Sleeps before the next attempt; returns `false` without sleeping after the deadline.
    pub(crate) async fn pause(&mut self) -> bool {
        if Instant::now() >= self.deadline {
            return false;
        }
        let ceiling = self.ceiling.as_micros() as u64;
        let pause = rand::rng().random_range(ceiling / 4..=ceiling);
        self.ceiling = (self.ceiling * 2).min(self.max);
        sleep(Duration::from_micros(pause)).await;
        true
    }
}

/// A store handle that retries calls where that is safe.
#[derive(Debug)]
pub(crate) struct RetryingStore {
    store: Arc<dyn Store>,
}

impl RetryingStore {
    pub(crate) fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Reads one key; retries rate-limited calls.
    pub(crate) async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let mut backoff = Backoff::for_call();
        loop {
            match self.store.get(key).await {
                Err(Error::Limited) if backoff.pause().await => {}
                result => return result,
            }
        }
    }

    /// Reads a page of keys; retries rate-limited calls.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Entry>, Error> {
        let mut backoff = Backoff::for_call();
        loop {
            match self.store.list(prefix, after, limit).await {
                Err(Error::Limited) if backoff.pause().await => {}
                result => return result,
            }
        }
    }

    /// Writes content-addressed data, which makes the write idempotent and safe to retry.
    pub(crate) async fn put_content(&self, key: &str, value: &[u8]) -> Result<(), Error> {
        let mut backoff = Backoff::for_call();
        loop {
            match self.store.put(key, value.to_vec(), Expect::Any, None).await {
                Err(Error::Limited | Error::Unknown(_)) if backoff.pause().await => {}
                result => return result.map(drop),
            }
        }
    }

    /// Deletes content that is no longer referenced.
    pub(crate) async fn delete_content(&self, key: &str) -> Result<(), Error> {
        let mut backoff = Backoff::for_call();
        loop {
            match self.store.delete(key, Expect::Any).await {
                Err(Error::Limited | Error::Unknown(_)) if backoff.pause().await => {}
                result => return result.map(drop),
            }
        }
    }

    /// Writes a key if it is in the expected state, without retries.
    pub(crate) async fn swap(&self, key: &str, value: &[u8], expect: Expect) -> Result<Put, Error> {
        self.store.put(key, value.to_vec(), expect, None).await
    }
}
