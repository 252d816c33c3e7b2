//! Sharing of one query between concurrent callers.

use std::sync::Mutex as StdMutex;
use std::time::Duration;

use model::lock;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Minimum interval between two queries, however many callers wait.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a query and the time at which the query was started.
#[derive(Debug, Clone)]
struct Outcome<T> {
    started: Instant,
    value: T,
}

/// Shares the result of one query between concurrent callers.
///
/// A caller only gets the result of a query that was started after its call.
#[derive(Debug)]
pub struct SingleFlight<T> {
    /// Held while a query is running.
    running: Mutex<()>,
    last: StdMutex<Option<Outcome<T>>>,
}

impl<T> Default for SingleFlight<T> {
    fn default() -> Self {
        Self {
            running: Mutex::default(),
            last: StdMutex::new(None),
        }
    }
}

impl<T: Clone> SingleFlight<T> {
    /// Returns the result of `query`, or of another caller's query that was started after this call.
    pub async fn run(&self, query: impl AsyncFnOnce() -> T) -> T {
        let called = Instant::now();
        let _running = self.running.lock().await;
        let last = self.last();
        if let Some(outcome) = last.as_ref().filter(|outcome| outcome.started >= called) {
            return outcome.value.clone();
        }
        if let Some(outcome) = last {
            sleep_until(outcome.started + MIN_INTERVAL).await;
        }
        let started = Instant::now();
        let value = query().await;
        let outcome = Outcome {
            started,
            value: value.clone(),
        };
        *lock(&self.last) = Some(outcome);
        value
    }

    fn last(&self) -> Option<Outcome<T>> {
        let last = lock(&self.last);
        last.clone()
    }
}
