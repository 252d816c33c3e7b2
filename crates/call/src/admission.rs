//! Admission of calls to the upstream beside this daemon.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use model::Priority;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::limit::{Reply, Sample};
use crate::queue::{Entry, Queue, Rank, Shed};

/// What a waiting call is told.
type Verdict = Result<Slot, Shed>;

/// Admission of calls to one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Admission(Arc<Mutex<Queue<oneshot::Sender<Verdict>>>>);

/// The right to run one call; given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    admission: Admission,
}

/// A place in the queue; given up when dropped.
struct Place<'a> {
    admission: &'a Admission,
    rank: Rank,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.admission.lock().cancel(self.rank);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.admission.lock().leave(Instant::now());
        for waiter in next.late {
            let _ = waiter.send(Err(Shed::Deadline));
        }
        for waiter in next.run {
            // A waiter that is gone gives the slot back by dropping it.
            let _ = waiter.send(Ok(self.admission.slot()));
        }
    }
}

impl Slot {
    /// Notes how the upstream answered after `latency`.
    pub(crate) fn observe(&self, latency: Duration, reply: Reply) {
        let mut queue = self.admission.lock();
        let running = queue.running();
        let sample = Sample {
            latency,
            reply,
            running,
        };
        queue.observe(sample, Instant::now());
    }
}

impl Admission {
    /// Returns an admission without any slot.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Mutex::new(Queue::new(0))))
    }

    /// Sets the number of slots that the upstream claims. Calls in flight still count.
    pub(crate) fn resize(&self, slots: u32) {
        self.lock().resize(slots);
    }

    /// Returns the calls that run and wait, in percent of those that may run.
    pub(crate) fn load(&self) -> u32 {
        self.lock().load()
    }

    /// Returns the time until a call that arrives now would get a slot.
    pub(crate) fn wait(&self) -> Duration {
        self.lock().expected_wait()
    }

    /// Takes a slot; with `wait`, waits for one as long as there is hope before `deadline`.
    pub(crate) async fn enter(&self, priority: Priority, deadline: Instant, wait: bool) -> Verdict {
        if !wait {
            return match self.lock().enter_now() {
                true => Ok(self.slot()),
                false => Err(Shed::Full),
            };
        }
        let (waiter, verdict) = oneshot::channel();
        let entry = self
            .lock()
            .enter(priority, deadline, waiter, Instant::now());
        let (place, until) = match entry {
            Entry::Run => return Ok(self.slot()),
            Entry::Shed(shed) => return Err(shed),
            Entry::Wait { rank, until, shed } => {
                if let Some(shed) = shed {
                    let _ = shed.send(Err(Shed::Full));
                }
                let admission = self;
                (Place { admission, rank }, until)
            }
        };
        let verdict = timeout_at(until, verdict).await;
        drop(place);
        match verdict {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Err(Shed::Full),
        }
    }

    fn slot(&self) -> Slot {
        Slot {
            admission: self.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue<oneshot::Sender<Verdict>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
