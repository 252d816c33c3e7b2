//! The daemon: its settings, and the assembly of its components.

mod counted;
mod crashes;
mod daemon;
mod departures;
mod direct;
mod error;
mod settings;

pub use daemon::{Addresses, Daemon, StopReport};
pub use direct::{DirectDaemon, PlatformAdapters, PlatformEndpoints, ReadyCheck};
pub use error::{SettingsError, SpawnError};
pub use settings::{
    FleetSettings, ListenSettings, LogFormat, LogLevel, LogOutput, LogSettings, OperatorSettings,
    Settings, SettingsProblem, StoreProtocol, StoreSettings, UpstreamSettings, VmSettings,
};
