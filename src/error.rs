//! Errors of the command line and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use admin::{ClientError, ErrorKind};
use model::{AcceptId, Problem, Problems, Version};
use serde::Serialize;

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
    /// The configuration cannot be checked.
    #[error(transparent)]
    Check(ledger::Error),
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] daemon::SettingsError),
    /// The daemon did not start.
    #[error("settings `{0}`: {1}")]
    Spawn(PathBuf, daemon::SpawnError),
    /// The daemon did not do what was asked for.
    #[error("{}", describe(.0))]
    Client(#[from] ClientError),
    /// The answer to an accept was lost.
    #[error("{1}; it is unknown whether it was accepted: repeat the command with --accept-id {0}")]
    Unsettled(AcceptId, ClientError),
    /// The version is not in force everywhere yet.
    #[error(
        "version {version} is accepted but not yet in force everywhere; \
         see `sardinestall status`\n{}",
        lag.join("\n")
    )]
    NotEverywhere {
        /// Version accepted.
        version: Version,
        /// Who lags, and why as far as is known.
        lag: Vec<String>,
    },
    /// The token is empty.
    #[error("the token is empty; write it on standard input")]
    EmptyToken,
    /// There is no such command.
    #[error("there is no command `{0}`; see `sardinestall help`")]
    NoCommand(String),
    /// The answer cannot be printed.
    #[error("the answer cannot be printed: {0}")]
    Json(#[from] serde_json::Error),
    /// The demo did not come up.
    #[cfg(feature = "demo")]
    #[error("the demo did not come up: {0}")]
    Demo(String),
}

/// An error as a program reads it.
#[derive(Debug, Serialize)]
struct Report<'a> {
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    remedy: Option<&'a str>,
    #[serde(skip_serializing_if = "<[Problem]>::is_empty")]
    problems: &'a [Problem],
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
            Self::Unsettled(..) => 4,
            Self::Client(ClientError::Unreachable(..) | ClientError::ResponseLost(..)) => 5,
            Self::NotEverywhere { .. } => 6,
            _ => 1,
        };
        ExitCode::from(code)
    }

    /// Returns the error as one line of JSON.
    pub(crate) fn to_json(&self) -> String {
        let report = match self {
            Self::Client(ClientError::Refused(page)) => Report {
                kind: page.kind.as_str(),
                message: page.message.clone(),
                remedy: Some(&page.remedy),
                problems: &page.problems,
            },
            Self::Problems(problems) => Report {
                kind: ErrorKind::Invalid.as_str(),
                message: "the configuration has problems".into(),
                remedy: Some("mend each problem"),
                problems: &problems.0,
            },
            _ => Report {
                kind: self.kind(),
                message: self.to_string(),
                remedy: None,
                problems: &[],
            },
        };
        // A report consists of texts only, which always serialise.
        serde_json::to_string(&report).unwrap_or_default()
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::Unsettled(..) => ErrorKind::Unknown.as_str(),
            Self::Client(ClientError::Unreachable(..) | ClientError::ResponseLost(..)) => {
                "unreachable"
            }
            Self::NotEverywhere { .. } => "not_everywhere",
            _ => "failed",
        }
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
