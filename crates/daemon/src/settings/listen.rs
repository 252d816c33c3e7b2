//! Section `listen`.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Deserialize;

/// Addresses to listen on; port 0 takes a free one.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListenSettings {
    /// Calls of local callers.
    pub caller: SocketAddr,
    /// Calls from other daemons to the upstream beside this one.
    pub gate: SocketAddr,
    /// Distribution between daemons.
    pub fleet: SocketAddr,
    /// Administration, health and metrics.
    pub admin: SocketAddr,
    /// Announcements of the upstream beside this daemon.
    pub announce: SocketAddr,
    /// Readiness, where the platform asks for it at an address of its own.
    pub ready: Option<SocketAddr>,
    /// Address at which others reach the gate, where it is not the one listened on.
    pub advertise_gate: Option<SocketAddr>,
    /// Address at which others reach the fleet port, where it is not the one listened on.
    pub advertise_fleet: Option<SocketAddr>,
}

const fn local(port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

impl Default for ListenSettings {
    fn default() -> Self {
        Self {
            caller: local(7400),
            gate: local(7401),
            fleet: local(7402),
            admin: local(7403),
            announce: local(7404),
            ready: None,
            advertise_gate: None,
            advertise_fleet: None,
        }
    }
}
