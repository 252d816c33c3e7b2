//! Conversions between the tables and wire messages.

use std::sync::Arc;

use member::Record;
use model::{Change, Digest, Item, State, Version};
use slog::{Logger, warn};
use table::{ApplyError, FullVersion, Table};
use wire::fleet;

use crate::pack::{pack, unpack};

/// Minimum number of records in a message for compression.
const MIN_PACKED_RECORDS: usize = 16;

/// Returns the valid records of a wire message; logs and skips the others.
pub(crate) fn records_from_wire(log: &Logger, records: Option<fleet::Records>) -> Vec<Record> {
    let Some(mut records) = records else {
        return Vec::new();
    };
    if !records.packed.is_empty() {
        match unpack(&records.packed) {
            Ok(unpacked) => records = unpacked,
            Err(error) => warn!(log, "ignoring records that cannot be unpacked"; "error" => %error),
        }
    }
    let read = records.plain.into_iter().filter_map(|record| {
        Record::try_from(record)
            .inspect_err(|error| warn!(log, "ignoring invalid record"; "error" => %error))
            .ok()
    });
    read.collect()
}

/// Converts `records` to a wire message; returns `None` if there are none.
pub(crate) fn records_to_wire(records: &[Record]) -> Option<fleet::Records> {
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

/// Version in force and the digest of its change.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct VersionStamp {
    pub(crate) version: Version,
    pub(crate) digest: Digest,
}

impl VersionStamp {
    /// Returns the stamp of the version in force in `table`.
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

/// Update from one version to the newest: a sequence of changes, or a whole state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Update {
    pub(crate) changes: Vec<Vec<u8>>,
    pub(crate) state: Option<fleet::WholeState>,
}

impl Update {
    /// Returns whether the update is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.state.is_none()
    }

    /// Returns the changes after `stamp`, or `None` if `table` does not have all of them.
    pub(crate) fn changes_after(table: &Table, stamp: VersionStamp) -> Option<Self> {
        let changes = table.since(stamp.version, stamp.digest)?;
        Some(Self {
            changes: changes.iter().map(|bytes| bytes.to_vec()).collect(),
            state: None,
        })
    }

    /// Returns the size of the content in bytes.
    pub(crate) fn size(&self) -> usize {
        let changes: usize = self.changes.iter().map(Vec::len).sum();
        let state = self.state.as_ref();
        changes + state.map_or(0, |state| state.packed.len())
    }

    /// Returns an update with a whole state.
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
    /// Fails if the last change cannot be decoded.
    pub(crate) fn version(&self) -> Result<Option<Version>, ApplyError> {
        let Some(last) = self.changes.last() else {
            let state = self.state.as_ref();
            return Ok(state.map(|state| Version::new(state.version)));
        };
        let change = Change::from_bytes(last).map_err(unreadable)?;
        Ok(Some(change.version))
    }

    /// Applies the update to `table`.
    ///
    /// # Errors
    ///
    /// Fails if the update cannot be decoded or applied.
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

/// Converts `whole`, the state at `version`, to a wire message.
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
