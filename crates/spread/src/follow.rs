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
use crate::{floor, relays::Relays};

/// Mean pause before a daemon that lost its parent looks for another one.
const LOST_PAUSE: Duration = Duration::from_millis(100);

/// Mean pause after the first search that found no parent; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest mean pause between two searches.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Daemons asked in one search.
const MAX_ASKED: usize = 16;

/// Daemons of the same failure domain that one search begins with, beside relays and seeds.
const MAX_NEAR: usize = 4;

/// How a search for a parent ended.
enum Search {
    /// A parent was followed, and is lost now.
    Lost,
    /// This daemon should look whether there is a relay's duty to take.
    Appointed,
    /// There was no parent to follow; come back to those asked after this time.
    None(Duration),
}

/// Follows one parent after the other until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    let mut mean = FIRST_PAUSE;
    while !hub.retire.is_cancelled() {
        let found = step(&hub).await;
        hub.path.send_replace(Vec::new());
        let pause = match found {
            Search::Lost | Search::Appointed => {
                mean = FIRST_PAUSE;
                LOST_PAUSE
            }
            Search::None(retry) => {
                let pause = mean.max(retry);
                mean = (mean * 2).min(MAX_PAUSE);
                pause
            }
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = sleep(pause.mul_f64(jitter)) => {}
            () = hub.stop.cancelled() => return,
        }
    }
}

/// Follows a known daemon; asks the store for the relays only if none takes this one in.
async fn step(hub: &Arc<Hub>) -> Search {
    let own = hub.relays.borrow().inside(&hub.settings.domain);
    match search(hub, candidates(hub, own)).await {
        Search::Appointed => {}
        Search::Lost => return Search::Lost,
        Search::None(_) if hub.retire.is_cancelled() => return Search::Lost,
        Search::None(_) => {}
    }
    match relay::claim(hub).await {
        Ok(Claim::Held(duty)) => {
            duty.run(hub).await;
            Search::Lost
        }
        Ok(Claim::Others(relays)) => search(hub, relays.into()).await,
        Err(error) => {
            debug!(hub.log, "store not reached"; "error" => %error);
            let relays: Relays = hub.relays.borrow().clone();
            let mut others = relays.outside(&hub.settings.domain);
            others.shuffle(&mut rand::rng());
            search(hub, others.into()).await
        }
    }
}

/// Asks one daemon after the other until one takes this one in, and follows it to the end.
async fn search(hub: &Hub, mut queue: VecDeque<String>) -> Search {
    let mut pause = Duration::ZERO;
    for _ in 0..MAX_ASKED {
        let Some(address) = queue.pop_front() else {
            break;
        };
        if hub.floor.get().is_none()
            && let Err(status) = floor::learn(hub, &address).await
        {
            debug!(hub.log, "version floor not known"; "from" => &address, "error" => status.message());
            // What it sent could not be put in force.
            continue;
        }
        match link::run(hub, &address, Place::Tree).await {
            End::Appointed => return Search::Appointed,
            End::Busy { mut others, retry } => {
                pause = pause.max(retry);
                others.shuffle(&mut rand::rng());
                for other in others {
                    queue.push_front(other);
                }
            }
            End::Lost(reason) => {
                info!(hub.log, "parent lost"; "parent" => address, "reason" => reason);
                // A newer record tells the old parent that this daemon is alive.
                hub.table.announce(|_| {});
                return Search::Lost;
            }
            End::Failed(reason) => {
                debug!(hub.log, "parent refused"; "parent" => address, "reason" => reason);
            }
        }
    }
    Search::None(pause)
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
    near.truncate(MAX_NEAR);
    let mut seeds: Vec<String> = hub.settings.seeds.iter().map(ToString::to_string).collect();
    seeds.shuffle(&mut rng);
    let own = hub.address.to_string();
    let all = relays.into_iter().chain(near).chain(seeds);
    all.filter(|address| *address != own).collect()
}
