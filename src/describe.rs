//! Formats results as text for people.

use std::collections::BTreeMap;

use admin::{AcceptReply, DiffReply, KeyChange, LogEntry, Status};
use model::{Item, Key, UnixMillis, Version};
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Formats the result of an accept.
pub(crate) fn accepted(accepted: &AcceptReply) -> String {
    if accepted.changed.is_empty() {
        return format!("nothing differs from version {}", accepted.version);
    }
    format!(
        "accepted as version {}: {}",
        accepted.version,
        keys(&accepted.changed)
    )
}

/// Formats the audit trail, one line per version.
pub(crate) fn log(entries: &[LogEntry]) -> String {
    let lines = entries.iter().map(|entry| {
        format!(
            "{} {} by {} ({}): {} [{}]",
            entry.version,
            utc(entry.at),
            entry.operator,
            entry.accept_id,
            entry.reason,
            keys(&entry.changed)
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn keys(keys: &[Key]) -> String {
    let keys: Vec<String> = keys.iter().map(Key::to_string).collect();
    keys.join(", ")
}

/// Formats a time in UTC to the second, such as `2026-03-01T08:00:00Z`.
fn utc(at: UnixMillis) -> String {
    let seconds = i64::try_from(at.get() / 1_000).ok();
    let instant = seconds.and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok());
    let text = instant.and_then(|instant| instant.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{at} ms"))
}

/// Formats a difference: one line per item, and one per changed field below a changed item.
pub(crate) fn diff(diff: &DiffReply) -> String {
    if diff.changes.is_empty() {
        return format!("versions {} and {} do not differ", diff.from, diff.to);
    }
    let lines: Vec<String> = diff.changes.iter().flat_map(key_change).collect();
    lines.join("\n")
}

fn key_change(change: &KeyChange) -> Vec<String> {
    match (&change.before, &change.after) {
        (None, _) => vec![format!("+ {}", change.key)],
        (_, None) => vec![format!("- {}", change.key)],
        (Some(before), Some(after)) => {
            let mut lines = vec![format!("~ {}", change.key)];
            lines.extend(field_changes(before, after));
            lines
        }
    }
}

/// Formats the fields that differ between two versions of an item.
fn field_changes(before: &Item, after: &Item) -> Vec<String> {
    let (before, after) = (leaf_values(before), leaf_values(after));
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort();
    names.dedup();
    let lines = names.into_iter().filter_map(|name| {
        let text = |value: Option<&Value>| value.map_or_else(|| "absent".into(), Value::to_string);
        let (old, new) = (before.get(name), after.get(name));
        (old != new).then(|| format!("    {name}: {} -> {}", text(old), text(new)))
    });
    lines.collect()
}

/// Returns the item's scalar values by path, such as `to[0].weight`.
fn leaf_values(item: &Item) -> BTreeMap<String, Value> {
    let json = match item {
        Item::Service(service) => serde_json::to_value(service),
        Item::Pool(pool) => serde_json::to_value(pool),
        Item::Route(route) => serde_json::to_value(route),
    };
    let mut leaves = BTreeMap::new();
    collect_leaves(String::new(), json.unwrap_or_default(), &mut leaves);
    leaves
}

fn collect_leaves(path: String, value: Value, leaves: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(format!("{path}{dot}{name}"), value, leaves);
            }
        }
        Value::Array(values) => {
            for (i, value) in values.into_iter().enumerate() {
                collect_leaves(format!("{path}[{i}]"), value, leaves);
            }
        }
        leaf => {
            leaves.insert(path, leaf);
        }
    }
}

/// Formats the state of the fleet and the daemons that lag behind the newest version.
pub(crate) fn status(status: &Status) -> String {
    let head = status
        .head
        .map_or("unknown, the store is out".into(), |head| head.to_string());
    let mut lines = vec![
        format!("head: {head}"),
        format!("serving here: {}", status.serving),
        format!("connected to a relay: {}", status.connected),
        format!("daemons known: {}", status.members),
    ];
    for count in &status.versions {
        lines.push(format!(
            "version {}: {} daemon(s)",
            count.version, count.daemons
        ));
    }
    lines.extend(lag(status, status.head.unwrap_or(status.serving)));
    lines.join("\n")
}

/// Formats one line for each group of daemons that do not serve `version` yet, and for each daemon
/// with a known reason.
pub(crate) fn lag(status: &Status, version: Version) -> Vec<String> {
    let mut lines = Vec::new();
    for count in status.versions.iter().filter(|c| c.version < version) {
        lines.push(format!(
            "lagging: {} daemon(s) still serve version {}",
            count.daemons, count.version
        ));
    }
    for lag in status.lags.iter().filter(|lag| lag.version < version) {
        lines.push(format!(
            "lagging: VM {} serves version {}: {}",
            lag.vm, lag.version, lag.reason
        ));
    }
    let counted: u32 = status.versions.iter().map(|count| count.daemons).sum();
    let missing = status.members.saturating_sub(counted);
    if missing > 0 {
        lines.push(format!(
            "lagging: {missing} daemon(s) are reported by no relay: cut off, stopping, or just \
             started"
        ));
    }
    if status.head.is_none() && !lines.is_empty() {
        lines.push("the store is out, so relays report nothing new".into());
    }
    lines
}
