//! Checking a configuration without accepting it.

use model::{Config, Key, State};

use crate::plan::plan;
use crate::{Error, Ledger};

/// Checks `config` as an accept on top of `state` would, and returns the items it would change.
///
/// # Errors
///
/// Fails with every problem, each at its place in the file.
pub fn check(config: &Config, state: &State) -> Result<Vec<Key>, Error> {
    let plan = plan(config, state)?;
    Ok(plan.entries.into_iter().map(|entry| entry.key).collect())
}

impl Ledger {
    /// Checks `config` against the newest version as an accept would, without accepting it, and
    /// returns the items it would change.
    ///
    /// # Errors
    ///
    /// Fails as [`Ledger::accept`] would, or if the store cannot be read.
    pub async fn check(&self, config: &Config) -> Result<Vec<Key>, Error> {
        let tip = self.tip().await?;
        let parent = config.parent.unwrap_or(tip.version);
        self.inner.check_parent(config, &tip, parent).await?;
        check(config, &tip.state)
    }
}
