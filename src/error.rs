//! Errors of the command line, and their exit codes.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use admin::{ClientError, ErrorKind};
use model::{AcceptId, Problem, Problems, Version};
use serde::Serialize;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A file cannot be read.
    #[error("`{0}` cannot be read ({1}); give an existing file, or `-` for standard input")]
    Read(PathBuf, io::Error),
    /// Standard input or output failed.
    #[error("standard input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The configuration is invalid.
    #[error("the configuration has problems; mend each:\n{0}")]
    Problems(Problems),
    /// The configuration cannot be checked.
    #[error(transparent)]
    Check(ledger::Error),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] daemon::SettingsError),
    /// The daemon did not start.
    #[error("settings `{0}`: {1}")]
    Spawn(PathBuf, daemon::SpawnError),
    /// A request to the daemon failed.
    #[error("{}", describe(.0))]
    Client(#[from] ClientError),
    /// The response to an accept was lost, so its outcome is unknown.
    #[error("{1}; it is unknown whether it was accepted: repeat the command with --accept-id {0}")]
    OutcomeUnknown(AcceptId, ClientError),
    /// The version was not in force on every daemon in time.
    #[error(
        "version {version} is accepted but not yet in force everywhere; \
         see `sardinestall status`\n{}",
        lag.join("\n")
    )]
    NotConverged {
        /// Accepted version.
        version: Version,
        /// Lines that describe the lagging daemons, with the reasons as far as known.
        lag: Vec<String>,
    },
    /// The token is empty.
    #[error("the token is empty; write it on standard input")]
    EmptyToken,
    /// The command to print the manual page of does not exist.
    #[error("there is no command `{0}`; see `sardinestall help`")]
    UnknownCommand(String),
    /// The result cannot be written as JSON.
    #[error("the result cannot be written as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The demo did not start.
    #[cfg(feature = "demo")]
    #[error("the demo did not start: {0}")]
    Demo(String),
}

/// JSON form of an error, for programs.
#[derive(Debug, Serialize)]
struct ErrorReport<'a> {
    kind: &'static str,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    remedy: Option<&'a str>,
    #[serde(skip_serializing_if = "<[Problem]>::is_empty")]
    problems: &'a [Problem],
}

impl Error {
    /// Returns the exit code, which identifies the kind of failure.
    pub(crate) fn exit_code(&self) -> ExitCode {
        let code = match self {
            Self::Problems(_) => 3,
            Self::Client(ClientError::Refused(refusal)) => match refusal.kind {
                ErrorKind::Unknown => 4,
                _ => 3,
            },
            Self::OutcomeUnknown(..) => 4,
            Self::Client(ClientError::Unreachable(..) | ClientError::ResponseLost(..)) => 5,
            Self::NotConverged { .. } => 6,
            _ => 1,
        };
        ExitCode::from(code)
    }

    /// Returns the error as one line of JSON.
    pub(crate) fn to_json(&self) -> String {
        let report = match self {
            Self::Client(ClientError::Refused(refusal)) => ErrorReport {
                kind: refusal.kind.as_str(),
                message: refusal.message.clone(),
                remedy: Some(&refusal.remedy),
                problems: &refusal.problems,
            },
            Self::Problems(problems) => ErrorReport {
                kind: ErrorKind::Invalid.as_str(),
                message: "the configuration has problems".into(),
                remedy: Some("mend each problem"),
                problems: &problems.0,
            },
            _ => ErrorReport {
                kind: self.kind(),
                message: self.to_string(),
                remedy: None,
                problems: &[],
            },
        };
        // A report consists of strings, whose serialisation does not fail.
        serde_json::to_string(&report).unwrap_or_default()
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::OutcomeUnknown(..) => ErrorKind::Unknown.as_str(),
            Self::Client(ClientError::Unreachable(..) | ClientError::ResponseLost(..)) => {
                "unreachable"
            }
            Self::NotConverged { .. } => "not_everywhere",
            _ => "failed",
        }
    }
}

/// Formats a client error, with each problem of a refused configuration on a separate line.
fn describe(error: &ClientError) -> String {
    let mut text = error.to_string();
    if let ClientError::Refused(refusal) = error {
        for problem in &refusal.problems {
            text.push_str(&format!("\n{problem}"));
        }
    }
    text
}
