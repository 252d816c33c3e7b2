//! Printing answers, for people and for programs.

use admin::{Accepted, DiffReply, LogEntry, Status};
use serde::Serialize;

use crate::error::Error;

/// Prints `answer` as JSON if asked to, and as `text` otherwise.
pub(crate) fn print<T: Serialize>(
    answer: &T,
    json: bool,
    text: impl FnOnce(&T) -> String,
) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(answer)?);
    } else {
        println!("{}", text(answer));
    }
    Ok(())
}

/// Describes an accept.
pub(crate) fn accepted(accepted: &Accepted) -> String {
    if accepted.changed.is_empty() {
        return format!("nothing differs from version {}", accepted.version);
    }
    let keys: Vec<String> = accepted.changed.iter().map(ToString::to_string).collect();
    format!(
        "accepted as version {}: {}",
        accepted.version,
        keys.join(", ")
    )
}

/// Describes the audit trail, a line for each version.
pub(crate) fn log(entries: &[LogEntry]) -> String {
    let lines = entries.iter().map(|entry| {
        let keys: Vec<String> = entry.changed.iter().map(ToString::to_string).collect();
        format!(
            "{} at {} ms by {} ({}): {} [{}]",
            entry.version,
            entry.at,
            entry.operator,
            entry.accept_id,
            entry.reason,
            keys.join(", ")
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Describes a difference, a line for each item.
pub(crate) fn diff(diff: &DiffReply) -> String {
    let lines = diff.changes.iter().map(|change| {
        let sign = match (&change.before, &change.after) {
            (None, _) => '+',
            (_, None) => '-',
            _ => '~',
        };
        format!("{sign} {}", change.key)
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Describes the fleet.
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
    lines.join("\n")
}
