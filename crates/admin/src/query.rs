//! Calls that read versions, the audit trail and the state of the fleet.

use std::collections::BTreeSet;

use axum::Json;
use axum::extract::rejection::{PathRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use model::{Item, Key, State as ConfigState, Version};
use serde::Deserialize;

use crate::message::{DiffReply, KeyChange, LogEntry, Shown, Status, VersionCount};
use crate::{Api, ErrorKind, ErrorPage};

/// Entries of the log returned where none is asked for.
const DEFAULT_LOG_LIMIT: usize = 20;

/// Most entries of the log returned.
const MAX_LOG_LIMIT: usize = 1_000;

/// Returns the configuration of a version, or of the head.
pub(crate) async fn show(
    State(api): State<Api>,
    Path(version): Path<String>,
) -> Result<Json<Shown>, ErrorPage> {
    if version == "head" {
        let tip = api.ledger.head().await?;
        return Ok(Json(Shown::of(tip.version, &tip.state)));
    }
    let version = version.parse().map_err(|_| {
        ErrorPage::new(
            ErrorKind::BadRequest,
            format!("`{version}` is no version"),
            "write a number or `head`",
        )
    })?;
    let state = api.ledger.at(version).await?;
    Ok(Json(Shown::of(version, &state)))
}

/// Returns what differs between two versions.
pub(crate) async fn diff(
    State(api): State<Api>,
    path: Result<Path<(Version, Version)>, PathRejection>,
) -> Result<Json<DiffReply>, ErrorPage> {
    let Path((from, to)) = path?;
    let before = api.ledger.at(from).await?;
    let after = api.ledger.at(to).await?;
    let keys = before.items().chain(after.items()).map(|(key, _)| key);
    let keys: BTreeSet<_> = keys.collect();
    let changes = keys
        .into_iter()
        .filter_map(|key| key_change(key, &before, &after));
    let changes = changes.collect();
    Ok(Json(DiffReply { from, to, changes }))
}

/// Returns how the item `key` differs, if it does.
fn key_change(key: &Key, before: &ConfigState, after: &ConfigState) -> Option<KeyChange> {
    let item =
        |state: &ConfigState| -> Option<Item> { state.get(key).map(|piece| piece.item.clone()) };
    let change = KeyChange {
        key: key.clone(),
        before: item(before),
        after: item(after),
    };
    (change.before != change.after).then_some(change)
}

/// Which part of the log is asked for.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LogQuery {
    from: Option<Version>,
    limit: Option<usize>,
}

/// Returns entries of the audit trail, newest first.
pub(crate) async fn log(
    State(api): State<Api>,
    query: Result<Query<LogQuery>, QueryRejection>,
) -> Result<Json<Vec<LogEntry>>, ErrorPage> {
    let Query(query) = query?;
    let limit = query.limit.unwrap_or(DEFAULT_LOG_LIMIT).min(MAX_LOG_LIMIT);
    let changes = api.ledger.log(query.from, limit).await?;
    let entries = changes.iter().map(|change| LogEntry::from(&**change));
    Ok(Json(entries.collect()))
}

/// Returns the state of the fleet as this daemon sees it.
pub(crate) async fn status(State(api): State<Api>) -> Json<Status> {
    let head = api.ledger.head().await.ok().map(|tip| tip.version);
    let counts = match api.node.fleet_counts().await {
        Ok(counts) => counts,
        Err(_) => api.node.counts(),
    };
    let lags = match api.node.fleet_lags().await {
        Ok(lags) => lags,
        Err(_) => api.node.lags(),
    };
    let versions = counts
        .0
        .into_iter()
        .map(|(version, daemons)| VersionCount { version, daemons });
    Json(Status {
        head,
        serving: api.table.snapshot().version,
        connected: api.node.is_connected(),
        versions: versions.collect(),
        members: api.members(),
        lags,
    })
}

impl Api {
    /// Returns the daemons known that have not left or expired.
    pub(crate) fn members(&self) -> u32 {
        let members = self.table.members().all();
        let alive = members.iter().filter(|record| record.is_alive()).count();
        alive as u32
    }
}
