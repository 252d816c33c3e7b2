//! Answers many callers by one question.

use std::sync::Mutex as StdMutex;
use std::time::Duration;

use model::lock;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until};

/// Shortest time between two questions, however many callers wait.
const PAUSE: Duration = Duration::from_millis(50);

/// An answer and when its question was asked.
#[derive(Debug, Clone)]
struct Answer<T> {
    asked: Instant,
    value: T,
}

/// Answers many callers by one question. No answer is older than the caller's wish for it.
#[derive(Debug)]
pub struct Flight<T> {
    /// Held while a question is asked.
    turn: Mutex<()>,
    last: StdMutex<Option<Answer<T>>>,
}

impl<T> Default for Flight<T> {
    fn default() -> Self {
        Self {
            turn: Mutex::default(),
            last: StdMutex::new(None),
        }
    }
}

impl<T: Clone> Flight<T> {
    /// Returns the answer to a question that was asked after this call, by `ask` or another caller.
    pub async fn join(&self, ask: impl AsyncFnOnce() -> T) -> T {
        let wished = Instant::now();
        let _turn = self.turn.lock().await;
        let last = self.last();
        if let Some(answer) = last.as_ref().filter(|answer| answer.asked >= wished) {
            return answer.value.clone();
        }
        if let Some(answer) = last {
            sleep_until(answer.asked + PAUSE).await;
        }
        let asked = Instant::now();
        let value = ask().await;
        let answer = Answer {
            asked,
            value: value.clone(),
        };
        *lock(&self.last) = Some(answer);
        value
    }

    fn last(&self) -> Option<Answer<T>> {
        let last = lock(&self.last);
        last.clone()
    }
}
