//! One upstream as the call path sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use member::{Record, UpstreamState};
use model::{DomainName, Incarnation, RegionName, VmId};
use tokio::time::Instant;

/// What calls of this daemon observe of an upstream. Outlives snapshots.
#[derive(Debug, Default)]
pub struct Observed {
    /// Calls in flight from this daemon.
    pub in_flight: AtomicU32,
}

/// An upstream that takes calls.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// VM that it runs on.
    pub vm: VmId,
    /// Start of the daemon beside it.
    pub incarnation: Incarnation,
    /// Address of the gate beside it.
    pub gate: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is in its cold start.
    pub warming: bool,
    /// When this daemon first saw it take calls.
    pub since: Instant,
    /// What calls observe.
    pub observed: Arc<Observed>,
}

impl Upstream {
    /// Returns the upstream of `record`: `known` itself if nothing changed, else one with the
    /// observations of `known` if it is the same one.
    pub(crate) fn of(record: &Record, known: Option<&Arc<Self>>) -> Arc<Self> {
        let same =
            known.filter(|known| known.vm == record.vm && known.incarnation == record.incarnation);
        if let Some(known) = same.filter(|known| known.is_like(record)) {
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
            since: same.map_or_else(Instant::now, |known| known.since),
            observed: same
                .map(|known| Arc::clone(&known.observed))
                .unwrap_or_default(),
        })
    }

    /// Returns whether `record` says of this upstream what is known.
    fn is_like(&self, record: &Record) -> bool {
        self.gate == record.gate
            && self.domain == record.domain
            && self.region == record.region
            && self.slots == record.slots
            && self.warming == (record.state == UpstreamState::Warming)
    }
}
