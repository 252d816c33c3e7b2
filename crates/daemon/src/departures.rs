//! Keeps the departures of the upstream beyond the life of this daemon.

use std::sync::Arc;

use call::Backend;
use table::Table;

/// Takes over the departures that earlier daemons on this VM recorded in their membership records.
pub(crate) async fn adopt_departures(backend: Arc<Backend>, table: Arc<Table>) {
    let mut membership = table.members().subscribe();
    loop {
        membership.mark_unchanged();
        backend.adopt(&table.members().own().departures);
        if membership.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the departures in the membership record of this daemon, and records that they are kept once `keep`, which
/// is given the counter of the record, has ended.
pub(crate) async fn keep_departures(
    backend: Arc<Backend>,
    table: Arc<Table>,
    keep: impl AsyncFn(u64),
) {
    loop {
        let (departures, recorded) = backend.unkept().await;
        table.add_departures(&departures);
        keep(table.members().own().counter).await;
        backend.mark_kept(recorded);
    }
}
