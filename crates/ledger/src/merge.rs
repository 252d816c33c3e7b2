//! What one accept changes in a state.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::{
    Config, Entry, Key, Piece, Places, Problem, Problems, State, TeamName, validate_changed,
};

use crate::Error;

/// What an accept changes, and the state after it.
#[derive(Debug)]
pub(crate) struct Plan {
    pub(crate) entries: Vec<Entry>,
    pub(crate) state: State,
}

/// Returns what `config` changes in `state`, which must be valid.
///
/// # Errors
///
/// Fails with every problem of the state after the change.
pub(crate) fn plan(config: &Config, state: &State) -> Result<Plan, Error> {
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
    let keys = entries.iter().map(|entry| entry.key.clone()).collect();
    problems.extend(validate_changed(&next, &keys));
    if !problems.is_empty() {
        let places = Places::of(config);
        let problems = problems.into_iter().map(|problem| places.locate(problem));
        return Err(Error::Invalid(Problems(problems.collect())));
    }
    Ok(Plan {
        entries,
        state: next,
    })
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

/// Returns the keys of the given teams that differ between two states.
pub(crate) fn differing(before: &State, after: &State, teams: &[TeamName]) -> BTreeSet<Key> {
    let owned = |state: &State, key: &Key| {
        let piece = state
            .get(key)
            .filter(|piece| teams.contains(piece.item.team()));
        piece.map(|piece| piece.digest)
    };
    let keys = before.pieces().chain(after.pieces()).map(|(key, _)| key);
    keys.filter(|key| owned(before, key) != owned(after, key))
        .cloned()
        .collect()
}
