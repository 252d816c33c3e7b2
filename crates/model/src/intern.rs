//! Shares the text of names that occur in many places.

use std::collections::HashSet;
use std::sync::{Arc, LazyLock, Mutex, PoisonError};

/// Texts that are shared at most. At the limit all are forgotten; names in use stay as they are.
const MAX_TEXTS: usize = 8_192;

/// Texts in use. A daemon holds thousands of records of a few regions, domains and services.
static TEXTS: LazyLock<Mutex<HashSet<Arc<str>>>> = LazyLock::new(Mutex::default);

/// Returns `text`, shared with every other name of the same text.
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
