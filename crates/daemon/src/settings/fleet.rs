//! Section `fleet`.

use std::net::SocketAddr;
use std::path::PathBuf;

use model::{Millis, Secret};
use serde::Deserialize;

/// Distribution between daemons, and retry budgets.
///
/// With the store protocol `platform`, only the key, `compare`, `retry_percent` and `retry_slack` take
/// effect; with `grpc`, all but the last two.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Key shared by all daemons of the fleet.
    #[serde(default = "FleetSettings::no_key")]
    pub key: Secret,
    /// File with the key, in place of `key`; relative to the directory of the settings file.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Fleet addresses of other daemons, used while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of daemons that follow this one directly.
    #[serde(default = "FleetSettings::default_fanout")]
    pub fanout: usize,
    /// Number of relays in each failure domain.
    #[serde(default = "FleetSettings::default_relays")]
    pub relays: u32,
    /// Time to live of a relay's lease without renewal.
    #[serde(default = "FleetSettings::default_lease")]
    pub lease: Millis,
    /// Interval between beacons on a link.
    #[serde(default = "FleetSettings::default_beacon")]
    pub beacon: Millis,
    /// Time without a beacon after which a link is closed.
    #[serde(default = "FleetSettings::default_silence")]
    pub silence: Millis,
    /// Time between the loss of a link and the expiry of the daemon at its other end.
    #[serde(default = "FleetSettings::default_grace")]
    pub grace: Millis,
    /// Mean interval between comparisons with a random peer.
    #[serde(default = "FleetSettings::default_compare")]
    pub compare: Millis,
    /// Retry budget of a service in percent of its calls, if the configuration in the store sets
    /// none.
    #[serde(default = "FleetSettings::default_retry_percent")]
    pub retry_percent: u32,
    /// Burst of retries per service, beyond that percentage, that all daemons share.
    #[serde(default = "FleetSettings::default_retry_slack")]
    pub retry_slack: u32,
}

impl FleetSettings {
    /// Returns the default settings with the fleet key `key`.
    pub fn with_key(key: Secret) -> Self {
        Self {
            key,
            key_file: None,
            seeds: Vec::new(),
            fanout: Self::default_fanout(),
            relays: Self::default_relays(),
            lease: Self::default_lease(),
            beacon: Self::default_beacon(),
            silence: Self::default_silence(),
            grace: Self::default_grace(),
            compare: Self::default_compare(),
            retry_percent: Self::default_retry_percent(),
            retry_slack: Self::default_retry_slack(),
        }
    }

    fn no_key() -> Secret {
        Secret::new("")
    }

    const fn default_fanout() -> usize {
        8
    }

    const fn default_relays() -> u32 {
        2
    }

    const fn default_lease() -> Millis {
        Millis::new(6_000)
    }

    const fn default_beacon() -> Millis {
        Millis::new(1_000)
    }

    const fn default_silence() -> Millis {
        Millis::new(4_000)
    }

    const fn default_grace() -> Millis {
        Millis::new(2_000)
    }

    const fn default_retry_percent() -> u32 {
        20
    }

    const fn default_retry_slack() -> u32 {
        50
    }

    const fn default_compare() -> Millis {
        Millis::new(10_000)
    }
}
