//! Relay role: watches the head in the store on behalf of one failure domain, guarded by a lease.

use std::sync::Arc;
use std::time::Duration;

use model::Version;
use slog::{info, warn};
use store::{Expect, LeaseId, Put, Revision};
use table::FullVersion;
use tokio::time::{Instant, interval, sleep};

use crate::hub::Hub;
use crate::relays::PREFIX;
use crate::release::release;
use crate::{Summary, member_backup, mesh};

/// Time-out of one watch request to the store. The head is read after each, so that a version which the watch does not
/// report is in force everywhere within 6 s of its acceptance.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a failed store request is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of changes to fetch one by one; further behind, the whole head is fetched.
const MAX_INCREMENTAL_CHANGES: u64 = 64;

/// Time for the appointed child to receive its appointment before the links are closed.
const HANDOVER_DELAY: Duration = Duration::from_millis(100);

/// Result of claiming a relay slot.
pub(crate) enum Claim {
    /// This daemon acquired a slot.
    Acquired(RelayRole),
    /// No slot was acquired; contains the fleet addresses of the relays that hold the slots.
    Taken(Vec<String>),
}

/// Relay role of this daemon, held under a lease.
pub(crate) struct RelayRole {
    lease: LeaseId,
    slot: u32,
    /// Time until which the lease is guaranteed to be valid.
    valid_until: Instant,
}

/// Claims a vacant relay slot in this failure domain.
///
/// # Errors
///
/// Fails if the store request fails.
pub(crate) async fn claim(hub: &Hub) -> Result<Claim, store::Error> {
    let prefix = format!("{PREFIX}{}/", hub.settings.domain);
    let entries = hub.store.list(&prefix, "", hub.settings.relays).await?;
    let local = hub.address.to_string();
    let slot_key = |slot: u32| format!("{prefix}{slot}");
    let taken = |slot: &u32| entries.iter().any(|entry| entry.key == slot_key(*slot));
    if let Some(slot) = (0..hub.settings.relays).find(|slot| !taken(slot)) {
        let valid_until = Instant::now() + hub.settings.lease.duration();
        let lease = hub.store.grant(hub.settings.lease.duration()).await?;
        let value = local.clone().into_bytes();
        let put = hub
            .store
            .put(&slot_key(slot), value, Expect::Absent, Some(lease))
            .await?;
        if let Put::Done(_) = put {
            return Ok(Claim::Acquired(RelayRole {
                lease,
                slot,
                valid_until,
            }));
        }
        hub.store.revoke(lease).await?;
    }
    let addresses = entries
        .into_iter()
        .filter_map(|entry| String::from_utf8(entry.value).ok())
        .filter(|address| *address != local);
    Ok(Claim::Taken(addresses.collect()))
}

impl RelayRole {
    /// Acts as a relay until the lease is lost or the daemon stops.
    pub(crate) async fn run(self, hub: &Arc<Hub>) {
        info!(hub.log, "relay role acquired"; "slot" => self.slot);
        hub.lease_until.send_replace(Some(self.valid_until));
        hub.path.send_replace(vec![hub.settings.vm.clone()]);
        tokio::select! {
            () = watch_head(hub) => {}
            () = self.keep_lease(hub) => warn!(hub.log, "relay lease lost"),
            () = mesh::run(hub) => {}
            () = self.write_summaries(hub) => {}
            () = member_backup::run(hub, self.slot) => {}
            () = hub.shutdown.cancelled() => self.hand_over(hub).await,
        }
        hub.lease_until.send_replace(None);
    }

    /// Releases the lease and appoints a child to claim the slot.
    async fn hand_over(&self, hub: &Hub) {
        if let Err(error) = hub.store.revoke(self.lease).await {
            warn!(hub.log, "failed to release the relay lease"; "error" => %error);
            return;
        }
        hub.appoint();
        sleep(HANDOVER_DELAY).await;
    }

    /// Renews the lease; returns when the store reports that it has expired.
    ///
    /// While the store is unavailable no other daemon can claim the slot, so this daemon remains a
    /// relay.
    async fn keep_lease(&self, hub: &Hub) {
        let mut ticks = interval(hub.settings.lease.duration() / 3);
        loop {
            ticks.tick().await;
            let valid_until = Instant::now() + hub.settings.lease.duration();
            match hub.store.renew(self.lease).await {
                Ok(true) => drop(hub.lease_until.send_replace(Some(valid_until))),
                Ok(false) => return,
                Err(_) => {}
            }
        }
    }

    /// Writes the summary of this subtree to the store whenever it changes.
    async fn write_summaries(&self, hub: &Hub) {
        let key = format!("summary/{}/{}", hub.settings.domain, self.slot);
        let mut ticks = interval(hub.settings.beacon.duration());
        let mut written = None;
        loop {
            ticks.tick().await;
            let report = hub.report();
            let summary = Summary {
                versions: report.counts.0,
                lags: report.lags,
            };
            if written.as_ref() == Some(&summary) {
                continue;
            }
            let Ok(json) = serde_json::to_vec(&summary) else {
                continue;
            };
            let put = hub
                .store
                .put(&key, json, Expect::Any, Some(self.lease))
                .await;
            written = put.is_ok().then_some(summary);
        }
    }
}

/// Watches the head in the store and applies each new version.
async fn watch_head(hub: &Hub) {
    let mut relays = hub.relays.subscribe();
    // A version is released once another relay holds it, so the relays must be known first.
    let _ = relays
        .wait_for(|relays| relays.revision > Revision::ZERO)
        .await;
    let mut after = Revision::ZERO;
    loop {
        if let Err(error) = catch_up(hub).await {
            warn!(hub.log, "failed to apply the head"; "error" => %error);
            hub.set_lag_reason(&error.to_string());
            sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        hub.clear_lag_reason();
        match hub.store.watch("head", after, WATCH_TIMEOUT).await {
            Ok(changes) => after = changes.revision,
            Err(_) => sleep(STORE_RETRY_DELAY).await,
        }
    }
}

/// The head could not be applied.
#[derive(Debug, thiserror::Error)]
enum CatchUpError {
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
    #[error(transparent)]
    Apply(#[from] table::ApplyError),
}

/// Fetches the head from the ledger and applies it.
async fn catch_up(hub: &Hub) -> Result<(), CatchUpError> {
    let head = hub.ledger.head().await?;
    hub.floor.set(head.version);
    let current = hub.table.snapshot().version;
    if head.version <= current {
        return Ok(());
    }
    if current > Version::default() && head.version.get() - current.get() <= MAX_INCREMENTAL_CHANGES
    {
        let changes = hub.ledger.since(&head, current).await?;
        let bytes: Vec<Vec<u8>> = changes.iter().map(|change| change.to_bytes()).collect();
        let apply = || hub.table.apply(&bytes).map(drop);
        return Ok(release(hub, head.version, apply).await?);
    }
    let Some(change) = &head.change else {
        return Ok(());
    };
    let whole = FullVersion {
        change: Arc::from(change.to_bytes()),
        state: head.state.clone(),
    };
    let apply = || hub.table.install(whole).map(drop);
    Ok(release(hub, head.version, apply).await?)
}
