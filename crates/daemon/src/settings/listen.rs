//! Section `listen`.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;

/// Addresses to listen on; port 0 takes a free port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Calls of local callers.
    pub caller: SocketAddr,
    /// Calls from other daemons to the local upstream.
    pub gate: SocketAddr,
    /// Distribution between daemons.
    pub fleet: SocketAddr,
    /// Administration, health and metrics.
    pub admin: SocketAddr,
    /// Announcements of the local upstream.
    pub announce: SocketAddr,
    /// Readiness checks, if the platform needs them at a separate address.
    pub ready: Option<SocketAddr>,
    /// Address at which other daemons reach the gate, if it differs from the listen address.
    pub advertise_gate: Option<SocketAddr>,
    /// Address at which other daemons reach the fleet port, if it differs from the listen address.
    pub advertise_fleet: Option<SocketAddr>,
}

const fn loopback(port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            caller: loopback(7400),
            gate: loopback(7401),
            fleet: loopback(7402),
            admin: loopback(7403),
            announce: loopback(7404),
            ready: None,
            advertise_gate: None,
            advertise_fleet: None,
        }
    }
}
