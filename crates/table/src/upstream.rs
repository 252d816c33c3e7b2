//! Upstream state used by the call path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use member::{Record, UpstreamState};
use model::{DomainName, Incarnation, RegionName, VmId};
use tokio::time::Instant;

/// Counters that the local daemon's calls maintain for an upstream. Shared between snapshots.
#[derive(Debug, Default)]
pub struct UpstreamStats {
    /// Calls in flight from the local daemon.
    pub in_flight: AtomicU32,
}

/// An upstream that accepts calls.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// VM that the upstream runs on.
    pub vm: VmId,
    /// Incarnation of the upstream's daemon.
    pub incarnation: Incarnation,
    /// Address of the gate of the upstream's daemon.
    pub gate: SocketAddr,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the VM.
    pub region: RegionName,
    /// Number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is in its slow start.
    pub warming: bool,
    /// Time at which the local daemon first saw the upstream accept calls.
    pub first_seen: Instant,
    /// Counters maintained by calls.
    pub stats: Arc<UpstreamStats>,
}

impl Upstream {
    /// Returns the upstream of `record`: `known` itself if it is unchanged, otherwise a new one that keeps
    /// `first_seen` and the counters of `known` if it is the same incarnation on the same VM.
    pub(crate) fn from_record(record: &Record, known: Option<&Arc<Self>>) -> Arc<Self> {
        let same =
            known.filter(|known| known.vm == record.vm && known.incarnation == record.incarnation);
        if let Some(known) = same.filter(|known| known.matches(record)) {
            return Arc::clone(known);
        }
        Arc::new(Self {
            vm: record.vm.clone(),
            incarnation: record.incarnation,
            gate: record.gate,
            domain: record.domain.clone(),
            region: record.region.clone(),
            slots: record.slots,
            warming: record.state == UpstreamState::Warming,
            first_seen: same.map_or_else(Instant::now, |known| known.first_seen),
            stats: same
                .map(|known| Arc::clone(&known.stats))
                .unwrap_or_default(),
        })
    }

    /// Returns whether `record` has the same state and settings as this upstream.
    fn matches(&self, record: &Record) -> bool {
        self.gate == record.gate
            && self.domain == record.domain
            && self.region == record.region
            && self.slots == record.slots
            && self.warming == (record.state == UpstreamState::Warming)
    }
}
