//! The daemons that follow this one.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use member::LinkId;
use model::{DomainName, Version, VmId, lock};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::counts::{Lag, Report};

/// Time behind this daemon's version after which a child is reported as lagging.
const LAG_AFTER: Duration = Duration::from_secs(2);

/// A daemon that follows this one.
#[derive(Debug)]
pub(crate) struct Child {
    pub(crate) vm: VmId,
    pub(crate) domain: DomainName,
    /// Its fleet address.
    pub(crate) address: String,
    /// Version that it serves.
    pub(crate) version: Version,
    /// What it reported of itself and the daemons below it.
    pub(crate) report: Report,
    /// When it began to be behind this daemon.
    pub(crate) behind: Option<Instant>,
}

/// The daemons that follow this one, at most as many as the fan-out.
#[derive(Debug, Default)]
pub(crate) struct Children(Mutex<BTreeMap<u64, Child>>);

impl Children {
    /// Takes a child in if there are fewer than `fanout`.
    ///
    /// # Errors
    ///
    /// Returns the addresses of the children if there is no room.
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

    /// Replaces a child's version; returns whether it is another.
    pub(crate) fn set_version(&self, link: LinkId, version: Version) {
        if let Some(child) = self.lock().get_mut(&link.0) {
            child.version = version;
        }
    }

    /// Replaces what a child reported; returns whether it is news.
    pub(crate) fn set_report(&self, link: LinkId, report: Report) -> bool {
        let mut children = self.lock();
        let Some(child) = children.get_mut(&link.0) else {
            return false;
        };
        let changed = child.report != report;
        child.report = report;
        changed
    }

    /// Forgets a child; returns whether there was one.
    pub(crate) fn dismiss(&self, link: LinkId) -> bool {
        self.lock().remove(&link.0).is_some()
    }

    /// Adds what the children reported to `report`, and the children behind `version` for long.
    pub(crate) fn add_to(&self, report: &mut Report, version: Version, now: Instant) {
        for child in self.lock().values_mut() {
            report.merge(&child.report);
            if child.version >= version {
                child.behind = None;
                continue;
            }
            let since = *child.behind.get_or_insert(now);
            let named = child.report.lags.iter().any(|lag| lag.vm == child.vm);
            if now.duration_since(since) < LAG_AFTER || named {
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
    pub(crate) fn random(&self, domain: &DomainName) -> Option<LinkId> {
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
