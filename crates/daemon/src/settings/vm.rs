//! Section `vm`.

use model::{DomainName, Rate, RegionName, ServiceName, VmId};
use serde::Deserialize;

/// The VM that the daemon runs on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Identifier, unique in the fleet.
    pub id: VmId,
    /// Failure domain.
    pub failure_domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Rate of the VM's network link, which limits concurrent large bodies; unlimited if absent.
    #[serde(default)]
    pub link: Option<Rate>,
    /// Service of the local upstream; calls that originate on the VM carry it as their caller.
    #[serde(default)]
    pub service: Option<ServiceName>,
}
