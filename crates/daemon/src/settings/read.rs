//! Reads settings from a file.

use std::fs;
use std::path::Path;

use model::Secret;

use super::check::{SettingsProblem, check};
use super::{FleetSettings, Settings};
use crate::SettingsError;

/// Keys whose values are never shown in an error.
const SECRET_KEYS: &[&str] = &["fleet.key"];

impl Settings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has problems; the error names the file, each key with a
    /// problem, and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.into(),
            error,
        })?;
        let invalid = |problems| SettingsError::Invalid {
            path: path.into(),
            problems,
        };
        let mut settings = parse(&text).map_err(|problem| invalid(vec![problem]))?;
        let base = path.parent().unwrap_or(Path::new("."));
        let mut problems = Vec::new();
        if let Err(problem) = read_key(&mut settings.fleet, base) {
            problems.push(problem);
        } else {
            problems.extend(check(&settings));
        }
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(invalid(problems))
    }
}

fn parse(text: &str) -> Result<Settings, SettingsProblem> {
    let document =
        toml::Deserializer::parse(text).map_err(|error| parse_problem(text, "file", &error))?;
    serde_path_to_error::deserialize(document).map_err(|error| {
        let path = error.path().to_string();
        let key = if path == "." { "file" } else { path.as_str() };
        parse_problem(text, key, error.inner())
    })
}

/// Converts an error of the TOML parser, without quoting the file.
fn parse_problem(text: &str, key: &str, error: &toml::de::Error) -> SettingsProblem {
    let message = match error.message() {
        _ if SECRET_KEYS.contains(&key) => "the value must be a string; write it in quotes",
        message => message,
    };
    let message = message.trim_end().replace('\n', ", ");
    let line = error
        .span()
        .map(|span| text[..span.start].matches('\n').count() + 1);
    let place = line.map_or(String::new(), |line| format!(" (line {line})"));
    SettingsProblem::new(
        key,
        format!("{message}{place}; `sardinestall settings` prints every key"),
    )
}

/// Reads the fleet's key from `key_file`, if the settings name one.
fn read_key(fleet: &mut FleetSettings, base: &Path) -> Result<(), SettingsProblem> {
    let Some(file) = &fleet.key_file else {
        return Ok(());
    };
    if !fleet.key.expose().is_empty() {
        return Err(SettingsProblem::new(
            "fleet.key_file",
            "`fleet.key` is set too; remove one of the two",
        ));
    }
    let path = base.join(file);
    let text = fs::read_to_string(&path).map_err(|error| {
        SettingsProblem::new(
            "fleet.key_file",
            format!(
                "`{}` cannot be read ({error}); name a file that holds the fleet's key",
                path.display()
            ),
        )
    })?;
    fleet.key = Secret::new(text.trim());
    Ok(())
}
