//! Settings of a daemon, from TOML.

mod check;
mod fleet;
mod listen;
mod log;
mod operator;
mod read;
mod store;
mod upstream;
mod vm;

use serde::Deserialize;

pub use check::SettingsProblem;
pub use fleet::FleetSettings;
pub use listen::ListenSettings;
pub use log::{LogFormat, LogLevel, LogOutput, LogSettings};
pub use operator::OperatorSettings;
pub use store::{StoreProtocol, StoreSettings};
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
    /// Every key with its default and its meaning, as `sardinestall settings` prints them.
    pub const COMMENTED: &str = include_str!("default.toml");
}
