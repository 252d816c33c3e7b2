//! Metrics of the administration.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the administration.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Accepts and rollbacks by result.
    accepts: IntCounterVec,
    /// Calls of the API by status.
    requests: IntCounterVec,
    /// Daemons known that have not left or expired.
    members: IntGauge,
    /// Whether this daemon is below a relay or one itself.
    connected: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if `registry` has them already.
    pub fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let accepts = Opts::new(
            "sardinestall_accepts_total",
            "Accepts and rollbacks asked of this daemon, by result.",
        );
        let requests = Opts::new(
            "sardinestall_admin_requests_total",
            "Calls of the administration API, by status code.",
        );
        let metrics = Self {
            accepts: IntCounterVec::new(accepts, &["result"])?,
            requests: IntCounterVec::new(requests, &["code"])?,
            members: IntGauge::new(
                "sardinestall_members",
                "Daemons known that have not left or expired.",
            )?,
            connected: IntGauge::new(
                "sardinestall_connected",
                "Whether this daemon is connected to a relay or is one: 1 or 0.",
            )?,
        };
        let collectors: [Box<dyn Collector>; 4] = [
            Box::new(metrics.accepts.clone()),
            Box::new(metrics.requests.clone()),
            Box::new(metrics.members.clone()),
            Box::new(metrics.connected.clone()),
        ];
        for collector in collectors {
            registry.register(collector)?;
        }
        Ok(metrics)
    }

    /// Counts an accept.
    pub(crate) fn accepted(&self, result: &str) {
        self.accepts.with_label_values(&[result]).inc();
    }

    /// Counts a call of the API.
    pub(crate) fn requested(&self, code: http::StatusCode) {
        self.requests.with_label_values(&[code.as_str()]).inc();
    }

    /// Sets the gauges.
    pub(crate) fn observe(&self, members: u32, connected: bool) {
        self.members.set(i64::from(members));
        self.connected.set(i64::from(connected));
    }
}
