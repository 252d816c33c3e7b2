//! Secrets that never reach a log, a page or an error.

use std::fmt;

use serde::Deserialize;

/// A shared secret. Compares in constant time and prints as `***`.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for the place that sends it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` is the secret, in time that does not depend on where they differ.
    pub fn matches(&self, text: &[u8]) -> bool {
        // `blake3::Hash` compares in constant time.
        blake3::hash(self.0.as_bytes()) == blake3::hash(text)
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}
