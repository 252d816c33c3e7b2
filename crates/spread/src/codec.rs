//! Conversions between the tables and the wire.

use std::sync::Arc;

use member::Record;
use model::{Digest, Item, State, Version};
use slog::{Logger, warn};
use table::{ApplyError, Table, Whole};
use wire::fleet;

/// Returns the records on the wire that can be read, and logs the others.
pub(crate) fn records(log: &Logger, records: Vec<fleet::Record>) -> Vec<Record> {
    let read = records.into_iter().filter_map(|record| {
        Record::try_from(record)
            .inspect_err(|error| warn!(log, "record ignored"; "error" => %error))
            .ok()
    });
    read.collect()
}

/// Returns `records` for the wire.
pub(crate) fn to_wire(records: &[Record]) -> Vec<fleet::Record> {
    records.iter().map(fleet::Record::from).collect()
}

/// What brings a daemon from one version to the newest.
#[derive(Debug, Default)]
pub(crate) struct Update {
    pub(crate) changes: Vec<Vec<u8>>,
    pub(crate) state: Option<fleet::WholeState>,
}

impl Update {
    /// Returns what a daemon at `version` with `digest` lacks: the changes, or the whole state.
    pub(crate) fn after(table: &Table, version: Version, digest: Digest) -> Self {
        if let Some(changes) = table.since(version, digest) {
            let changes = changes.iter().map(|bytes| bytes.to_vec()).collect();
            return Self {
                changes,
                state: None,
            };
        }
        Self {
            changes: Vec::new(),
            state: table.whole().map(|whole| whole_to_wire(&whole)),
        }
    }

    /// Puts what came over the wire in force.
    pub(crate) fn apply(self, table: &Table) -> Result<(), ApplyError> {
        if let Some(state) = self.state {
            table.install(whole_from_wire(state)?)?;
        }
        if !self.changes.is_empty() {
            table.apply(&self.changes)?;
        }
        Ok(())
    }
}

fn whole_to_wire(whole: &Whole) -> fleet::WholeState {
    let items = whole.state.pieces().map(|(_, piece)| piece.to_json());
    fleet::WholeState {
        change: whole.change.to_vec(),
        items: items.collect(),
    }
}

fn whole_from_wire(state: fleet::WholeState) -> Result<Whole, ApplyError> {
    let mut items = Vec::with_capacity(state.items.len());
    for json in &state.items {
        let item: Item = serde_json::from_slice(json)
            .map_err(|error| ApplyError::Unreadable(error.to_string()))?;
        items.push(item);
    }
    Ok(Whole {
        change: Arc::from(state.change),
        state: State::from_items(items),
    })
}
