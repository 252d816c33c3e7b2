//! Accepting a configuration.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use model::{
    AcceptId, Base, Change, Config, Digest, Entry, Key, MAX_CHANGE_BYTES, OperatorName, Piece,
    Places, Problem, Problems, State, TeamName, UnixMillis, Version, validate,
};
use store::{Expect, Put};
use tokio::time::{Instant, sleep};

use crate::chain::{HEAD_KEY, Head, change_key};
use crate::{Error, Ledger, Tip, checkpoint};

/// Times an accept is made anew because another operator moved the head.
const MAX_ROUNDS: u32 = 256;

/// Changes between two checkpoints.
const CHECKPOINT_INTERVAL: u64 = 64;

/// Longest wait for a store that lost an answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between tries to settle a lost answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

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
        Self {
            version: change.version,
            keys: change
                .entries
                .iter()
                .map(|entry| entry.key.clone())
                .collect(),
        }
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
        let mut tip = self.tip().await?;
        if let Some(change) = self.settle(&request.accept_id).await? {
            return Ok(Accepted::of(&change));
        }
        let parent = request.config.parent.unwrap_or(tip.version);
        for _ in 0..MAX_ROUNDS {
            self.check_parent(&request.config, &tip, parent).await?;
            let (entries, state) = plan(&request.config, &tip.state)?;
            if entries.is_empty() {
                return Ok(Accepted {
                    version: tip.version,
                    keys: Vec::new(),
                });
            }
            let change = Change {
                version: tip.version.next(),
                parent: tip.digest,
                base: self.base(&tip).await?,
                accept_id: request.accept_id.clone(),
                operator: request.operator.clone(),
                teams: request.config.teams.clone(),
                reason: request.reason.clone(),
                at: UnixMillis::now(),
                entries,
                root: state.root(),
            };
            if let Some(accepted) = self.swap(&tip, change, state).await? {
                return Ok(accepted);
            }
            tip = self.tip().await?;
        }
        Err(Error::Busy(MAX_ROUNDS))
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
        let mut keys = BTreeSet::new();
        for change in self.since(tip, parent).await? {
            if change.teams.iter().any(|team| config.teams.contains(team)) {
                keys.extend(change.entries.iter().map(|entry| entry.key.clone()));
            }
        }
        if keys.is_empty() {
            return Ok(());
        }
        Err(Error::Conflict {
            parent,
            head: tip.version,
            keys: keys.into_iter().collect(),
        })
    }

    /// Returns the checkpoint to name in the change after `tip`, and writes a due one.
    async fn base(&self, tip: &Tip) -> Result<Option<Base>, Error> {
        let newest = tip.change.as_ref().and_then(|change| change.base);
        let since = newest.map_or(0, |base| base.version.get());
        if tip.version.get() - since < CHECKPOINT_INTERVAL {
            return Ok(newest);
        }
        let base = checkpoint::write(&*self.store, tip.version, &tip.state).await?;
        Ok(Some(base))
    }

    /// Writes `change` and moves the head to it; returns `None` if the head moved meanwhile.
    async fn swap(
        &self,
        tip: &Tip,
        change: Change,
        state: State,
    ) -> Result<Option<Accepted>, Error> {
        let bytes = change.to_bytes();
        if bytes.len() > MAX_CHANGE_BYTES {
            return Err(Error::Store(store::Error::TooLarge(bytes.len())));
        }
        let digest = Digest::of(&bytes);
        self.store
            .put(&change_key(digest), bytes, Expect::Any, None)
            .await?;
        let head = Head {
            version: change.version,
            digest,
        };
        match self.move_head(tip, &head, &change.accept_id).await? {
            Put::Done(revision) => {
                let accepted = Accepted::of(&change);
                self.keep(&Arc::new(Tip {
                    version: change.version,
                    digest,
                    change: Some(Arc::new(change)),
                    state,
                    revision: Some(revision),
                }));
                Ok(Some(accepted))
            }
            Put::Conflict => Ok(None),
        }
    }

    /// Moves the head by compare-and-swap, and settles a lost answer.
    ///
    /// The swap names the revision that it replaces, so repeating it cannot take effect twice, and
    /// once the head has another revision no earlier copy of it can take effect any more.
    async fn move_head(&self, tip: &Tip, head: &Head, accept_id: &AcceptId) -> Result<Put, Error> {
        let expect = tip.revision.map_or(Expect::Absent, Expect::At);
        let value = serde_json::to_vec(head).map_err(|_| Error::Damaged(HEAD_KEY.into()))?;
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut unsettled = false;
        loop {
            match self.store.put(HEAD_KEY, value.clone(), expect, None).await {
                Ok(Put::Conflict) if unsettled => {
                    return self.settle_conflict(head, accept_id).await;
                }
                Ok(put) => return Ok(put),
                Err(store::Error::Unknown(_)) => unsettled = true,
                Err(error) if !unsettled => return Err(error.into()),
                Err(_) => {}
            }
            if Instant::now() >= deadline {
                return Err(Error::Unknown(accept_id.clone()));
            }
            sleep(SETTLE_PAUSE).await;
        }
    }

    /// Tells whether an earlier copy of the swap moved the head before another one found it moved.
    async fn settle_conflict(&self, head: &Head, accept_id: &AcceptId) -> Result<Put, Error> {
        let unknown = |_| Error::Unknown(accept_id.clone());
        let tip = self.tip().await.map_err(unknown)?;
        let changes = self.since(&tip, Version::new(head.version.get() - 1)).await;
        let first = changes.map_err(unknown)?.into_iter().next();
        let digest = first.map(|change| Digest::of(&change.to_bytes()));
        match (digest, tip.revision) {
            (Some(digest), Some(revision)) if digest == head.digest => Ok(Put::Done(revision)),
            _ => Ok(Put::Conflict),
        }
    }
}

/// Returns what `config` changes in `state`, and the state after it.
pub(crate) fn plan(config: &Config, state: &State) -> Result<(Vec<Entry>, State), Error> {
    let mut problems = Vec::new();
    let mut next = state.clone();
    let mut entries = Vec::new();
    let mut kept = BTreeSet::new();
    for item in config.items() {
        let key = item.key();
        if let Some(problem) = check_owner(config, state, &key, item.team()) {
            problems.push(problem);
            continue;
        }
        if !kept.insert(key.clone()) {
            problems.push(Problem::new(
                key.to_string(),
                "the name is used twice",
                "rename one of the two",
            ));
            continue;
        }
        let piece = Arc::new(Piece::new(item));
        if state.get(&key).is_none_or(|old| old.digest != piece.digest) {
            entries.push(Entry {
                key: key.clone(),
                item: Some(piece.item.clone()),
            });
            next.set(&key, Some(piece));
        }
    }
    for (key, piece) in state.pieces() {
        if config.teams.contains(piece.item.team()) && !kept.contains(key) {
            entries.push(Entry {
                key: key.clone(),
                item: None,
            });
            next.set(key, None);
        }
    }
    problems.extend(validate(&next));
    if !problems.is_empty() {
        let places = Places::of(config);
        let problems = problems.into_iter().map(|problem| places.locate(problem));
        return Err(Error::Invalid(Problems(problems.collect())));
    }
    Ok((entries, next))
}

/// Checks that an item belongs to a named team and does not take another team's name.
fn check_owner(config: &Config, state: &State, key: &Key, team: &TeamName) -> Option<Problem> {
    if !config.teams.contains(team) {
        return Some(Problem::new(
            format!("{key}.team"),
            format!("team `{team}` is not among the configuration's teams"),
            "add it to `teams` or correct the item's team",
        ));
    }
    let owner = state.get(key).map(|piece| piece.item.team())?;
    if config.teams.contains(owner) {
        return None;
    }
    Some(Problem::new(
        key.to_string(),
        format!("the name belongs to team `{owner}`"),
        "choose another name",
    ))
}
