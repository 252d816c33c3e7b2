//! How many daemons serve which version, summed up the tree.

use std::collections::BTreeMap;

use model::Version;
use serde::{Deserialize, Serialize};
use wire::fleet;

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

    pub(crate) fn from_wire(counts: &[fleet::Count]) -> Self {
        let mut sum = Self::default();
        for count in counts {
            sum.add(Version::new(count.version), count.daemons);
        }
        sum
    }

    pub(crate) fn to_wire(&self) -> Vec<fleet::Count> {
        let counts = self.0.iter().map(|(version, daemons)| fleet::Count {
            version: version.get(),
            daemons: *daemons,
        });
        counts.collect()
    }
}

/// What a relay reports of the daemons below it, kept in the store under its lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Daemons by version, the relay among them.
    pub versions: BTreeMap<Version, u32>,
}
