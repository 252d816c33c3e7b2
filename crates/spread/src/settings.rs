//! Settings of a node.

use std::net::SocketAddr;

use model::{DomainName, Millis, Secret, VmId};

/// Settings of the node of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// VM of this daemon.
    pub vm: VmId,
    /// Failure domain of this daemon.
    pub domain: DomainName,
    /// Fleet addresses of other daemons, contacted when the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Key shared by all daemons of the fleet.
    pub key: Secret,
    /// Maximum number of direct children.
    pub fanout: usize,
    /// Number of relays in each failure domain.
    pub relays: u32,
    /// Duration of a relay's lease.
    pub lease: Millis,
    /// Interval between beacons on a link.
    pub beacon: Millis,
    /// Time without a beacon after which a link is closed.
    pub silence: Millis,
    /// Grace period between the loss of a link and the expiry of its daemon.
    pub grace: Millis,
    /// Mean interval between comparisons with a random peer.
    pub compare: Millis,
}
