//! Settings of the distribution.

use std::net::SocketAddr;

use model::{DomainName, Millis, Secret, VmId};

/// Settings of the distribution in one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VM of this daemon.
    pub vm: VmId,
    /// Failure domain of this daemon.
    pub domain: DomainName,
    /// Fleet addresses of other daemons, tried when the store is out.
    pub seeds: Vec<SocketAddr>,
    /// Key that every daemon of the fleet shares.
    pub key: Secret,
    /// Daemons that may follow this one directly.
    pub fanout: usize,
    /// Relays in each failure domain.
    pub relays: u32,
    /// Time that a relay's lease lives without renewal.
    pub lease: Millis,
    /// Time between two beacons on a link.
    pub beacon: Millis,
    /// Time without a beacon after which a link is given up.
    pub silence: Millis,
    /// Time after the loss of a link until the daemon behind it is expired.
    pub grace: Millis,
    /// Mean time between two comparisons with a random peer.
    pub compare: Millis,
}
