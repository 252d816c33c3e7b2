//! Spreads the crashes of upstreams through the membership.

use std::sync::Arc;

use call::Crashes;
use member::Sequence;
use table::Table;

/// Publishes the requests that were in flight when the local upstream crashed in the membership record of this daemon,
/// and records those that other daemons publish.
pub(crate) async fn share_crashes(crashes: Arc<Crashes>, table: Arc<Table>) {
    let mut local = crashes.subscribe();
    let mut membership = table.members().subscribe();
    let mut seen = Sequence::default();
    loop {
        local.mark_unchanged();
        membership.mark_unchanged();
        let (records, last) = table.members().since(seen, |_| false);
        seen = last;
        crashes.merge(records.iter().flat_map(|record| &record.crashes));
        let published = crashes.published();
        if published != table.members().own().crashes {
            table.announce(|record| record.crashes = published);
        }
        let changed = tokio::select! {
            changed = membership.changed() => changed,
            changed = local.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}
