//! Moving the head.

use model::{Digest, Version};
use store::{Expect, Put, Revision};

use crate::calls::Backoff;
use crate::chain::{HEAD_KEY, Head, Inner};
use crate::{Error, Tip};

/// What became of a swap of the head.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Swap {
    /// The head moved as asked; its revision where the answer told it.
    Done(Option<Revision>),
    /// The head had moved elsewhere before; the swap has no effect, now or later.
    Lost,
    /// The store did not come back to tell.
    Unknown,
}

impl Inner {
    /// Moves the head from `tip` to `head` by compare-and-swap, and settles a lost answer.
    ///
    /// The swap names the revision that it replaces, so repeating it cannot take effect twice, and
    /// once the head has another revision no earlier copy of it can take effect any more.
    ///
    /// # Errors
    ///
    /// Fails only if the swap surely had no effect.
    pub(crate) async fn move_head(&self, tip: &Tip, head: &Head) -> Result<Swap, Error> {
        let expect = tip.revision.map_or(Expect::Absent, Expect::At);
        let value = serde_json::to_vec(head).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let mut backoff = Backoff::start();
        let mut unsettled = false;
        loop {
            match self.calls.swap(HEAD_KEY, &value, expect).await {
                Ok(Put::Done(revision)) => return Ok(Swap::Done(Some(revision))),
                Ok(Put::Conflict) if !unsettled => return Ok(Swap::Lost),
                Ok(Put::Conflict) => {
                    if let Ok(swap) = self.settle_swap(head).await {
                        return Ok(swap);
                    }
                }
                Err(store::Error::Unknown(_)) => unsettled = true,
                Err(store::Error::Limited) => {}
                Err(error) if !unsettled => return Err(error.into()),
                Err(_) => {}
            }
            if !backoff.pause().await {
                return match unsettled {
                    true => Ok(Swap::Unknown),
                    false => Err(store::Error::Limited.into()),
                };
            }
        }
    }

    /// Tells from the chain whether an earlier copy of the swap moved the head.
    async fn settle_swap(&self, head: &Head) -> Result<Swap, Error> {
        let tip = self.tip().await?;
        let low = Version::new(head.version.get() - 1);
        let links = self.range(low, tip.version, tip.digest).await?;
        let found: Option<Digest> = links.first().map(|link| link.digest);
        if found != Some(head.digest) {
            return Ok(Swap::Lost);
        }
        let own = tip.digest == head.digest;
        Ok(Swap::Done(tip.revision.filter(|_| own)))
    }
}
