//! One daemon: its settings, and the wiring of its parts.

mod counted;
mod daemon;
mod direct;
mod error;
mod settings;

pub use daemon::{Addresses, Daemon, StopReport};
pub use direct::{DirectDaemon, Front, Ports, ReadyCheck};
pub use error::{SettingsError, SpawnError};
pub use settings::{
    FleetSettings, ListenSettings, LogFormat, LogLevel, LogOutput, LogSettings, OperatorSettings,
    Settings, SettingsProblem, StoreProtocol, StoreSettings, UpstreamSettings, VmSettings,
};
