//! Metrics of the administration API.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the administration API.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Number of accepts and rollbacks by result.
    accepts: IntCounterVec,
    /// Number of API calls by status code.
    requests: IntCounterVec,
    /// Number of known daemons that have not left or expired.
    members: IntGauge,
    /// 1 if this daemon is connected to a relay or is one, 0 otherwise.
    connected: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if `registry` already has one of them.
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

    /// Counts an accept or a rollback.
    pub(crate) fn count_accept(&self, result: &str) {
        self.accepts.with_label_values(&[result]).inc();
    }

    /// Counts a call of the API.
    pub(crate) fn count_request(&self, code: http::StatusCode) {
        self.requests.with_label_values(&[code.as_str()]).inc();
    }

    /// Sets the gauges to the current values.
    pub(crate) fn set_gauges(&self, members: u32, connected: bool) {
        self.members.set(i64::from(members));
        self.connected.set(i64::from(connected));
    }
}
