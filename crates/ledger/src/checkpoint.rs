//! Checkpoints: whole states, written at intervals so that a version can be loaded without
//! replaying its whole history.

use model::{CheckpointRef, Item, State};

use crate::retry::RetryingStore;
use crate::{ChainHead, Error};

/// Largest part of a checkpoint; a single item may exceed it.
const MAX_PART_BYTES: usize = 512 << 10;

/// Writes the state of `head` as a checkpoint, and returns a reference to it.
pub(crate) async fn write(store: &RetryingStore, head: &ChainHead) -> Result<CheckpointRef, Error> {
    let parts = split(&head.state);
    let base = CheckpointRef {
        version: head.version,
        digest: head.digest,
        root: head.state.root(),
        parts: parts.len() as u32,
    };
    for (i, part) in parts.iter().enumerate() {
        store.put_content(&part_key(&base, i as u32), part).await?;
    }
    Ok(base)
}

/// Reads the checkpoint at `base`.
///
/// # Errors
///
/// Fails with [`Error::NoVersion`] if it has been removed.
pub(crate) async fn read(store: &RetryingStore, base: CheckpointRef) -> Result<State, Error> {
    let mut state = Vec::new();
    for i in 0..base.parts {
        let key = part_key(&base, i);
        let entry = store
            .get(&key)
            .await?
            .ok_or(Error::NoVersion(base.version))?;
        let items: Vec<Item> =
            serde_json::from_slice(&entry.value).map_err(|_| Error::Damaged(key))?;
        state.extend(items);
    }
    let state = State::from_items(state);
    if state.root() != base.root {
        return Err(Error::Damaged(part_key(&base, 0)));
    }
    Ok(state)
}

/// Deletes the checkpoint at `base`.
pub(crate) async fn delete(store: &RetryingStore, base: CheckpointRef) -> Result<(), store::Error> {
    for i in 0..base.parts {
        store.delete_content(&part_key(&base, i)).await?;
    }
    Ok(())
}

/// Splits a state into JSON arrays of about [`MAX_PART_BYTES`] each.
fn split(state: &State) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut part: Vec<u8> = Vec::new();
    for (_, item) in state.items() {
        let json = item.to_json();
        if !part.is_empty() && part.len() + json.len() > MAX_PART_BYTES {
            part.push(b']');
            parts.push(std::mem::take(&mut part));
        }
        part.push(if part.is_empty() { b'[' } else { b',' });
        part.extend_from_slice(&json);
    }
    if !part.is_empty() {
        part.push(b']');
        parts.push(part);
    }
    parts
}

fn part_key(base: &CheckpointRef, part: u32) -> String {
    format!(
        "checkpoint/{:020}/{}/{part:04}",
        base.version.get(),
        base.root
    )
}
