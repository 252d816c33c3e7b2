//! Finds a parent in the tree and follows it; takes the relay's duty where it is vacant.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use slog::{debug, info};
use tokio::time::sleep;

use crate::hub::Hub;
use crate::link::{self, End, Place};
use crate::relay::{self, Claim};

/// Mean pause between two searches for a parent, in milliseconds.
const SEARCH_PAUSE_MS: u64 = 300;

/// Daemons asked in one search.
const MAX_ASKED: usize = 16;

/// Follows one parent after the other until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    while !hub.stop.is_cancelled() {
        match relay::claim(&hub).await {
            Ok(Claim::Held(duty)) => {
                duty.run(&hub).await;
                hub.path.send_replace(Vec::new());
                continue;
            }
            Ok(Claim::Others(relays)) => search(&hub, relays).await,
            Err(error) => {
                debug!(hub.log, "store not reached"; "error" => %error);
                search(&hub, Vec::new()).await;
            }
        }
        hub.path.send_replace(Vec::new());
        let jitter = rand::rng().random_range(0..=SEARCH_PAUSE_MS * 2);
        tokio::select! {
            () = sleep(Duration::from_millis(jitter)) => {}
            () = hub.stop.cancelled() => {}
        }
    }
}

/// Asks one daemon after the other until one takes this one in, and follows it to the end.
async fn search(hub: &Hub, relays: Vec<String>) {
    let mut queue = candidates(hub, relays);
    for _ in 0..MAX_ASKED {
        let Some(address) = queue.pop_front() else {
            return;
        };
        match link::run(hub, &address, Place::Tree).await {
            End::Busy(mut others) => {
                others.shuffle(&mut rand::rng());
                for other in others {
                    queue.push_front(other);
                }
            }
            End::Lost(reason) => {
                info!(hub.log, "parent lost"; "parent" => address, "reason" => reason);
                // A newer record tells the old parent that this daemon is alive.
                hub.table.announce(|_| {});
                return;
            }
            End::Failed(reason) => {
                debug!(hub.log, "parent refused"; "parent" => address, "reason" => reason);
            }
        }
    }
}

/// Returns whom to ask: relays, then known daemons of the same failure domain, then seeds.
fn candidates(hub: &Hub, mut relays: Vec<String>) -> VecDeque<String> {
    let mut rng = rand::rng();
    relays.shuffle(&mut rng);
    let near = hub
        .table
        .members()
        .addresses(|record| record.domain == hub.settings.domain && record.is_alive());
    let mut near: Vec<String> = near.iter().map(ToString::to_string).collect();
    near.shuffle(&mut rng);
    let mut seeds: Vec<String> = hub.settings.seeds.iter().map(ToString::to_string).collect();
    seeds.shuffle(&mut rng);
    let own = hub.address.to_string();
    let all = relays.into_iter().chain(near).chain(seeds);
    all.filter(|address| *address != own).collect()
}
