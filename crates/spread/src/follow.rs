//! Finds a parent in the distribution tree and follows it, or claims a vacant relay slot.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use slog::{debug, info};
use tokio::time::sleep;

use crate::hub::Hub;
use crate::parent_link::{self, CloseReason, LinkKind};
use crate::relay::{self, Claim};
use crate::{floor, relays::Relays};

/// Mean delay before a daemon that lost its parent searches for another one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Mean delay after the first unsuccessful search; doubles with each further one.
const MIN_SEARCH_DELAY: Duration = Duration::from_millis(300);

/// Maximum mean delay between two searches.
const MAX_SEARCH_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of daemons contacted in one search.
const MAX_ATTEMPTS: usize = 16;

/// Maximum number of known peers of the same failure domain among the first candidates of a search.
const MAX_LOCAL_PEERS: usize = 4;

/// Result of a search for a parent.
enum Search {
    /// The parent or the relay role was lost, or the daemon is shutting down.
    Lost,
    /// This daemon should check for a vacant relay slot.
    Appointed,
    /// No parent admitted this daemon; the daemons contacted may be retried after this delay.
    NotFound(Duration),
}

/// Follows one parent after another until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    let mut mean = MIN_SEARCH_DELAY;
    while !hub.shutdown.is_cancelled() {
        let result = follow_once(&hub).await;
        hub.path.send_replace(Vec::new());
        let delay = match result {
            Search::Lost | Search::Appointed => {
                mean = MIN_SEARCH_DELAY;
                RECONNECT_DELAY
            }
            Search::NotFound(retry) => {
                let delay = mean.max(retry);
                mean = (mean * 2).min(MAX_SEARCH_DELAY);
                delay
            }
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = sleep(delay.mul_f64(jitter)) => {}
            () = hub.stop.cancelled() => return,
        }
    }
}

/// Follows a known daemon. If none admits this one, or a daemon appoints it, claims a vacant relay slot
/// or follows a relay read from the store; if the store cannot be read, follows a known relay of another
/// failure domain.
async fn follow_once(hub: &Arc<Hub>) -> Search {
    let relays = hub.relays.borrow().inside(&hub.settings.domain);
    match search(hub, candidates(hub, relays)).await {
        Search::Appointed => {}
        Search::Lost => return Search::Lost,
        Search::NotFound(_) if hub.shutdown.is_cancelled() => return Search::Lost,
        Search::NotFound(_) => {}
    }
    match relay::claim(hub).await {
        Ok(Claim::Acquired(role)) => {
            role.run(hub).await;
            Search::Lost
        }
        Ok(Claim::Taken(relays)) => search(hub, relays.into()).await,
        Err(error) => {
            debug!(hub.log, "failed to claim a relay slot"; "error" => %error);
            let relays: Relays = hub.relays.borrow().clone();
            let mut others = relays.outside(&hub.settings.domain);
            others.shuffle(&mut rand::rng());
            search(hub, others.into()).await
        }
    }
}

/// Contacts daemons in turn until one admits this daemon, and follows it until the link closes.
async fn search(hub: &Hub, mut queue: VecDeque<String>) -> Search {
    let mut retry_delay = Duration::ZERO;
    for _ in 0..MAX_ATTEMPTS {
        let Some(address) = queue.pop_front() else {
            break;
        };
        if hub.floor.get().is_none()
            && let Err(status) = floor::fetch(hub, &address).await
        {
            debug!(hub.log, "failed to query the version floor"; "from" => &address, "error" => status.message());
            // Without a version floor, no update of this daemon could be applied.
            continue;
        }
        match parent_link::run(hub, &address, LinkKind::Tree).await {
            CloseReason::Appointed => return Search::Appointed,
            CloseReason::Busy { mut others, retry } => {
                retry_delay = retry_delay.max(retry);
                others.shuffle(&mut rand::rng());
                for other in others {
                    queue.push_front(other);
                }
            }
            CloseReason::Lost(reason) => {
                info!(hub.log, "parent lost"; "parent" => address, "reason" => reason);
                // A newer record shows the old parent that this daemon is still alive.
                hub.table.announce(|_| {});
                return Search::Lost;
            }
            CloseReason::Failed(reason) => {
                debug!(hub.log, "failed to follow parent"; "parent" => address, "reason" => reason);
            }
        }
    }
    Search::NotFound(retry_delay)
}

/// Returns the addresses to contact: relays, then known peers in the same failure domain, then seeds.
fn candidates(hub: &Hub, mut relays: Vec<String>) -> VecDeque<String> {
    let mut rng = rand::rng();
    relays.shuffle(&mut rng);
    let peers = hub
        .table
        .members()
        .addresses(|record| record.domain == hub.settings.domain && record.is_alive());
    let mut peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
    peers.shuffle(&mut rng);
    peers.truncate(MAX_LOCAL_PEERS);
    let mut seeds: Vec<String> = hub.settings.seeds.iter().map(ToString::to_string).collect();
    seeds.shuffle(&mut rng);
    let local = hub.address.to_string();
    let all = relays.into_iter().chain(peers).chain(seeds);
    all.filter(|address| *address != local).collect()
}
