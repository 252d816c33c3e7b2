//! Admission of calls by the upstream's slots.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// Calls that may wait for a slot, for each slot.
const QUEUE_PER_SLOT: usize = 2;

/// Why a call was not admitted.
#[derive(Debug, PartialEq)]
pub(crate) enum Shed {
    /// The queue is full.
    Full,
    /// The deadline passed in the queue.
    Deadline,
}

/// Slots of the upstream beside this daemon.
#[derive(Debug)]
pub(crate) struct Admission {
    slots: Mutex<Slots>,
}

/// The slots and how many there are.
#[derive(Debug)]
struct Slots {
    free: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
    count: u32,
}

impl Slots {
    fn new(count: u32) -> Self {
        Self {
            free: Arc::new(Semaphore::new(count as usize)),
            waiting: Arc::new(Semaphore::new(count as usize * QUEUE_PER_SLOT)),
            count,
        }
    }
}

impl Admission {
    /// Returns an admission without any slot.
    pub(crate) fn new() -> Self {
        Self {
            slots: Mutex::new(Slots::new(0)),
        }
    }

    /// Sets the number of slots. Calls in flight keep the slots they have.
    pub(crate) fn resize(&self, count: u32) {
        let mut slots = self.lock();
        if slots.count != count {
            *slots = Slots::new(count);
        }
    }

    /// Waits for a slot until `deadline`, if the queue has room.
    pub(crate) async fn enter(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Shed> {
        let (free, waiting) = {
            let slots = self.lock();
            (Arc::clone(&slots.free), Arc::clone(&slots.waiting))
        };
        if let Ok(slot) = Arc::clone(&free).try_acquire_owned() {
            return Ok(slot);
        }
        let Ok(_place) = waiting.try_acquire_owned() else {
            return Err(Shed::Full);
        };
        match timeout_at(deadline, free.acquire_owned()).await {
            Ok(Ok(slot)) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(Shed::Deadline),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
