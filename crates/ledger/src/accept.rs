//! Accepting configurations, several at once.

use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::future::try_join_all;
use model::{
    AcceptId, Base, Change, Config, Digest, Key, MAX_CHANGE_BYTES, OperatorName, State, TeamName,
    UnixMillis, Version, lock,
};
use tokio::sync::oneshot;

use crate::calls::Backoff;
use crate::chain::{Head, Inner};
use crate::link::{self, Link};
use crate::plan::{Plan, differing, plan};
use crate::swap::Swap;
use crate::{Error, Ledger, Tip, checkpoint};

/// Times an accept is made anew because the head moved.
const MAX_ROUNDS: u32 = 256;

/// Accepts that wait in one process; further ones are refused.
const MAX_WAITING: usize = 1_024;

/// Accepts that one swap moves the head over.
const MAX_BATCH: usize = 64;

/// Changes between two checkpoints.
pub(crate) const CHECKPOINT_INTERVAL: u64 = 256;

/// Versions back from the head to which a parent's changes are compared one by one.
const MAX_COMPARED: u64 = 512;

/// What an operator asks to accept.
#[derive(Debug, Clone)]
pub struct Request {
    /// Configuration that replaces the parts of its teams.
    pub config: Config,
    /// Id by which the accept is settled if its answer is lost.
    pub accept_id: AcceptId,
    /// Operator who asks.
    pub operator: OperatorName,
    /// Reason for the audit trail.
    pub reason: String,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Version that holds it.
    pub version: Version,
    /// Items that the version changed; empty when nothing differed.
    pub keys: Vec<Key>,
}

impl Accepted {
    fn of(change: &Change) -> Self {
        let keys = change.entries.iter().map(|entry| entry.key.clone());
        Self {
            version: change.version,
            keys: keys.collect(),
        }
    }
}

/// Accepts that wait, and the lock under which one task at a time makes versions of them.
///
/// `turn` is taken before `waiting`, which is never held over a call.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: Mutex<VecDeque<Waiting>>,
    turn: tokio::sync::Mutex<()>,
    /// Whether a checkpoint was written and old content is to be removed.
    retain: AtomicBool,
}

impl Queue {
    fn waiting(&self) -> MutexGuard<'_, VecDeque<Waiting>> {
        lock(&self.waiting)
    }

    /// Adds `waiting` unless the queue is full.
    fn push(&self, waiting: Waiting) -> Result<(), Error> {
        let mut queue = self.waiting();
        if queue.len() >= MAX_WAITING {
            return Err(Error::Busy(0));
        }
        queue.push_back(waiting);
        Ok(())
    }

    fn take(&self) -> Vec<Waiting> {
        let mut queue = self.waiting();
        let count = queue.len().min(MAX_BATCH);
        queue.drain(..count).collect()
    }
}

/// An accept that waits for its answer.
#[derive(Debug)]
struct Waiting {
    request: Request,
    digest: Digest,
    /// Version that the configuration was made against, once known.
    parent: Option<Version>,
    answer: oneshot::Sender<Result<Accepted, Error>>,
}

impl Waiting {
    fn answer(self, result: Result<Accepted, Error>) {
        // An operator who no longer waits settles by the accept id.
        let _ = self.answer.send(result);
    }
}

impl Ledger {
    /// Accepts a configuration as the next version.
    ///
    /// When only other teams' parts changed since its parent it is made anew on the head,
    /// validated as a whole and swapped in. A configuration that changes nothing makes no version.
    ///
    /// # Errors
    ///
    /// Every kind but [`Error::Unknown`] means that nothing was accepted.
    pub async fn accept(&self, request: &Request) -> Result<Accepted, Error> {
        let (answer, answered) = oneshot::channel();
        self.inner.queue.push(Waiting {
            request: request.clone(),
            digest: request.config.digest(),
            parent: request.config.parent,
            answer,
        })?;
        let inner = Arc::clone(&self.inner);
        // A task of its own, as others' accepts go on when this operator's connection is lost.
        tokio::spawn(async move {
            inner.drain().await;
            if inner.queue.retain.swap(false, Ordering::Relaxed) {
                // What is not removed now is removed after the next checkpoint.
                let _ = inner.retain().await;
            }
        });
        let unknown = || Error::Unknown(request.accept_id.clone());
        answered.await.unwrap_or_else(|_| Err(unknown()))
    }
}

/// Changes that one swap moves the head over.
struct Batch {
    tip: Arc<Tip>,
    /// Newest version of the batch, or the tip.
    version: Version,
    digest: Digest,
    base: Option<Base>,
    state: State,
    teams: BTreeSet<TeamName>,
    changes: Vec<(Waiting, Link, Vec<u8>)>,
}

impl Inner {
    /// Makes versions of the accepts that wait, unless an earlier task did.
    async fn drain(&self) {
        let _turn = self.queue.turn.lock().await;
        let mut waiting = self.queue.take();
        let mut backoff = Backoff::after_loss();
        for _ in 0..MAX_ROUNDS {
            if waiting.is_empty() {
                return;
            }
            let before = waiting.len();
            waiting = self.round(waiting).await;
            if waiting.len() < before {
                backoff = Backoff::after_loss();
            } else if !backoff.pause().await {
                break;
            }
        }
        for one in waiting {
            one.answer(Err(Error::Busy(MAX_ROUNDS)));
        }
    }

    /// Makes one batch and moves the head to it; returns the accepts that have no answer yet.
    async fn round(&self, waiting: Vec<Waiting>) -> Vec<Waiting> {
        let mut batch = match self.open_batch().await {
            Ok(batch) => batch,
            Err(error) => return refuse(waiting, &error),
        };
        let mut later = Vec::new();
        for one in waiting {
            if let Some(one) = self.add(&mut batch, one).await {
                later.push(one);
            }
        }
        if batch.changes.is_empty() {
            return later;
        }
        let mut lost = self.commit(batch).await;
        lost.extend(later);
        lost
    }

    /// Starts a batch on the head, and writes a due checkpoint.
    async fn open_batch(&self) -> Result<Batch, Error> {
        let tip = self.tip().await?;
        let newest = tip.change.as_ref().and_then(|change| change.base);
        let since = newest.map_or(0, |base| base.version.get());
        let mut base = newest;
        if tip.version.get() - since >= CHECKPOINT_INTERVAL {
            base = Some(checkpoint::write(&self.calls, &tip).await?);
        }
        Ok(Batch {
            version: tip.version,
            digest: tip.digest,
            base,
            state: tip.state.clone(),
            teams: BTreeSet::new(),
            changes: Vec::new(),
            tip,
        })
    }

    /// Adds one accept to `batch` or answers it.
    ///
    /// Returns the accept if its answer depends on whether the batch is accepted.
    async fn add(&self, batch: &mut Batch, mut one: Waiting) -> Option<Waiting> {
        let twice =
            |change: &(Waiting, Link, Vec<u8>)| change.0.request.accept_id == one.request.accept_id;
        let overlaps = one
            .request
            .config
            .teams
            .iter()
            .any(|team| batch.teams.contains(team));
        let parent = *one.parent.get_or_insert(batch.tip.version);
        if overlaps || batch.changes.iter().any(twice) {
            return Some(one);
        }
        match self.settle(&batch.tip, &one.request.accept_id).await {
            Ok(None) => {}
            Ok(Some(change)) => {
                let result = check_same(&change, &one);
                one.answer(result);
                return None;
            }
            Err(error) => {
                one.answer(Err(error));
                return None;
            }
        }
        if let Err(error) = self
            .check_parent(&one.request.config, &batch.tip, parent)
            .await
        {
            one.answer(Err(error));
            return None;
        }
        match plan(&one.request.config, &batch.state) {
            Ok(planned) if !planned.entries.is_empty() => batch.push(one, planned),
            // The answer stands only if the batch before it is accepted.
            _ if !batch.changes.is_empty() => return Some(one),
            Ok(_) => one.answer(Ok(Accepted {
                version: batch.version,
                keys: Vec::new(),
            })),
            Err(error) => one.answer(Err(error)),
        }
        None
    }

    /// Refuses a configuration whose own parts changed since its parent.
    pub(crate) async fn check_parent(
        &self,
        config: &Config,
        tip: &Tip,
        parent: Version,
    ) -> Result<(), Error> {
        if parent > tip.version {
            return Err(Error::NoVersion(parent));
        }
        let teams = &config.teams;
        let keys = if tip.version.get() - parent.get() > MAX_COMPARED {
            let before = self.state_at(tip, parent).await?;
            differing(&before, &tip.state, teams)
        } else {
            let links = self.range(parent, tip.version, tip.digest).await?;
            let own = links
                .iter()
                .filter(|link| link.change.teams.iter().any(|team| teams.contains(team)));
            own.flat_map(|link| link.change.entries.iter().map(|entry| entry.key.clone()))
                .collect()
        };
        if keys.is_empty() {
            return Ok(());
        }
        Err(Error::Conflict {
            parent,
            head: tip.version,
            keys: keys.into_iter().collect(),
        })
    }

    /// Writes the changes of `batch` and moves the head to the last one.
    ///
    /// Returns its accepts if another process moved the head meanwhile.
    async fn commit(&self, batch: Batch) -> Vec<Waiting> {
        let parts = batch
            .changes
            .iter()
            .flat_map(|(_, link, bytes)| link::split(link, bytes));
        let puts = parts.map(async |(key, value)| self.calls.put_content(&key, value).await);
        let written = try_join_all(puts).await;
        let head = Head {
            version: batch.version,
            digest: batch.digest,
        };
        let swap = match written {
            Ok(_) => self.move_head(&batch.tip, &head).await,
            Err(error) => Err(error.into()),
        };
        match swap {
            Ok(Swap::Done(revision)) => {
                self.finish(batch, revision);
                Vec::new()
            }
            Ok(Swap::Lost) => batch.into_waiting(),
            Ok(Swap::Unknown) => {
                for one in batch.into_waiting() {
                    let unknown = Error::Unknown(one.request.accept_id.clone());
                    one.answer(Err(unknown));
                }
                Vec::new()
            }
            Err(error) => refuse(batch.into_waiting(), &error),
        }
    }

    /// Keeps and answers what a batch made.
    fn finish(&self, batch: Batch, revision: Option<store::Revision>) {
        let first = batch
            .changes
            .first()
            .map(|(_, link, _)| Arc::clone(&link.change));
        let mut last = None;
        for (one, link, _) in batch.changes {
            self.keep_link(&link);
            one.answer(Ok(Accepted::of(&link.change)));
            last = Some(link.change);
        }
        if revision.is_some() {
            self.keep(&Arc::new(Tip {
                version: batch.version,
                digest: batch.digest,
                change: last,
                state: batch.state,
                revision,
            }));
        }
        if first.is_some_and(|first| names_new_checkpoint(&first)) {
            self.queue.retain.store(true, Ordering::Relaxed);
        }
    }
}

impl Batch {
    /// Adds the change that `plan` makes of `one`.
    fn push(&mut self, one: Waiting, plan: Plan) {
        let change = Change {
            version: self.version.next(),
            parent: self.digest,
            base: self.base,
            accept_id: one.request.accept_id.clone(),
            request: one.digest,
            operator: one.request.operator.clone(),
            teams: one.request.config.teams.clone(),
            reason: one.request.reason.clone(),
            at: UnixMillis::now(),
            entries: plan.entries,
            root: plan.state.root(),
        };
        let (link, bytes) = Link::new(change);
        if bytes.len() > MAX_CHANGE_BYTES {
            one.answer(Err(Error::TooLarge(bytes.len())));
            return;
        }
        self.version = link.change.version;
        self.digest = link.digest;
        self.state = plan.state;
        self.teams.extend(link.change.teams.iter().cloned());
        self.changes.push((one, link, bytes));
    }

    fn into_waiting(self) -> Vec<Waiting> {
        self.changes.into_iter().map(|(one, _, _)| one).collect()
    }
}

/// Returns whether a checkpoint was written for `change`.
fn names_new_checkpoint(change: &Change) -> bool {
    change
        .base
        .is_some_and(|base| base.version.next() == change.version)
}

/// Returns what was accepted under an id before, if it was the same configuration.
fn check_same(change: &Change, one: &Waiting) -> Result<Accepted, Error> {
    if change.request == one.digest {
        return Ok(Accepted::of(change));
    }
    Err(Error::Reused {
        accept_id: change.accept_id.clone(),
        version: change.version,
    })
}

/// Answers all with an error that means that nothing was accepted.
fn refuse(waiting: Vec<Waiting>, error: &Error) -> Vec<Waiting> {
    for one in waiting {
        one.answer(Err(error.clone()));
    }
    Vec::new()
}
