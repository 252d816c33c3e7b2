//! Reading one value with every problem of form, not only the first.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// Most problems reported of one value.
const MAX_PROBLEMS: usize = 32;

/// A part of a value that cannot be read.
#[derive(Debug, PartialEq)]
pub(crate) struct Fault {
    /// Path of the part, `.` for the value itself.
    pub(crate) path: String,
    /// What is wrong.
    pub(crate) message: String,
}

/// Reads `value`, or returns what is wrong with it.
///
/// A part that cannot be read is noted and taken out, and the rest is read again. Of a list, only
/// the first part that cannot be read is noted, and of missing fields the first.
pub(crate) fn read<T: DeserializeOwned>(mut value: Value) -> Result<T, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut removed = Vec::new();
    while faults.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(item) if faults.is_empty() => return Ok(item),
            Ok(_) => break,
            Err(error) => error,
        };
        let fault = Fault {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        };
        if is_missing(&fault, &removed) {
            break;
        }
        let taken = take_out(&mut value, error.path());
        faults.push(fault);
        match taken {
            Some(pointer) => removed.push(pointer),
            None => break,
        }
    }
    Err(faults)
}

/// Returns whether a field is missing only because it was taken out.
fn is_missing(fault: &Fault, removed: &[String]) -> bool {
    let field = fault
        .message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    let Some(field) = field else {
        return false;
    };
    let full = match fault.path.as_str() {
        "." => field.to_owned(),
        path => format!("{path}.{field}"),
    };
    removed.contains(&full)
}

/// Takes the innermost named field on `path` out of `value`, and returns its path.
fn take_out(value: &mut Value, path: &Path) -> Option<String> {
    let segments: Vec<&Segment> = path.iter().collect();
    let named = |segment: &&Segment| matches!(segment, Segment::Map { .. });
    let last = segments.iter().rposition(named)?;
    let mut parent = value;
    let mut full = String::new();
    for segment in &segments[..last] {
        parent = match segment {
            Segment::Map { key } => parent.get_mut(key)?,
            Segment::Seq { index } => parent.get_mut(index)?,
            Segment::Enum { .. } | Segment::Unknown => return None,
        };
        full = join(&full, segment);
    }
    let Segment::Map { key } = segments[last] else {
        return None;
    };
    parent.as_object_mut()?.remove(key)?;
    Some(join(&full, segments[last]))
}

/// Adds a segment to a path, in the form that paths are written in.
fn join(path: &str, segment: &Segment) -> String {
    match segment {
        Segment::Seq { .. } => format!("{path}{segment}"),
        _ if path.is_empty() => segment.to_string(),
        _ => format!("{path}.{segment}"),
    }
}
