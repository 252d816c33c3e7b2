//! Secrets that must not appear in logs, responses or errors.

use std::fmt;

use serde::Deserialize;

/// A shared secret. Comparison takes constant time, and debug output is `***`.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for code that must send it.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns whether `text` equals the secret, in time independent of where they differ.
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
