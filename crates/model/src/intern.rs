//! Interning of names that occur many times.

use std::collections::HashSet;
use std::sync::{Arc, LazyLock, Mutex, PoisonError};

/// Capacity of the table. At the limit it is cleared; names in use keep their text.
const MAX_TEXTS: usize = 8_192;

/// Table of interned texts. A daemon holds thousands of records that share a few regions, failure
/// domains and services.
static TEXTS: LazyLock<Mutex<HashSet<Arc<str>>>> = LazyLock::new(Mutex::default);

/// Returns the shared copy of `text`.
pub(crate) fn intern(text: &str) -> Arc<str> {
    let mut texts = TEXTS.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(shared) = texts.get(text) {
        return Arc::clone(shared);
    }
    if texts.len() >= MAX_TEXTS {
        texts.clear();
    }
    let shared: Arc<str> = text.into();
    texts.insert(Arc::clone(&shared));
    shared
}
