//! Deserialises a value and collects all errors instead of only the first.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

/// Largest number of errors reported for one value.
const MAX_ERRORS: usize = 32;

/// An error in one part of a value.
#[derive(Debug, PartialEq)]
pub(crate) struct FieldError {
    /// Path of the part, `.` for the value itself.
    pub(crate) path: String,
    /// Error message.
    pub(crate) message: String,
}

/// Deserialises `value`, or returns its errors.
///
/// After each error the affected field is removed and the rest is deserialised again. Only the
/// first error in a list and the first missing field are reported.
pub(crate) fn read<T: DeserializeOwned>(mut value: Value) -> Result<T, Vec<FieldError>> {
    let mut errors = Vec::new();
    let mut removed = Vec::new();
    while errors.len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(item) if errors.is_empty() => return Ok(item),
            Ok(_) => break,
            Err(error) => error,
        };
        let field_error = FieldError {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        };
        if is_missing(&field_error, &removed) {
            break;
        }
        let removed_path = remove_field(&mut value, error.path());
        errors.push(field_error);
        match removed_path {
            Some(pointer) => removed.push(pointer),
            None => break,
        }
    }
    Err(errors)
}

/// Returns whether the error is a missing field that was removed after an earlier error.
fn is_missing(error: &FieldError, removed: &[String]) -> bool {
    let field = error
        .message
        .strip_prefix("missing field `")
        .and_then(|rest| rest.split('`').next());
    let Some(field) = field else {
        return false;
    };
    let full = match error.path.as_str() {
        "." => field.to_owned(),
        path => format!("{path}.{field}"),
    };
    removed.contains(&full)
}

/// Removes the innermost named field on `path` from `value`, and returns its path.
fn remove_field(value: &mut Value, path: &Path) -> Option<String> {
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

/// Appends a segment to a path in display form.
fn join(path: &str, segment: &Segment) -> String {
    match segment {
        Segment::Seq { .. } => format!("{path}{segment}"),
        _ if path.is_empty() => segment.to_string(),
        _ => format!("{path}.{segment}"),
    }
}
