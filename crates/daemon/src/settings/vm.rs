//! Section `vm`.

use model::{DomainName, Rate, RegionName, ServiceName, VmId};
use serde::Deserialize;

/// The VM that the daemon runs on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Id, unique in the fleet.
    pub id: VmId,
    /// Failure domain.
    pub failure_domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Rate of the VM's link, by which large bodies are admitted; any number of them when absent.
    #[serde(default)]
    pub link: Option<Rate>,
    /// Service of the upstream, which calls that begin on the VM name as their caller.
    #[serde(default)]
    pub service: Option<ServiceName>,
}
