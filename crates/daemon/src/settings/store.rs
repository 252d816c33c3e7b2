//! Section `store`.

use std::net::SocketAddr;

use serde::Deserialize;

/// The platform's key-value service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}
