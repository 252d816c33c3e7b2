//! Daemon counts by version and lagging daemons, aggregated up the distribution tree.

use std::collections::BTreeMap;

use model::{Version, VmId};
use serde::{Deserialize, Serialize};
use wire::fleet;

/// Maximum number of lagging daemons listed in one report; the counts include all daemons.
pub(crate) const MAX_LAGS: usize = 16;

/// Number of daemons that serve each version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts(pub BTreeMap<Version, u32>);

impl Counts {
    /// Adds `daemons` to the count of `version`.
    pub fn add(&mut self, version: Version, daemons: u32) {
        *self.0.entry(version).or_default() += daemons;
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (version, daemons) in &other.0 {
            self.add(*version, *daemons);
        }
    }
}

/// Daemon that does not serve the newest version, with the reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    /// VM of the daemon.
    pub vm: VmId,
    /// Version in force at the daemon.
    pub version: Version,
    /// Reason why it does not serve a newer version.
    pub reason: String,
}

/// Report of a daemon's subtree, including the daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Report {
    pub(crate) counts: Counts,
    pub(crate) lags: Vec<Lag>,
}

impl Report {
    /// Merges `other` into this report; the lagging daemons are capped at [`MAX_LAGS`].
    pub(crate) fn merge(&mut self, other: &Self) {
        self.counts.merge(&other.counts);
        let room = MAX_LAGS.saturating_sub(self.lags.len());
        self.lags.extend(other.lags.iter().take(room).cloned());
    }

    pub(crate) fn from_wire(report: &fleet::Report) -> Self {
        let mut counts = Counts::default();
        for count in &report.counts {
            counts.add(Version::new(count.version), count.daemons);
        }
        let lags = report.lags.iter().filter_map(|lag| {
            Some(Lag {
                vm: lag.vm.parse().ok()?,
                version: Version::new(lag.version),
                reason: lag.reason.clone(),
            })
        });
        Self {
            counts,
            lags: lags.take(MAX_LAGS).collect(),
        }
    }

    pub(crate) fn to_wire(&self) -> fleet::Report {
        let counts = self.counts.0.iter().map(|(version, daemons)| fleet::Count {
            version: version.get(),
            daemons: *daemons,
        });
        let lags = self.lags.iter().map(|lag| fleet::Lag {
            vm: lag.vm.to_string(),
            version: lag.version.get(),
            reason: lag.reason.clone(),
        });
        fleet::Report {
            counts: counts.collect(),
            lags: lags.collect(),
        }
    }
}

/// Summary of a relay's subtree, kept in the store under the relay's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of daemons that serve each version, including the relay.
    pub versions: BTreeMap<Version, u32>,
    /// Lagging daemons; the list is capped.
    #[serde(default)]
    pub lags: Vec<Lag>,
}
