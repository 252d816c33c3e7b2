//! Section `log`.

use serde::Deserialize;

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Lowest severity of the lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that need an operator's action.
    Error,
    /// Failures that the daemon recovers from.
    Warning,
    /// Changes of state.
    Info,
    /// Individual decisions.
    Debug,
}

/// Stream that the lines are written to.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
}

/// Logging.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest severity of the lines that are written.
    pub level: LogLevel,
    /// Stream that the lines are written to.
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
