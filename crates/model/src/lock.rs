//! Locks whose content stays valid when a holder panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes the lock of `mutex`.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
