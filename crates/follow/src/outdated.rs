//! Finds entries in the store that are older than what is known of their VMs.

use std::cmp::Ordering;

use member::{Record, UpstreamState};
use model::VmId;
use store::{Entry, Revision};

use crate::members;

/// Returns the entries of VMs that drain or have left whose entry is from before that, each with its
/// revision. `entry` looks up the entry of a key.
///
/// Designed for VMs that leave while the store is away: their last write is lost, and the entry lives on
/// under a lease that the outage may have paused. A daemon that starts then would use the VM again.
pub fn outdated(
    members: &[Record],
    entry: impl Fn(&str) -> Option<Entry>,
) -> Vec<(VmId, Revision)> {
    let leaving = members
        .iter()
        .filter(|known| matches!(known.state, UpstreamState::Draining | UpstreamState::Left));
    let stored = leaving.filter_map(|known| {
        let entry = entry(&members::key(&known.vm))?;
        let stored = members::decode(&entry).ok()?;
        let is_older = known.order(&stored) == Ordering::Greater && stored.state != known.state;
        is_older.then(|| (known.vm.clone(), entry.revision))
    });
    stored.collect()
}
