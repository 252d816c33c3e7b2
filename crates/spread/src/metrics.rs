//! Prometheus metrics of the node; sent and received bytes are computed from the encoded messages.

use prometheus::{IntCounter, IntGauge, Registry};
use prost::Message;

/// Size of the gRPC prefix of each message.
const PREFIX_BYTES: usize = 5;

/// Metrics of the node.
#[derive(Debug, Clone)]
pub(crate) struct NodeMetrics {
    sent: IntCounter,
    received: IntCounter,
    /// Version in force.
    pub(crate) version: IntGauge,
    /// Number of direct children.
    pub(crate) children: IntGauge,
}

impl NodeMetrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a metric's definition is invalid.
    pub(crate) fn open() -> Result<Self, prometheus::Error> {
        Ok(Self {
            sent: IntCounter::new(
                "sardinestall_fleet_sent_bytes_total",
                "Bytes of messages sent to other daemons.",
            )?,
            received: IntCounter::new(
                "sardinestall_fleet_received_bytes_total",
                "Bytes of messages received from other daemons.",
            )?,
            version: IntGauge::new("sardinestall_version_in_force", "Version in force.")?,
            children: IntGauge::new(
                "sardinestall_fleet_children",
                "Daemons that follow this one directly.",
            )?,
        })
    }

    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if the metrics are already registered.
    pub(crate) fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        registry.register(Box::new(self.sent.clone()))?;
        registry.register(Box::new(self.received.clone()))?;
        registry.register(Box::new(self.version.clone()))?;
        registry.register(Box::new(self.children.clone()))
    }

    /// Counts a sent message.
    pub(crate) fn sent(&self, message: &impl Message) {
        self.sent.inc_by(size(message));
    }

    /// Counts a received message.
    pub(crate) fn received(&self, message: &impl Message) {
        self.received.inc_by(size(message));
    }
}

fn size(message: &impl Message) -> u64 {
    (message.encoded_len() + PREFIX_BYTES) as u64
}
