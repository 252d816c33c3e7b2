//! Why a daemon could not start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::SettingsProblem;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings `{path}` cannot be read ({error}); give an existing file with --settings")]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        error: io::Error,
    },
    /// The file is not well formed, or has an unknown key or a bad value.
    #[error("settings `{path}` cannot be used; mend each:{}", list(problems))]
    Invalid {
        /// File.
        path: PathBuf,
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
}

/// Writes each problem on a line of its own.
fn list(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n{problem}"))
        .collect()
}

/// A daemon that could not start.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// An address cannot be listened on.
    #[error(
        "`listen.{key}`: cannot listen on {address} ({error}); free the address or choose another"
    )]
    Bind {
        /// Key in the settings.
        key: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// A listener failed after it was bound.
    #[error("a listener failed ({0}); start again")]
    Listener(#[from] io::Error),
    /// The call path did not start.
    #[error(transparent)]
    Call(#[from] call::ServerError),
    /// The distribution did not start.
    #[error(transparent)]
    Spread(#[from] spread::SpawnError),
    /// Following the store did not start.
    #[error(transparent)]
    Follow(#[from] follow::SpawnError),
    /// A metric is registered twice.
    #[error("metrics cannot be registered ({0}); this is a defect, report it")]
    Metrics(#[from] prometheus::Error),
}
