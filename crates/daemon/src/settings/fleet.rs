//! Section `fleet`.

use std::net::SocketAddr;
use std::path::PathBuf;

use model::{Millis, Secret};
use serde::Deserialize;

/// The other daemons.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Key that every daemon of the fleet shares.
    #[serde(default = "FleetSettings::no_key")]
    pub key: Secret,
    /// File that holds the key, relative to the settings; instead of `key`.
    #[serde(default)]
    pub key_file: Option<PathBuf>,
    /// Fleet addresses of other daemons, tried when the store is out.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Daemons that may follow this one directly.
    #[serde(default = "FleetSettings::default_fanout")]
    pub fanout: usize,
    /// Relays in each failure domain.
    #[serde(default = "FleetSettings::default_relays")]
    pub relays: u32,
    /// Time that a relay's lease lives without renewal.
    #[serde(default = "FleetSettings::default_lease")]
    pub lease: Millis,
    /// Time between two beacons on a link.
    #[serde(default = "FleetSettings::default_beacon")]
    pub beacon: Millis,
    /// Time without a beacon after which a link is given up.
    #[serde(default = "FleetSettings::default_silence")]
    pub silence: Millis,
    /// Time after the loss of a link until the daemon behind it is expired.
    #[serde(default = "FleetSettings::default_grace")]
    pub grace: Millis,
    /// Mean time between two comparisons with a random peer.
    #[serde(default = "FleetSettings::default_compare")]
    pub compare: Millis,
    /// Retries that a service's calls may take, in percent of the calls, where the store's
    /// configuration does not say.
    #[serde(default = "FleetSettings::default_retry_percent")]
    pub retry_percent: u32,
    /// Retries that all daemons together may take at once beside that, for each service.
    #[serde(default = "FleetSettings::default_retry_slack")]
    pub retry_slack: u32,
}

impl FleetSettings {
    /// Returns the defaults for a fleet that shares `key`.
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
