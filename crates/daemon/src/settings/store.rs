//! Section `store`.

use std::net::SocketAddr;

use model::Millis;
use serde::Deserialize;

/// Protocol of the key-value service, which also determines how versions are distributed.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreProtocol {
    /// gRPC. The store holds the chain of accepted versions, which relays distribute to the
    /// daemons.
    Grpc,
    /// The platform's HTTP API. The store holds the newest configuration, which relays watch and
    /// the other daemons read from relays or from the store.
    Platform,
}

/// The platform's key-value service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
    /// Protocol.
    #[serde(default = "StoreSettings::default_protocol")]
    pub protocol: StoreProtocol,
    /// Time to live of this daemon's membership record in the store without renewal; used with
    /// the protocol `platform`.
    #[serde(default = "StoreSettings::default_lease")]
    pub lease: Millis,
}

impl StoreSettings {
    /// Returns the default settings for a gRPC service at `address`.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            protocol: Self::default_protocol(),
            lease: Self::default_lease(),
        }
    }

    const fn default_protocol() -> StoreProtocol {
        StoreProtocol::Grpc
    }

    const fn default_lease() -> Millis {
        Millis::new(8_000)
    }
}
