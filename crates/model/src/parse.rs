//! Parses a configuration and reports all of its problems.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::collect::{self, FieldError};
use crate::{Config, FORMAT, Problem, Problems, TeamName, Version};

/// A configuration with unparsed items, so that problems are reported for each item.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    format: u32,
    #[serde(default)]
    parent: Option<Version>,
    teams: Vec<TeamName>,
    #[serde(default)]
    services: Vec<Value>,
    #[serde(default)]
    pools: Vec<Value>,
    #[serde(default)]
    routes: Vec<Value>,
}

/// Parses a configuration from JSON.
///
/// # Errors
///
/// Returns every error of syntax or type. References between items are checked by
/// [`crate::validate`].
pub fn parse(json: &[u8]) -> Result<Config, Problems> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let raw: RawConfig = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let field_error = FieldError {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        };
        Problems(vec![describe("", field_error)])
    })?;
    if let Err(error) = reader.end() {
        return Err(Problems(vec![Problem::new(
            "file",
            error.to_string(),
            "print exactly one JSON document",
        )]));
    }
    let mut problems = Vec::new();
    if raw.format != FORMAT {
        problems.push(Problem::new(
            "format",
            format!("format {} is not known", raw.format),
            format!("write format {FORMAT}"),
        ));
    }
    let config = Config {
        format: raw.format,
        parent: raw.parent,
        teams: raw.teams,
        services: parse_items("services", raw.services, &mut problems),
        pools: parse_items("pools", raw.pools, &mut problems),
        routes: parse_items("routes", raw.routes, &mut problems),
    };
    if problems.is_empty() {
        return Ok(config);
    }
    Err(Problems(problems))
}

/// Parses the items of one list, collecting the problems of those that fail.
fn parse_items<T: DeserializeOwned>(
    list: &str,
    values: Vec<Value>,
    problems: &mut Vec<Problem>,
) -> Vec<T> {
    let mut items = Vec::with_capacity(values.len());
    for (i, value) in values.into_iter().enumerate() {
        match collect::read(value) {
            Ok(item) => items.push(item),
            Err(errors) => {
                let prefix = format!("{list}[{i}]");
                problems.extend(errors.into_iter().map(|error| describe(&prefix, error)));
            }
        }
    }
    items
}

/// Converts an error to a problem whose place starts with `prefix`.
fn describe(prefix: &str, error: FieldError) -> Problem {
    let place = match (prefix, error.path.as_str()) {
        ("", "." | "?") => "file".to_owned(),
        ("", path) => path.to_owned(),
        (prefix, ".") => prefix.to_owned(),
        (prefix, path) => format!("{prefix}.{path}"),
    };
    Problem::new(place, error.message, "see docs/CONFIG.md for the format")
}
