//! Moves the head by compare-and-swap.

use model::{Digest, Version};
use store::{Expect, Put, Revision};

use crate::chain::{HEAD_KEY, HeadPointer, Inner};
use crate::retry::Backoff;
use crate::{ChainHead, Error};

/// Outcome of a swap of the head.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum SwapOutcome {
    /// The swap took effect; with the new revision of the head key, if known.
    Done(Option<Revision>),
    /// Another process moved the head first; the swap has no effect, now or later.
    Lost,
    /// The store stayed unavailable; the swap may have taken effect.
    Unknown,
}

impl Inner {
    /// Moves the head from `head` to `target`, and resolves the outcome of a lost response.
    ///
    /// The swap contains the revision that it replaces, so repeating it cannot take effect twice.
    /// Once the head has another revision, no delayed copy of the swap can take effect.
    ///
    /// # Errors
    ///
    /// Fails only if the swap certainly had no effect.
    pub(crate) async fn move_head(
        &self,
        head: &ChainHead,
        target: &HeadPointer,
    ) -> Result<SwapOutcome, Error> {
        let expect = head.revision.map_or(Expect::Absent, Expect::At);
        let value = serde_json::to_vec(target).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let mut backoff = Backoff::for_call();
        let mut unresolved = false;
        loop {
            match self.store.swap(HEAD_KEY, &value, expect).await {
                Ok(Put::Done(revision)) => return Ok(SwapOutcome::Done(Some(revision))),
                Ok(Put::Conflict) if !unresolved => return Ok(SwapOutcome::Lost),
                Ok(Put::Conflict) => {
                    if let Ok(swap) = self.resolve_swap(target).await {
                        return Ok(swap);
                    }
                }
                Err(store::Error::Unknown(_)) => unresolved = true,
                Err(store::Error::Limited) => {}
                Err(error) if !unresolved => return Err(error.into()),
                Err(_) => {}
            }
            if !backoff.pause().await {
                return match unresolved {
                    true => Ok(SwapOutcome::Unknown),
                    false => Err(store::Error::Limited.into()),
                };
            }
        }
    }

    /// Determines from the chain whether an earlier copy of the swap moved the head.
    async fn resolve_swap(&self, target: &HeadPointer) -> Result<SwapOutcome, Error> {
        let head = self.head().await?;
        let low = Version::new(target.version.get() - 1);
        let links = self.range(low, head.version, head.digest).await?;
        let found: Option<Digest> = links.first().map(|link| link.digest);
        if found != Some(target.digest) {
            return Ok(SwapOutcome::Lost);
        }
        let is_head = head.digest == target.digest;
        Ok(SwapOutcome::Done(head.revision.filter(|_| is_head)))
    }
}
