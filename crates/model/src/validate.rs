//! Validation of whole states, used by `check`, `accept` and every daemon.

use std::collections::BTreeSet;

use crate::{Item, Key, Kind, PathMatch, Pool, Problem, Route, Service, State};

/// Longest timeout that a route may set.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Largest number of retries that a route may set.
const MAX_RETRIES: u32 = 10;

/// Returns every problem of `state`; an empty list means that it is valid.
pub fn validate(state: &State) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (key, hashed) in state.items() {
        check_item(key, &hashed.item, state, &mut problems);
    }
    problems.sort_by(|a, b| a.place.cmp(&b.place));
    problems
}

/// Returns every problem of `state`, which differs from a valid state only in `keys`.
///
/// Checks only the changed items and those that refer to removed ones; the result is the same as
/// that of [`validate`].
pub fn validate_changed(state: &State, keys: &BTreeSet<Key>) -> Vec<Problem> {
    let mut problems = Vec::new();
    let mut removed = BTreeSet::new();
    for key in keys {
        match state.get(key) {
            Some(hashed) => check_item(key, &hashed.item, state, &mut problems),
            None if key.kind != Kind::Route => {
                removed.insert((key.kind, key.name.as_str()));
            }
            None => {}
        }
    }
    if !removed.is_empty() {
        let referring = state
            .items()
            .filter(|(key, hashed)| !keys.contains(key) && refers_to(&hashed.item, &removed));
        for (key, hashed) in referring {
            check_item(key, &hashed.item, state, &mut problems);
        }
    }
    problems.sort_by(|a, b| a.place.cmp(&b.place));
    problems
}

/// Returns whether `item` refers to one of the named items.
fn refers_to(item: &Item, names: &BTreeSet<(Kind, &str)>) -> bool {
    match item {
        Item::Service(_) => false,
        Item::Pool(pool) => names.contains(&(Kind::Service, pool.service.as_str())),
        Item::Route(route) => route
            .to
            .iter()
            .any(|to| names.contains(&(Kind::Pool, to.pool.as_str()))),
    }
}

fn check_item(key: &Key, item: &Item, state: &State, problems: &mut Vec<Problem>) {
    match item {
        Item::Service(service) => check_service(key, service, problems),
        Item::Pool(pool) => check_pool(key, pool, state, problems),
        Item::Route(route) => check_route(key, route, state, problems),
    }
}

fn check_service(key: &Key, service: &Service, problems: &mut Vec<Problem>) {
    if service.slots == 0 {
        problems.push(Problem::new(
            format!("{key}.slots"),
            "an upstream with no slot runs no call",
            "write at least 1",
        ));
    }
    if service.connections == 0 {
        problems.push(Problem::new(
            format!("{key}.connections"),
            "an upstream with no connection takes no call",
            "write at least 1",
        ));
    }
}

fn check_pool(key: &Key, pool: &Pool, state: &State, problems: &mut Vec<Problem>) {
    if !has(state, Kind::Service, pool.service.as_str()) {
        problems.push(Problem::new(
            format!("{key}.service"),
            format!("service `{}` does not exist", pool.service),
            "add the service or name an existing one",
        ));
    }
}

fn check_route(key: &Key, route: &Route, state: &State, problems: &mut Vec<Problem>) {
    let mut report = |field: &str, message: String, remedy: &str| {
        problems.push(Problem::new(format!("{key}.{field}"), message, remedy));
    };
    if route.hosts.is_empty() {
        report(
            "hosts",
            "a route with no host takes no call".into(),
            "write `*` for every host",
        );
    }
    let (PathMatch::Exact(path) | PathMatch::Prefix(path) | PathMatch::Directory(path)) =
        &route.path;
    if !path.starts_with('/') || path.contains(['{', '}', '?', '#']) {
        report(
            "path",
            format!("`{path}` is not a path"),
            "begin with `/`, without `{`, `}`, `?` and `#`",
        );
    }
    if matches!(route.path, PathMatch::Directory(_)) && !path.ends_with('/') {
        report(
            "path",
            format!("`{path}` is not a directory"),
            "end it with `/`, or write a `prefix`",
        );
    }
    if route.to.is_empty() {
        report("to", "a route needs a target".into(), "name a pool");
    }
    let total: u64 = route.to.iter().map(|to| u64::from(to.weight.get())).sum();
    if !route.to.is_empty() && total == 0 {
        report(
            "to",
            "all weights are 0".into(),
            "give one target a weight of at least 1",
        );
    }
    for (i, to) in route.to.iter().enumerate() {
        if !has(state, Kind::Pool, to.pool.as_str()) {
            report(
                &format!("to[{i}].pool"),
                format!("pool `{}` does not exist", to.pool),
                "add the pool or name an existing one",
            );
        }
    }
    let timeout = route.rules.timeout.get();
    if timeout == 0 || timeout > MAX_TIMEOUT_MS {
        report(
            "rules.timeout",
            format!("{} is out of range", route.rules.timeout),
            "write between 1ms and 1h",
        );
    }
    if route.rules.retries > MAX_RETRIES {
        report(
            "rules.retries",
            format!("{} retries are too many", route.rules.retries),
            "write at most 10",
        );
    }
}

/// Returns whether `state` contains an item of this kind and name.
fn has(state: &State, kind: Kind, name: &str) -> bool {
    let key = Key {
        kind,
        name: name.into(),
    };
    state.get(&key).is_some()
}
