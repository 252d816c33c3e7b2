//! Metrics of a follower.

use std::sync::Arc;

use member::{Record, UpstreamState};
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntGauge, IntGaugeVec, Opts};

use crate::node::Shared;

/// Gauges that are updated on each collection.
pub(crate) struct FollowerMetrics {
    version: IntGauge,
    age: IntGauge,
    /// -1 before the first confirmation.
    unconfirmed: IntGauge,
    members: IntGauge,
    /// Known daemons, by the state of their upstream.
    states: IntGaugeVec,
    connected: IntGauge,
    era: IntGauge,
    shared: Arc<Shared>,
}

/// Values of the `state` label.
const STATES: [&str; 6] = ["absent", "warming", "ready", "draining", "left", "expired"];

fn state_label(record: &Record) -> &'static str {
    match record.state {
        _ if record.expired => "expired",
        UpstreamState::Absent => "absent",
        UpstreamState::Warming => "warming",
        UpstreamState::Ready => "ready",
        UpstreamState::Draining => "draining",
        UpstreamState::Left => "left",
    }
}

fn gauge(name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(name, help)
}

impl FollowerMetrics {
    /// Creates the gauges of the follower that uses `shared`.
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
            unconfirmed: gauge(
                "sardinestall_version_unconfirmed_seconds",
                "Time since the version in force was last known to be the newest; -1 if it never was.",
            )?,
            members: gauge(
                "sardinestall_members",
                "Daemons known that have not left or expired.",
            )?,
            states: IntGaugeVec::new(
                Opts::new(
                    "sardinestall_members_in_state",
                    "Daemons known, by the state of the upstream beside them.",
                ),
                &["state"],
            )?,
            connected: gauge(
                "sardinestall_connected",
                "Whether the store answers: 1 or 0.",
            )?,
            era: gauge(
                "sardinestall_store_era",
                "Number of times that the store came back from a copy, as far as this daemon knows.",
            )?,
            shared,
        })
    }

    fn gauges(&self) -> [&IntGauge; 6] {
        [
            &self.version,
            &self.age,
            &self.unconfirmed,
            &self.members,
            &self.connected,
            &self.era,
        ]
    }
}

impl Collector for FollowerMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let gauges = self.gauges().into_iter().flat_map(Collector::desc);
        gauges.chain(self.states.desc()).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let members = self.shared.directory.table().members();
        for state in STATES {
            self.states.with_label_values(&[state]).set(0);
        }
        for record in members.all() {
            self.states.with_label_values(&[state_label(&record)]).inc();
        }
        self.version
            .set(self.shared.installer.version().get() as i64);
        self.age.set(self.shared.installer.age().as_secs() as i64);
        let unconfirmed = self.shared.config_unconfirmed();
        self.unconfirmed
            .set(unconfirmed.map_or(-1, |age| age.as_secs() as i64));
        self.members.set(members.live() as i64);
        self.connected
            .set(i64::from(*self.shared.store_up.borrow()));
        self.era.set(self.shared.store.era().borrow().0 as i64);
        let gauges = self.gauges().into_iter().flat_map(Collector::collect);
        gauges.chain(self.states.collect()).collect()
    }
}
