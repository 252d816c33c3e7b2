//! Links between relays, over which membership crosses failure domains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::interval;

use crate::hub::Hub;
use crate::link::{self, Place};

/// Time between two looks at which relays there are.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Most relays of the whole fleet.
const MAX_RELAYS: u32 = 256;

/// Keeps one link to each relay with a lower address; those with a higher one keep theirs to this.
pub(crate) async fn run(hub: &Arc<Hub>) {
    let own = hub.address.to_string();
    let mut ticks = interval(LOOK_INTERVAL);
    let mut links: JoinSet<String> = JoinSet::new();
    let mut linked: BTreeMap<String, ()> = BTreeMap::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(ended) = links.join_next() => {
                if let Ok(address) = ended {
                    linked.remove(&address);
                }
                continue;
            }
        }
        let Ok(entries) = hub.store.list("relay/", "", MAX_RELAYS).await else {
            continue;
        };
        for entry in entries {
            let Ok(address) = String::from_utf8(entry.value) else {
                continue;
            };
            if address >= own || linked.contains_key(&address) {
                continue;
            }
            linked.insert(address.clone(), ());
            let hub = Arc::clone(hub);
            links.spawn(async move {
                link::run(&hub, &address, Place::Mesh).await;
                address
            });
        }
    }
}
