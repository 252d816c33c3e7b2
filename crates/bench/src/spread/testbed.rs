//! Fleet set-up with a configuration of the design size.

use harness::{Error, Fleet};

use super::probe;
use super::workload::{TEAM, Workload};

/// A fleet and the configuration that all its daemons serve.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) fleet: Fleet,
    pub(crate) workload: Workload,
    /// Version in force on every daemon.
    pub(crate) version: u64,
}

impl Testbed {
    /// Starts `daemons` daemons in `domains` failure domains and waits until all serve the
    /// configuration generated from `seed`.
    pub(crate) async fn open(daemons: usize, domains: usize, seed: u64) -> Result<Self, Error> {
        let mut fleet = Fleet::open(&[TEAM]).await?;
        for i in 0..daemons {
            fleet.start_daemon(probe::vm_spec(i, domains)).await?;
        }
        let workload = Workload::new(seed)?;
        let config = workload.json()?;
        let accepted = fleet.accept(0, &config, &workload.accept_id()?).await?;
        let version = accepted.version.get();
        probe::wait_converged(&fleet, daemons, version).await?;
        Ok(Self {
            fleet,
            workload,
            version,
        })
    }
}
