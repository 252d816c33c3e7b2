//! Removing what is kept no longer.
//!
//! Whoever wrote a checkpoint removes, without a lease: the limits follow from the head, which only
//! grows, so a process that was paused removes at most what is past its limit anyway.

use std::collections::HashSet;
use std::time::Duration;

use model::{Base, Change, Digest, Version};
use store::Entry;
use tokio::time::sleep;

use crate::accept::CHECKPOINT_INTERVAL;
use crate::chain::Inner;
use crate::{Error, Tip, checkpoint, link};

/// Newest checkpoints that are all kept.
const RECENT_CHECKPOINTS: usize = 8;

/// Of older checkpoints one is kept in so many versions.
const SPARSE_INTERVAL: u64 = 32 * CHECKPOINT_INTERVAL;

/// Changes looked at in one page.
const PAGE: u32 = 256;

/// Pages of old changes that one removal looks at.
const MAX_PAGES: u32 = 4;

/// Pause after each deletion, so that removal stays far below the store's rate of writes.
const DELETE_PAUSE: Duration = Duration::from_millis(20);

/// How much of the audit trail is kept.
#[derive(Debug, Clone, Copy)]
pub struct Retention {
    /// Newest versions that are kept.
    pub versions: u64,
}

impl Default for Retention {
    /// Keeps a week at 43,000 changes a day.
    fn default() -> Self {
        Self { versions: 301_000 }
    }
}

impl Inner {
    /// Removes what the newest checkpoint made superfluous.
    ///
    /// # Errors
    ///
    /// Fails if the store does; the next removal goes on where this one stopped.
    pub(crate) async fn retain(&self) -> Result<(), Error> {
        let tip = self.tip().await?;
        let bases = self.bases(&tip).await?;
        self.remove_lost(&bases).await?;
        self.remove_checkpoint(&bases).await?;
        self.remove_old(&tip).await
    }

    /// Returns the newest checkpoints, newest first, up to two after the recent ones.
    async fn bases(&self, tip: &Tip) -> Result<Vec<Base>, Error> {
        let mut bases = Vec::new();
        let mut next = tip.change.as_ref().and_then(|change| change.base);
        while let Some(base) = next.filter(|_| bases.len() < RECENT_CHECKPOINTS + 2) {
            bases.push(base);
            next = match self.read(base.version, base.digest).await {
                Err(Error::Damaged(_)) => None,
                result => result?.change.base,
            };
        }
        Ok(bases)
    }

    /// Removes changes whose swap was lost, between the two newest checkpoints.
    ///
    /// The head is past these versions, so none of them can come into force any more.
    async fn remove_lost(&self, bases: &[Base]) -> Result<(), Error> {
        let Some(high) = bases.first() else {
            return Ok(());
        };
        let low = bases.get(1).map_or(Version::default(), |base| base.version);
        let links = self.range(low, high.version, high.digest).await?;
        let chain: HashSet<Digest> = links.iter().map(|link| link.digest).collect();
        let mut after = link::key_after(low);
        loop {
            let page = self.calls.list(link::PREFIX, &after, PAGE).await?;
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

    /// Removes the checkpoint that is recent no longer, unless it is the first of its interval.
    async fn remove_checkpoint(&self, bases: &[Base]) -> Result<(), Error> {
        let [.., base, older] = bases else {
            return Ok(());
        };
        let interval = |base: &Base| base.version.get() / SPARSE_INTERVAL;
        if bases.len() < RECENT_CHECKPOINTS + 2 || interval(base) != interval(older) {
            return Ok(());
        }
        Ok(checkpoint::delete(&self.calls, *base).await?)
    }

    /// Removes changes that are past the retention, and the checkpoints that they introduced.
    async fn remove_old(&self, tip: &Tip) -> Result<(), Error> {
        let floor = tip.version.get().saturating_sub(self.retention.versions);
        for _ in 0..MAX_PAGES {
            let page = self.calls.list(link::PREFIX, "", PAGE).await?;
            if page.is_empty() {
                return Ok(());
            }
            for entry in page {
                let version = link::parse_key(&entry.key).map(|(version, _)| version);
                if version.is_none_or(|version| version.get() > floor) {
                    return Ok(());
                }
                if let Some(base) = introduced(&entry) {
                    checkpoint::delete(&self.calls, base).await?;
                }
                self.remove(&entry.key).await?;
            }
        }
        Ok(())
    }

    async fn remove(&self, key: &str) -> Result<(), Error> {
        self.calls.delete_content(key).await?;
        sleep(DELETE_PAUSE).await;
        Ok(())
    }
}

/// Returns the checkpoint that was written for the change in `entry`.
fn introduced(entry: &Entry) -> Option<Base> {
    let change = Change::from_bytes(&entry.value).ok()?;
    let base = change.base?;
    (base.version.next() == change.version).then_some(base)
}
