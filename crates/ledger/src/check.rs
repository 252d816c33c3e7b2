//! Checks a configuration without accepting it.

use model::{Config, Key, State};

use crate::merge::merge;
use crate::{Error, Ledger};

/// Checks `config` as an accept on top of `state` would, and returns the keys it would change.
///
/// # Errors
///
/// Fails with every problem and its place in the file.
pub fn check(config: &Config, state: &State) -> Result<Vec<Key>, Error> {
    let merged = merge(config, state)?;
    Ok(merged.entries.into_iter().map(|entry| entry.key).collect())
}

impl Ledger {
    /// Checks `config` against the newest version as an accept would, and returns the keys it would
    /// change.
    ///
    /// # Errors
    ///
    /// Fails if [`Ledger::accept`] would, or if the store cannot be read.
    pub async fn check(&self, config: &Config) -> Result<Vec<Key>, Error> {
        let head = self.head().await?;
        let parent = config.parent.unwrap_or(head.version);
        self.inner.check_parent(config, &head, parent).await?;
        check(config, &head.state)
    }
}
