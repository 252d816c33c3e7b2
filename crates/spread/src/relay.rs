//! The relay's duty: watches the head for one failure domain, by lease.

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
use crate::{Summary, census, mesh};

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Changes behind which the head is fetched whole.
const MAX_BEHIND: u64 = 64;

/// Time left to the child that is asked to take over, before the links end.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(100);

/// What became of a claim to the relay's duty.
pub(crate) enum Claim {
    /// This daemon holds it.
    Held(Duty),
    /// Others hold it; their fleet addresses.
    Others(Vec<String>),
}

/// A relay's duty, held by lease.
pub(crate) struct Duty {
    lease: LeaseId,
    slot: u32,
    /// Until when the lease surely lives.
    leased: Instant,
}

/// Claims a vacant relay's slot of this failure domain.
///
/// # Errors
///
/// Fails if the store does.
pub(crate) async fn claim(hub: &Hub) -> Result<Claim, store::Error> {
    let prefix = format!("{PREFIX}{}/", hub.settings.domain);
    let entries = hub.store.list(&prefix, "", hub.settings.relays).await?;
    let own = hub.address.to_string();
    let slot_key = |slot: u32| format!("{prefix}{slot}");
    let taken = |slot: &u32| entries.iter().any(|entry| entry.key == slot_key(*slot));
    if let Some(slot) = (0..hub.settings.relays).find(|slot| !taken(slot)) {
        let leased = Instant::now() + hub.settings.lease.duration();
        let lease = hub.store.grant(hub.settings.lease.duration()).await?;
        let value = own.clone().into_bytes();
        let put = hub
            .store
            .put(&slot_key(slot), value, Expect::Absent, Some(lease))
            .await?;
        if let Put::Done(_) = put {
            return Ok(Claim::Held(Duty {
                lease,
                slot,
                leased,
            }));
        }
        hub.store.revoke(lease).await?;
    }
    let addresses = entries
        .into_iter()
        .filter_map(|entry| String::from_utf8(entry.value).ok())
        .filter(|address| *address != own);
    Ok(Claim::Others(addresses.collect()))
}

impl Duty {
    /// Does the duty until the lease is lost or the daemon stops.
    pub(crate) async fn run(self, hub: &Arc<Hub>) {
        info!(hub.log, "relay duty taken"; "slot" => self.slot);
        hub.duty.send_replace(Some(self.leased));
        hub.path.send_replace(vec![hub.settings.vm.clone()]);
        tokio::select! {
            () = watch_head(hub) => {}
            () = self.keep_lease(hub) => warn!(hub.log, "relay duty lost"),
            () = mesh::run(hub) => {}
            () = self.summarise(hub) => {}
            () = census::run(hub, self.slot) => {}
            () = hub.retire.cancelled() => self.hand_over(hub).await,
        }
        hub.duty.send_replace(None);
    }

    /// Hands the duty back, and asks a child to take it at once.
    async fn hand_over(&self, hub: &Hub) {
        if let Err(error) = hub.store.revoke(self.lease).await {
            warn!(hub.log, "relay duty not handed back"; "error" => %error);
            return;
        }
        hub.appoint();
        sleep(HAND_OVER_PAUSE).await;
    }

    /// Renews the lease; returns when the store says that it has lapsed.
    ///
    /// While the store is out nobody else can take the duty, so this daemon keeps it.
    async fn keep_lease(&self, hub: &Hub) {
        let mut ticks = interval(hub.settings.lease.duration() / 3);
        loop {
            ticks.tick().await;
            let leased = Instant::now() + hub.settings.lease.duration();
            match hub.store.renew(self.lease).await {
                Ok(true) => drop(hub.duty.send_replace(Some(leased))),
                Ok(false) => return,
                Err(_) => {}
            }
        }
    }

    /// Writes what the daemons below serve to the store, whenever it changed.
    async fn summarise(&self, hub: &Hub) {
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

/// Puts every new head in force.
async fn watch_head(hub: &Hub) {
    let mut relays = hub.relays.subscribe();
    // Who else must hold a version is known once the relays are.
    let _ = relays
        .wait_for(|relays| relays.revision > Revision(0))
        .await;
    let mut after = Revision(0);
    loop {
        if let Err(error) = catch_up(hub).await {
            warn!(hub.log, "head not put in force"; "error" => %error);
            hub.set_trouble(&error.to_string());
            sleep(STORE_PAUSE).await;
            continue;
        }
        hub.clear_trouble();
        match hub.store.watch("head", after, WATCH_WAIT).await {
            Ok(changes) => after = changes.revision,
            Err(_) => sleep(STORE_PAUSE).await,
        }
    }
}

/// Why the head was not put in force.
#[derive(Debug, thiserror::Error)]
enum CatchUpError {
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
    #[error(transparent)]
    Apply(#[from] table::ApplyError),
}

/// Puts the head of the ledger in force.
async fn catch_up(hub: &Hub) -> Result<(), CatchUpError> {
    let tip = hub.ledger.head().await?;
    hub.floor.set(tip.version);
    let held = hub.table.snapshot().version;
    if tip.version <= held {
        return Ok(());
    }
    if held > Version::default() && tip.version.get() - held.get() <= MAX_BEHIND {
        let changes = hub.ledger.since(&tip, held).await?;
        let bytes: Vec<Vec<u8>> = changes.iter().map(|change| change.to_bytes()).collect();
        let apply = || hub.table.apply(&bytes).map(drop);
        return Ok(release(hub, tip.version, apply).await?);
    }
    let Some(change) = &tip.change else {
        return Ok(());
    };
    let whole = FullVersion {
        change: Arc::from(change.to_bytes()),
        state: tip.state.clone(),
    };
    let apply = || hub.table.install(whole).map(drop);
    Ok(release(hub, tip.version, apply).await?)
}
