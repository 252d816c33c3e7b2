//! Children of this daemon in the distribution tree.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use member::LinkId;
use model::{DomainName, Version, VmId, lock};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::counts::{Lag, Report};

/// Time after which a child with an older version than this daemon is reported as lagging.
const LAG_TIMEOUT: Duration = Duration::from_secs(2);

/// Daemon that follows this one directly.
#[derive(Debug)]
pub(crate) struct Child {
    pub(crate) vm: VmId,
    pub(crate) domain: DomainName,
    /// Fleet address.
    pub(crate) address: String,
    /// Version in force at the child.
    pub(crate) version: Version,
    /// Last report of the child's subtree.
    pub(crate) report: Report,
    /// Time since when the child has an older version than this daemon.
    pub(crate) behind_since: Option<Instant>,
}

/// Children by link id, at most as many as the fan-out.
#[derive(Debug, Default)]
pub(crate) struct Children(Mutex<BTreeMap<u64, Child>>);

impl Children {
    /// Adds a child if there are fewer than `fanout`.
    ///
    /// # Errors
    ///
    /// Returns the addresses of the children if the fan-out is reached.
    pub(crate) fn admit(
        &self,
        fanout: usize,
        link: LinkId,
        child: Child,
    ) -> Result<(), Vec<String>> {
        let mut children = self.lock();
        if children.len() >= fanout {
            let addresses = children.values().map(|child| child.address.clone());
            return Err(addresses.collect());
        }
        children.insert(link.0, child);
        Ok(())
    }

    /// Returns the addresses of the children.
    pub(crate) fn addresses(&self) -> Vec<String> {
        let children = self.lock();
        let addresses = children.values().map(|child| child.address.clone());
        addresses.collect()
    }

    /// Returns the number of children.
    pub(crate) fn len(&self) -> usize {
        self.lock().len()
    }

    /// Sets a child's version.
    pub(crate) fn set_version(&self, link: LinkId, version: Version) {
        if let Some(child) = self.lock().get_mut(&link.0) {
            child.version = version;
        }
    }

    /// Sets a child's report; returns whether it changed.
    pub(crate) fn set_report(&self, link: LinkId, report: Report) -> bool {
        let mut children = self.lock();
        let Some(child) = children.get_mut(&link.0) else {
            return false;
        };
        let changed = child.report != report;
        child.report = report;
        changed
    }

    /// Removes a child; returns whether there was one.
    pub(crate) fn remove(&self, link: LinkId) -> bool {
        self.lock().remove(&link.0).is_some()
    }

    /// Merges the children's reports into `report`, and adds each child that has been behind `version`
    /// for longer than [`LAG_TIMEOUT`].
    pub(crate) fn add_to_report(&self, report: &mut Report, version: Version, now: Instant) {
        for child in self.lock().values_mut() {
            report.merge(&child.report);
            if child.version >= version {
                child.behind_since = None;
                continue;
            }
            let since = *child.behind_since.get_or_insert(now);
            let is_listed = child.report.lags.iter().any(|lag| lag.vm == child.vm);
            if now.duration_since(since) < LAG_TIMEOUT || is_listed {
                continue;
            }
            let mut lagging = Report::default();
            lagging.lags.push(Lag {
                vm: child.vm.clone(),
                version: child.version,
                reason: "it has not confirmed the version that was sent to it".into(),
            });
            report.merge(&lagging);
        }
    }

    /// Returns the link of a random child in `domain`.
    pub(crate) fn random_in(&self, domain: &DomainName) -> Option<LinkId> {
        let children = self.lock();
        let inside = children.iter().filter(|(_, child)| child.domain == *domain);
        inside
            .map(|(link, _)| LinkId(*link))
            .choose(&mut rand::rng())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Child>> {
        lock(&self.0)
    }
}
