//! Accepts configurations, batching concurrent ones.

use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::future::try_join_all;
use model::{
    AcceptId, Change, CheckpointRef, Config, Digest, Key, MAX_CHANGE_BYTES, OperatorName, State,
    TeamName, UnixMillis, Version, lock,
};
use tokio::sync::oneshot;

use crate::chain::{HeadPointer, Inner};
use crate::link::{self, Link};
use crate::merge::{Merged, differing, merge};
use crate::retry::Backoff;
use crate::swap::SwapOutcome;
use crate::{ChainHead, Error, Ledger, checkpoint};

/// Commit attempts for one set of queued accepts, after which the rest is refused as busy.
const MAX_BATCH_ATTEMPTS: u32 = 256;

/// Capacity of the accept queue of one process; further accepts are refused.
const MAX_PENDING_ACCEPTS: usize = 1_024;

/// Largest number of accepts committed by one swap of the head.
const MAX_BATCH_ACCEPTS: usize = 64;

/// Versions between two checkpoints.
pub(crate) const CHECKPOINT_INTERVAL_VERSIONS: u64 = 256;

/// Largest distance from parent to head at which the changes are checked one by one; beyond it
/// the two whole states are compared.
const MAX_COMPARED_VERSIONS: u64 = 512;

/// A request to accept a configuration.
#[derive(Debug, Clone)]
pub struct Request {
    /// Configuration that replaces all items of its teams.
    pub config: Config,
    /// Id that identifies the accept when it is repeated after a lost response.
    pub accept_id: AcceptId,
    /// Operator who made the request.
    pub operator: OperatorName,
    /// Reason for the audit trail.
    pub reason: String,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Version that contains the configuration.
    pub version: Version,
    /// Items that the version changed; empty if the configuration changed nothing.
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

/// Queue of pending accepts. One task at a time commits them, under `commit_lock`.
///
/// Lock order: `commit_lock` before `pending`. `pending` is never held across an await point.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pending: Mutex<VecDeque<PendingAccept>>,
    commit_lock: tokio::sync::Mutex<()>,
    /// Whether a checkpoint was written since the last removal of old content.
    retention_due: AtomicBool,
}

impl Queue {
    fn pending(&self) -> MutexGuard<'_, VecDeque<PendingAccept>> {
        lock(&self.pending)
    }

    /// Enqueues `accept` unless the queue is full.
    fn push(&self, accept: PendingAccept) -> Result<(), Error> {
        let mut queue = self.pending();
        if queue.len() >= MAX_PENDING_ACCEPTS {
            return Err(Error::Busy(0));
        }
        queue.push_back(accept);
        Ok(())
    }

    fn take(&self) -> Vec<PendingAccept> {
        let mut queue = self.pending();
        let count = queue.len().min(MAX_BATCH_ACCEPTS);
        queue.drain(..count).collect()
    }
}

/// A queued accept and the channel for its result.
#[derive(Debug)]
struct PendingAccept {
    request: Request,
    digest: Digest,
    /// Version that the configuration was made against; if the request names none, the head at the
    /// first attempt.
    parent: Option<Version>,
    reply: oneshot::Sender<Result<Accepted, Error>>,
}

impl PendingAccept {
    fn respond(self, result: Result<Accepted, Error>) {
        // If the receiver is gone, the operator repeats the accept under its id.
        let _ = self.reply.send(result);
    }
}

impl Ledger {
    /// Accepts a configuration as the next version.
    ///
    /// If only items of other teams changed since its parent, the configuration is rebased on the
    /// head, validated as a whole and committed by a compare-and-swap. A configuration that changes
    /// nothing creates no version.
    ///
    /// # Errors
    ///
    /// Every error except [`Error::Unknown`] means that nothing was accepted.
    pub async fn accept(&self, request: &Request) -> Result<Accepted, Error> {
        let (reply, response) = oneshot::channel();
        self.inner.queue.push(PendingAccept {
            request: request.clone(),
            digest: request.config.digest(),
            parent: request.config.parent,
            reply,
        })?;
        let inner = Arc::clone(&self.inner);
        // Runs in a separate task, because the batch may contain other operators' accepts, which
        // must complete even if this caller's connection is lost.
        tokio::spawn(async move {
            inner.commit_pending().await;
            if inner.queue.retention_due.swap(false, Ordering::Relaxed) {
                // After a failure the next checkpoint triggers the removal again.
                let _ = inner.apply_retention().await;
            }
        });
        let unknown = || Error::Unknown(request.accept_id.clone());
        response.await.unwrap_or_else(|_| Err(unknown()))
    }
}

/// A chain of changes on top of the head, committed by one swap.
struct Batch {
    head: Arc<ChainHead>,
    /// Newest version of the batch; the head's while the batch is empty.
    version: Version,
    digest: Digest,
    base: Option<CheckpointRef>,
    state: State,
    teams: BTreeSet<TeamName>,
    changes: Vec<(PendingAccept, Link, Vec<u8>)>,
}

impl Inner {
    /// Commits queued accepts, unless another task has already taken them.
    async fn commit_pending(&self) {
        let _guard = self.queue.commit_lock.lock().await;
        let mut pending = self.queue.take();
        let mut backoff = Backoff::after_conflict();
        for _ in 0..MAX_BATCH_ATTEMPTS {
            if pending.is_empty() {
                return;
            }
            let before = pending.len();
            pending = self.commit_batch(pending).await;
            if pending.len() < before {
                backoff = Backoff::after_conflict();
            } else if !backoff.pause().await {
                break;
            }
        }
        for accept in pending {
            accept.respond(Err(Error::Busy(MAX_BATCH_ATTEMPTS)));
        }
    }

    /// Builds and commits one batch; returns the accepts that need another attempt.
    async fn commit_batch(&self, pending: Vec<PendingAccept>) -> Vec<PendingAccept> {
        let mut batch = match self.open_batch().await {
            Ok(batch) => batch,
            Err(error) => return fail_all(pending, &error),
        };
        let mut later = Vec::new();
        for accept in pending {
            if let Some(accept) = self.add(&mut batch, accept).await {
                later.push(accept);
            }
        }
        if batch.changes.is_empty() {
            return later;
        }
        let mut lost = self.commit(batch).await;
        lost.extend(later);
        lost
    }

    /// Opens a batch on the head, writing a checkpoint first if one is due.
    async fn open_batch(&self) -> Result<Batch, Error> {
        let head = self.head().await?;
        let newest = head.change.as_ref().and_then(|change| change.base);
        let since = newest.map_or(0, |base| base.version.get());
        let mut base = newest;
        if head.version.get() - since >= CHECKPOINT_INTERVAL_VERSIONS {
            base = Some(checkpoint::write(&self.store, &head).await?);
        }
        Ok(Batch {
            version: head.version,
            digest: head.digest,
            base,
            state: head.state.clone(),
            teams: BTreeSet::new(),
            changes: Vec::new(),
            head,
        })
    }

    /// Adds one accept to `batch` or sends its result.
    ///
    /// Returns the accept if its result depends on whether the batch is committed.
    async fn add(&self, batch: &mut Batch, mut accept: PendingAccept) -> Option<PendingAccept> {
        let same_id = |change: &(PendingAccept, Link, Vec<u8>)| {
            change.0.request.accept_id == accept.request.accept_id
        };
        let overlaps = accept
            .request
            .config
            .teams
            .iter()
            .any(|team| batch.teams.contains(team));
        let parent = *accept.parent.get_or_insert(batch.head.version);
        if overlaps || batch.changes.iter().any(same_id) {
            return Some(accept);
        }
        match self
            .find_accept(&batch.head, &accept.request.accept_id)
            .await
        {
            Ok(None) => {}
            Ok(Some(change)) => {
                let result = check_repeated(&change, &accept);
                accept.respond(result);
                return None;
            }
            Err(error) => {
                accept.respond(Err(error));
                return None;
            }
        }
        if let Err(error) = self
            .check_parent(&accept.request.config, &batch.head, parent)
            .await
        {
            accept.respond(Err(error));
            return None;
        }
        match merge(&accept.request.config, &batch.state) {
            Ok(merged) if !merged.entries.is_empty() => batch.push(accept, merged),
            // The result holds only if the batch so far is committed.
            _ if !batch.changes.is_empty() => return Some(accept),
            Ok(_) => accept.respond(Ok(Accepted {
                version: batch.version,
                keys: Vec::new(),
            })),
            Err(error) => accept.respond(Err(error)),
        }
        None
    }

    /// Fails if items of the configuration's teams changed since its parent.
    pub(crate) async fn check_parent(
        &self,
        config: &Config,
        head: &ChainHead,
        parent: Version,
    ) -> Result<(), Error> {
        if parent > head.version {
            return Err(Error::NoVersion(parent));
        }
        let teams = &config.teams;
        let keys = if head.version.get() - parent.get() > MAX_COMPARED_VERSIONS {
            let before = self.state_at(head, parent).await?;
            differing(&before, &head.state, teams)
        } else {
            let links = self.range(parent, head.version, head.digest).await?;
            let overlapping = links
                .iter()
                .filter(|link| link.change.teams.iter().any(|team| teams.contains(team)));
            overlapping
                .flat_map(|link| link.change.entries.iter().map(|entry| entry.key.clone()))
                .collect()
        };
        if keys.is_empty() {
            return Ok(());
        }
        Err(Error::Conflict {
            parent,
            head: head.version,
            keys: keys.into_iter().collect(),
        })
    }

    /// Writes the changes of `batch` and moves the head to the last one.
    ///
    /// Returns the batch's accepts if another process moved the head first.
    async fn commit(&self, batch: Batch) -> Vec<PendingAccept> {
        let parts = batch
            .changes
            .iter()
            .flat_map(|(_, link, bytes)| link::split(link, bytes));
        let puts = parts.map(async |(key, value)| self.store.put_content(&key, value).await);
        let written = try_join_all(puts).await;
        let target = HeadPointer {
            version: batch.version,
            digest: batch.digest,
        };
        let swap = match written {
            Ok(_) => self.move_head(&batch.head, &target).await,
            Err(error) => Err(error.into()),
        };
        match swap {
            Ok(SwapOutcome::Done(revision)) => {
                self.finish(batch, revision);
                Vec::new()
            }
            Ok(SwapOutcome::Lost) => batch.into_pending(),
            Ok(SwapOutcome::Unknown) => {
                for accept in batch.into_pending() {
                    let unknown = Error::Unknown(accept.request.accept_id.clone());
                    accept.respond(Err(unknown));
                }
                Vec::new()
            }
            Err(error) => fail_all(batch.into_pending(), &error),
        }
    }

    /// Caches the changes of a committed batch and sends the results.
    fn finish(&self, batch: Batch, revision: Option<store::Revision>) {
        let first = batch
            .changes
            .first()
            .map(|(_, link, _)| Arc::clone(&link.change));
        let mut last = None;
        for (accept, link, _) in batch.changes {
            self.cache_link(&link);
            accept.respond(Ok(Accepted::of(&link.change)));
            last = Some(link.change);
        }
        if revision.is_some() {
            self.cache_head(&Arc::new(ChainHead {
                version: batch.version,
                digest: batch.digest,
                change: last,
                state: batch.state,
                revision,
            }));
        }
        if first.is_some_and(|first| follows_checkpoint(&first)) {
            self.queue.retention_due.store(true, Ordering::Relaxed);
        }
    }
}

impl Batch {
    /// Appends the change that results from `accept`, or fails `accept` if the change is too large.
    fn push(&mut self, accept: PendingAccept, merged: Merged) {
        let change = Change {
            version: self.version.next(),
            parent: self.digest,
            base: self.base,
            accept_id: accept.request.accept_id.clone(),
            request: accept.digest,
            operator: accept.request.operator.clone(),
            teams: accept.request.config.teams.clone(),
            reason: accept.request.reason.clone(),
            at: UnixMillis::now(),
            entries: merged.entries,
            root: merged.state.root(),
        };
        let (link, bytes) = Link::new(change);
        if bytes.len() > MAX_CHANGE_BYTES {
            accept.respond(Err(Error::TooLarge(bytes.len())));
            return;
        }
        self.version = link.change.version;
        self.digest = link.digest;
        self.state = merged.state;
        self.teams.extend(link.change.teams.iter().cloned());
        self.changes.push((accept, link, bytes));
    }

    fn into_pending(self) -> Vec<PendingAccept> {
        self.changes
            .into_iter()
            .map(|(accept, _, _)| accept)
            .collect()
    }
}

/// Returns whether a checkpoint was written immediately before `change`.
fn follows_checkpoint(change: &Change) -> bool {
    change
        .base
        .is_some_and(|base| base.version.next() == change.version)
}

/// Returns the earlier result for a repeated accept id.
///
/// # Errors
///
/// Fails if the id was used for another configuration.
fn check_repeated(change: &Change, accept: &PendingAccept) -> Result<Accepted, Error> {
    if change.request == accept.digest {
        return Ok(Accepted::of(change));
    }
    Err(Error::Reused {
        accept_id: change.accept_id.clone(),
        version: change.version,
    })
}

/// Fails every accept with `error`, and returns an empty list: none needs another attempt.
fn fail_all(pending: Vec<PendingAccept>, error: &Error) -> Vec<PendingAccept> {
    for accept in pending {
        accept.respond(Err(error.clone()));
    }
    Vec::new()
}
