//! Reading a printed configuration, with every problem reported.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::collect::{self, Fault};
use crate::{Config, FORMAT, Problem, Problems, TeamName, Version};

/// A configuration whose items have not been read yet, so that each can fail alone.
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

/// Reads a configuration from JSON text.
///
/// # Errors
///
/// Returns every problem of form; references between items are checked by [`crate::validate`].
pub fn parse(json: &[u8]) -> Result<Config, Problems> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let raw: RawConfig = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let fault = Fault {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        };
        Problems(vec![describe("", fault)])
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

/// Reads the items of one list, noting each that fails.
fn parse_items<T: DeserializeOwned>(
    list: &str,
    values: Vec<Value>,
    problems: &mut Vec<Problem>,
) -> Vec<T> {
    let mut items = Vec::with_capacity(values.len());
    for (i, value) in values.into_iter().enumerate() {
        match collect::read(value) {
            Ok(item) => items.push(item),
            Err(faults) => {
                let prefix = format!("{list}[{i}]");
                problems.extend(faults.into_iter().map(|fault| describe(&prefix, fault)));
            }
        }
    }
    items
}

/// Describes a part that cannot be read, below `prefix`.
fn describe(prefix: &str, fault: Fault) -> Problem {
    let place = match (prefix, fault.path.as_str()) {
        ("", "." | "?") => "file".to_owned(),
        ("", path) => path.to_owned(),
        (prefix, ".") => prefix.to_owned(),
        (prefix, path) => format!("{prefix}.{path}"),
    };
    Problem::new(place, fault.message, "see docs/CONFIG.md for the format")
}
