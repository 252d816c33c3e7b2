//! Removal of old changes and checkpoints.
//!
//! The process that wrote a checkpoint runs the removal, without a lease. The limits are computed
//! from the head, which only grows, so a process with an outdated head removes only content that is
//! past the current limits too.

use std::collections::HashSet;
use std::time::Duration;

use model::{Change, CheckpointRef, Digest, Version};
use store::Entry;
use tokio::time::sleep;

use crate::accept::CHECKPOINT_INTERVAL_VERSIONS;
use crate::chain::Inner;
use crate::{ChainHead, Error, checkpoint, link};

/// Number of newest checkpoints that are all kept.
const RECENT_CHECKPOINTS: usize = 8;

/// Interval of versions in which one older checkpoint is kept: the first.
const SPARSE_INTERVAL_VERSIONS: u64 = 32 * CHECKPOINT_INTERVAL_VERSIONS;

/// Store entries read in one page.
const PAGE_ENTRIES: u32 = 256;

/// Pages of old changes that one removal processes.
const MAX_PAGES: u32 = 4;

/// Pause after each deletion, which keeps removal far below the store's write rate limit.
const DELETE_INTERVAL: Duration = Duration::from_millis(20);

/// How much of the audit trail is kept.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// Number of newest versions that are kept.
    pub versions: u64,
}

impl Default for Retention {
    /// Keeps one week of changes at 43,000 changes a day.
    fn default() -> Self {
        Self { versions: 301_000 }
    }
}

impl Inner {
    /// Removes content that the newest checkpoint made obsolete.
    ///
    /// # Errors
    ///
    /// Fails if the store does; the next removal continues where this one stopped.
    pub(crate) async fn apply_retention(&self) -> Result<(), Error> {
        let head = self.head().await?;
        let bases = self.newest_checkpoints(&head).await?;
        self.remove_orphans(&bases).await?;
        self.thin_checkpoints(&bases).await?;
        self.remove_old(&head).await
    }

    /// Returns up to [`RECENT_CHECKPOINTS`] + 2 checkpoints, newest first.
    async fn newest_checkpoints(&self, head: &ChainHead) -> Result<Vec<CheckpointRef>, Error> {
        let mut bases = Vec::new();
        let mut next = head.change.as_ref().and_then(|change| change.base);
        while let Some(base) = next.filter(|_| bases.len() < RECENT_CHECKPOINTS + 2) {
            bases.push(base);
            next = match self.read(base.version, base.digest).await {
                Err(Error::Damaged(_)) => None,
                result => result?.change.base,
            };
        }
        Ok(bases)
    }

    /// Removes changes between the two newest checkpoints that never became part of the chain,
    /// because their swap was lost.
    ///
    /// The head is past these versions, so none of them can be committed any more.
    async fn remove_orphans(&self, bases: &[CheckpointRef]) -> Result<(), Error> {
        let Some(high) = bases.first() else {
            return Ok(());
        };
        let low = bases.get(1).map_or(Version::default(), |base| base.version);
        let links = self.range(low, high.version, high.digest).await?;
        let chain: HashSet<Digest> = links.iter().map(|link| link.digest).collect();
        let mut after = link::key_after(low);
        loop {
            let page = self.store.list(link::PREFIX, &after, PAGE_ENTRIES).await?;
            let Some(last) = page.last() else {
                return Ok(());
            };
            after.clone_from(&last.key);
            for entry in page {
                match link::parse_key(&entry.key) {
                    Some((version, _)) if version > high.version => return Ok(()),
                    Some((_, digest)) if !chain.contains(&digest) => {
                        self.remove(&entry.key).await?;
                    }
                    _ => {}
                }
            }
        }
    }

    /// Removes the newest checkpoint past the recent ones, unless it is the first of its interval.
    async fn thin_checkpoints(&self, bases: &[CheckpointRef]) -> Result<(), Error> {
        let [.., base, older] = bases else {
            return Ok(());
        };
        let interval = |base: &CheckpointRef| base.version.get() / SPARSE_INTERVAL_VERSIONS;
        if bases.len() < RECENT_CHECKPOINTS + 2 || interval(base) != interval(older) {
            return Ok(());
        }
        Ok(checkpoint::delete(&self.store, *base).await?)
    }

    /// Removes changes past the retention, and the checkpoints written immediately before them.
    async fn remove_old(&self, head: &ChainHead) -> Result<(), Error> {
        let floor = head.version.get().saturating_sub(self.retention.versions);
        for _ in 0..MAX_PAGES {
            let page = self.store.list(link::PREFIX, "", PAGE_ENTRIES).await?;
            if page.is_empty() {
                return Ok(());
            }
            for entry in page {
                let version = link::parse_key(&entry.key).map(|(version, _)| version);
                if version.is_none_or(|version| version.get() > floor) {
                    return Ok(());
                }
                if let Some(base) = checkpoint_before(&entry) {
                    checkpoint::delete(&self.store, base).await?;
                }
                self.remove(&entry.key).await?;
            }
        }
        Ok(())
    }

    async fn remove(&self, key: &str) -> Result<(), Error> {
        self.store.delete_content(key).await?;
        sleep(DELETE_INTERVAL).await;
        Ok(())
    }
}

/// Returns the checkpoint that was written immediately before the change in `entry`.
fn checkpoint_before(entry: &Entry) -> Option<CheckpointRef> {
    let change = Change::from_bytes(&entry.value).ok()?;
    let base = change.base?;
    (base.version.next() == change.version).then_some(base)
}
