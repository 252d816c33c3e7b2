//! Settings of a daemon, read from a TOML file.

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
    /// Distribution between daemons, and retry budgets.
    pub fleet: FleetSettings,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The local upstream.
    #[serde(default)]
    pub upstream: UpstreamSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Operators who may change the configuration.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
}

impl Settings {
    /// Commented TOML with the default and the meaning of every key, as `sardinestall settings`
    /// prints it.
    pub const COMMENTED: &str = include_str!("default.toml");
}
