//! Metrics of a follower.

use std::sync::Arc;

use prometheus::IntGauge;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;

use crate::node::Shared;

/// Gauges that are read when they are asked for.
pub(crate) struct State {
    version: IntGauge,
    age: IntGauge,
    members: IntGauge,
    connected: IntGauge,
    shared: Arc<Shared>,
}

fn gauge(name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(name, help)
}

impl State {
    /// Returns the gauges of the follower that shares `shared`.
    pub(crate) fn open(shared: Arc<Shared>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            version: gauge(
                "sardinestall_version_in_force",
                "Version in force here; 0 before one.",
            )?,
            age: gauge(
                "sardinestall_version_age_seconds",
                "Time since the version in force was put in force here.",
            )?,
            members: gauge(
                "sardinestall_members",
                "Daemons known that have not left or expired.",
            )?,
            connected: gauge(
                "sardinestall_connected",
                "Whether the store answers: 1 or 0.",
            )?,
            shared,
        })
    }

    fn gauges(&self) -> [&IntGauge; 4] {
        [&self.version, &self.age, &self.members, &self.connected]
    }
}

impl Collector for State {
    fn desc(&self) -> Vec<&Desc> {
        self.gauges()
            .into_iter()
            .flat_map(Collector::desc)
            .collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let members = self.shared.directory.table().members().live();
        self.version
            .set(self.shared.installer.version().get() as i64);
        self.age.set(self.shared.installer.age().as_secs() as i64);
        self.members.set(members as i64);
        self.connected
            .set(i64::from(*self.shared.answering.borrow()));
        self.gauges()
            .into_iter()
            .flat_map(Collector::collect)
            .collect()
    }
}
