//! Merges an accepted configuration into a state.

use std::collections::BTreeSet;
use std::sync::Arc;

use model::{
    Config, Entry, HashedItem, Key, Places, Problem, Problems, State, TeamName, validate_changed,
};

use crate::Error;

/// Result of merging a configuration: the changed items and the state after it.
#[derive(Debug)]
pub(crate) struct Merged {
    pub(crate) entries: Vec<Entry>,
    pub(crate) state: State,
}

/// Replaces all items of the configuration's teams in `state`, which must be valid.
///
/// # Errors
///
/// Fails with every problem of the resulting state.
pub(crate) fn merge(config: &Config, state: &State) -> Result<Merged, Error> {
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
        let hashed = Arc::new(HashedItem::new(item));
        if state
            .get(&key)
            .is_none_or(|old| old.digest != hashed.digest)
        {
            entries.push(Entry {
                key: key.clone(),
                item: Some(hashed.item.clone()),
            });
            next.set(&key, Some(hashed));
        }
    }
    for (key, hashed) in state.items() {
        if config.teams.contains(hashed.item.team()) && !kept.contains(key) {
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
    Ok(Merged {
        entries,
        state: next,
    })
}

/// Checks that an item belongs to one of the configuration's teams and that its name is not owned
/// by another team.
fn check_owner(config: &Config, state: &State, key: &Key, team: &TeamName) -> Option<Problem> {
    if !config.teams.contains(team) {
        return Some(Problem::new(
            format!("{key}.team"),
            format!("team `{team}` is not among the configuration's teams"),
            "add it to `teams` or correct the item's team",
        ));
    }
    let owner = state.get(key).map(|hashed| hashed.item.team())?;
    if config.teams.contains(owner) {
        return None;
    }
    Some(Problem::new(
        key.to_string(),
        format!("the name belongs to team `{owner}`"),
        "choose another name",
    ))
}

/// Returns the keys of the given teams' items that differ between two states.
pub(crate) fn differing(before: &State, after: &State, teams: &[TeamName]) -> BTreeSet<Key> {
    let owned = |state: &State, key: &Key| {
        let hashed = state
            .get(key)
            .filter(|hashed| teams.contains(hashed.item.team()));
        hashed.map(|hashed| hashed.digest)
    };
    let keys = before.items().chain(after.items()).map(|(key, _)| key);
    keys.filter(|key| owned(before, key) != owned(after, key))
        .cloned()
        .collect()
}
