//! Section `log`.

use serde::Deserialize;

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Least important lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the daemon deals with itself.
    Warning,
    /// Changes of state.
    Info,
    /// Every decision.
    Debug,
}

/// Where the lines go.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Logs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least important lines that are written.
    pub level: LogLevel,
    /// Where the lines go.
    pub output: LogOutput,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Terminal,
            level: LogLevel::Info,
            output: LogOutput::Stderr,
        }
    }
}
