//! Errors of the command line and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use admin::{ClientError, ErrorKind};
use model::{Problems, Version};

/// A command that failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A file cannot be read.
    #[error("`{0}` cannot be read ({1}); give an existing file, or `-` for standard input")]
    Read(PathBuf, io::Error),
    /// Standard input or output failed.
    #[error("standard input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The configuration has problems.
    #[error("the configuration has problems; mend each:\n{0}")]
    Problems(Problems),
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] daemon::SettingsError),
    /// The daemon did not start.
    #[error(transparent)]
    Spawn(#[from] daemon::SpawnError),
    /// The daemon did not do what was asked for.
    #[error("{}", describe(.0))]
    Client(#[from] ClientError),
    /// The version is not in force everywhere yet.
    #[error("version {0} is accepted but not yet in force everywhere; see `sardinestall status`")]
    NotEverywhere(Version),
    /// The answer cannot be printed.
    #[error("the answer cannot be printed: {0}")]
    Json(#[from] serde_json::Error),
    /// The demo did not come up.
    #[cfg(feature = "demo")]
    #[error("the demo did not come up: {0}")]
    Demo(String),
}

impl Error {
    /// Returns the exit code that tells a program what happened.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Problems(_) => 3,
            Self::Client(ClientError::Refused(page)) => match page.kind {
                ErrorKind::Unknown => 4,
                _ => 3,
            },
            Self::Client(ClientError::Unreachable(..)) => 5,
            Self::NotEverywhere(_) => 6,
            _ => 1,
        };
        ExitCode::from(code)
    }
}

/// Writes a refusal with every problem on a line of its own.
fn describe(error: &ClientError) -> String {
    let mut text = error.to_string();
    if let ClientError::Refused(page) = error {
        for problem in &page.problems {
            text.push_str(&format!("\n{problem}"));
        }
    }
    text
}
