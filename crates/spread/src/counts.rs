//! How many daemons serve which version, and which of them lag, summed up the tree.

use std::collections::BTreeMap;

use model::{Version, VmId};
use serde::{Deserialize, Serialize};
use wire::fleet;

/// Most lagging daemons named in one report; the counts cover all.
pub(crate) const MAX_LAGS: usize = 16;

/// Daemons by the version that they serve.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts(pub BTreeMap<Version, u32>);

impl Counts {
    /// Adds `daemons` that serve `version`.
    pub fn add(&mut self, version: Version, daemons: u32) {
        *self.0.entry(version).or_default() += daemons;
    }

    /// Adds all of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (version, daemons) in &other.0 {
            self.add(*version, *daemons);
        }
    }
}

/// A daemon that does not serve the newest version, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lag {
    /// VM of the daemon.
    pub vm: VmId,
    /// Version that it serves.
    pub version: Version,
    /// Why it does not serve a newer one.
    pub reason: String,
}

/// What a daemon reports of itself and the daemons below it.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Report {
    pub(crate) counts: Counts,
    pub(crate) lags: Vec<Lag>,
}

impl Report {
    /// Adds all of `other`; of the lagging daemons only as many as a report may name.
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

/// What a relay reports of the daemons below it, kept in the store under its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Daemons by version, the relay among them.
    pub versions: BTreeMap<Version, u32>,
    /// Some of the daemons that lag.
    #[serde(default)]
    pub lags: Vec<Lag>,
}
