//! Whole states, kept now and then so that a version can be loaded without its whole history.

use model::{Base, Item, State};

use crate::calls::Calls;
use crate::{Error, Tip};

/// Largest part of a checkpoint, in bytes.
const PART_BYTES: usize = 512 << 10;

/// Writes the state of `tip` as a checkpoint, and returns where it is.
pub(crate) async fn write(calls: &Calls, tip: &Tip) -> Result<Base, Error> {
    let parts = split(&tip.state);
    let base = Base {
        version: tip.version,
        digest: tip.digest,
        root: tip.state.root(),
        parts: parts.len() as u32,
    };
    for (i, part) in parts.iter().enumerate() {
        calls.put_content(&part_key(&base, i as u32), part).await?;
    }
    Ok(base)
}

/// Reads the checkpoint at `base`.
///
/// # Errors
///
/// Fails with [`Error::NoVersion`] if it is no longer kept.
pub(crate) async fn read(calls: &Calls, base: Base) -> Result<State, Error> {
    let mut state = Vec::new();
    for i in 0..base.parts {
        let key = part_key(&base, i);
        let entry = calls
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
pub(crate) async fn delete(calls: &Calls, base: Base) -> Result<(), store::Error> {
    for i in 0..base.parts {
        calls.delete_content(&part_key(&base, i)).await?;
    }
    Ok(())
}

/// Splits a state into JSON arrays of bounded size.
fn split(state: &State) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut part: Vec<u8> = Vec::new();
    for (_, piece) in state.pieces() {
        let json = piece.to_json();
        if !part.is_empty() && part.len() + json.len() > PART_BYTES {
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

fn part_key(base: &Base, part: u32) -> String {
    format!(
        "checkpoint/{:020}/{}/{part:04}",
        base.version.get(),
        base.root
    )
}
