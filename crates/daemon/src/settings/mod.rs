//! Settings of a daemon, from TOML.

mod fleet;
mod listen;
mod log;
mod operator;
mod store;
mod upstream;
mod vm;

use std::fs;
use std::path::Path;

use serde::Deserialize;

use crate::SettingsError;

pub use fleet::FleetSettings;
pub use listen::ListenSettings;
pub use log::{LogFormat, LogLevel, LogSettings};
pub use operator::OperatorSettings;
pub use store::StoreSettings;
pub use upstream::UpstreamSettings;
pub use vm::VmSettings;

/// Settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmSettings,
    /// Addresses to listen on.
    #[serde(default)]
    pub listen: ListenSettings,
    /// The other daemons.
    pub fleet: FleetSettings,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The upstream beside the daemon.
    #[serde(default)]
    pub upstream: UpstreamSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Operators who may change the configuration.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
}

impl Settings {
    /// Reads settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Names the file, the key and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.into(),
            error,
        })?;
        toml::from_str(&text).map_err(|error| SettingsError::Invalid {
            path: path.into(),
            message: error.to_string().trim_end().into(),
        })
    }
}
