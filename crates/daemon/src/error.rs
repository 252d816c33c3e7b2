//! Errors of reading the settings and of starting a daemon.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::SettingsProblem;

/// An error of reading the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings `{path}` cannot be read ({error}); give an existing file with --settings")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        error: io::Error,
    },
    /// The file is not valid TOML, or has an unknown key or an invalid value.
    #[error("settings `{path}` are invalid; fix each problem:{}", list(problems))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
}

/// Returns the problems, each preceded by a line break.
fn list(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n{problem}"))
        .collect()
}

/// An error of starting a daemon.
#[derive(Debug, thiserror::Error)]
pub enum SpawnError {
    /// An address cannot be listened on.
    #[error(
        "`listen.{key}`: cannot listen on {address} ({error}); free the address or choose another"
    )]
    Bind {
        /// Key within the section `listen` of the settings.
        key: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// A listener failed after it was bound.
    #[error("a listener failed ({0}); start the daemon again")]
    Listener(#[from] io::Error),
    /// A server of the call path did not start.
    #[error(transparent)]
    Call(#[from] call::ServerError),
    /// The distribution node did not start.
    #[error(transparent)]
    Spread(#[from] spread::SpawnError),
    /// The follower of the store did not start.
    #[error(transparent)]
    Follow(#[from] follow::SpawnError),
    /// A metric cannot be registered, because its name is already in use.
    #[error("metrics cannot be registered ({0}); this is a defect, report it")]
    Metrics(#[from] prometheus::Error),
}
