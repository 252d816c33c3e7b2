//! Conversions between the tables and the wire.

use std::sync::Arc;

use member::Record;
use model::{Change, Digest, Item, State, Version};
use slog::{Logger, warn};
use table::{ApplyError, FullVersion, Table};
use wire::fleet;

use crate::pack::{pack, unpack};

/// Records from which on a message is compressed.
const MIN_PACKED_RECORDS: usize = 16;

/// Returns the records on the wire that can be read, and logs the others.
pub(crate) fn records(log: &Logger, records: Option<fleet::Records>) -> Vec<Record> {
    let Some(mut records) = records else {
        return Vec::new();
    };
    if !records.packed.is_empty() {
        match unpack(&records.packed) {
            Ok(unpacked) => records = unpacked,
            Err(error) => warn!(log, "records ignored"; "error" => %error),
        }
    }
    let read = records.plain.into_iter().filter_map(|record| {
        Record::try_from(record)
            .inspect_err(|error| warn!(log, "record ignored"; "error" => %error))
            .ok()
    });
    read.collect()
}

/// Returns `records` for the wire; `None` if there are none.
pub(crate) fn to_wire(records: &[Record]) -> Option<fleet::Records> {
    if records.is_empty() {
        return None;
    }
    let plain = fleet::Records {
        plain: records.iter().map(fleet::Record::from).collect(),
        packed: Vec::new(),
    };
    if records.len() < MIN_PACKED_RECORDS {
        return Some(plain);
    }
    match pack(&plain) {
        Ok(packed) => Some(fleet::Records {
            plain: Vec::new(),
            packed,
        }),
        Err(_) => Some(plain),
    }
}

/// A version in force and the digest of its change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Mark {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
}

impl Mark {
    /// Returns what `table` has in force.
    pub(crate) fn of(table: &Table) -> Self {
        let snapshot = table.snapshot();
        Self {
            version: snapshot.version,
            digest: snapshot.digest,
        }
    }

    pub(crate) fn from_wire(mark: Option<fleet::Mark>) -> Self {
        let mark = mark.unwrap_or_default();
        Self {
            version: Version::new(mark.version),
            digest: Digest::from_slice(&mark.digest).unwrap_or(Digest::ZERO),
        }
    }

    pub(crate) fn to_wire(self) -> fleet::Mark {
        fleet::Mark {
            version: self.version.get(),
            digest: self.digest.as_bytes().to_vec(),
        }
    }
}

/// What brings a daemon from one version to the newest.
#[derive(Debug, Clone, Default)]
pub(crate) struct Update {
    pub(crate) changes: Vec<Vec<u8>>,
    pub(crate) state: Option<fleet::WholeState>,
}

impl Update {
    /// Returns whether there is nothing in it.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.state.is_none()
    }

    /// Returns the changes that a daemon at `mark` lacks, if they are all at hand.
    pub(crate) fn changes_after(table: &Table, mark: Mark) -> Option<Self> {
        let changes = table.since(mark.version, mark.digest)?;
        Some(Self {
            changes: changes.iter().map(|bytes| bytes.to_vec()).collect(),
            state: None,
        })
    }

    /// Returns the size of its content, in bytes.
    pub(crate) fn size(&self) -> usize {
        let changes: usize = self.changes.iter().map(Vec::len).sum();
        let state = self.state.as_ref();
        changes + state.map_or(0, |state| state.packed.len())
    }

    /// Returns a whole state.
    pub(crate) fn of_state(state: Option<fleet::WholeState>) -> Self {
        Self {
            changes: Vec::new(),
            state,
        }
    }

    /// Returns the version that the update leads to.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read.
    pub(crate) fn version(&self) -> Result<Option<Version>, ApplyError> {
        let Some(last) = self.changes.last() else {
            let state = self.state.as_ref();
            return Ok(state.map(|state| Version::new(state.version)));
        };
        let change = Change::from_bytes(last).map_err(unreadable)?;
        Ok(Some(change.version))
    }

    /// Puts what came over the wire in force.
    pub(crate) fn apply(self, table: &Table) -> Result<(), ApplyError> {
        if let Some(state) = self.state {
            table.install(whole_from_wire(&state)?)?;
        }
        if !self.changes.is_empty() {
            table.apply(&self.changes)?;
        }
        Ok(())
    }
}

/// Returns `whole`, which is `version`, for the wire.
pub(crate) fn whole_to_wire(
    version: Version,
    whole: &FullVersion,
) -> std::io::Result<fleet::WholeState> {
    let items = whole.state.items().map(|(_, item)| item.to_json());
    let content = fleet::Content {
        change: whole.change.to_vec(),
        items: items.collect(),
    };
    Ok(fleet::WholeState {
        version: version.get(),
        packed: pack(&content)?,
    })
}

fn whole_from_wire(state: &fleet::WholeState) -> Result<FullVersion, ApplyError> {
    let content: fleet::Content = unpack(&state.packed).map_err(unreadable)?;
    let mut items = Vec::with_capacity(content.items.len());
    for json in &content.items {
        let item: Item = serde_json::from_slice(json).map_err(unreadable)?;
        items.push(item);
    }
    Ok(FullVersion {
        change: Arc::from(content.change),
        state: State::from_items(items),
    })
}

fn unreadable(error: impl std::fmt::Display) -> ApplyError {
    ApplyError::Unreadable(error.to_string())
}
