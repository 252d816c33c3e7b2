//! Links between relays, over which membership crosses failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use model::DomainName;
use rand::RngExt;
use slog::{info, warn};
use store::{Changes, Revision};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::hub::Hub;
use crate::link::{self, Place};
use crate::relays::{PREFIX, Relays};

/// Pause after a failed call to the store.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a lost link is tried again.
const LINK_PAUSE: Duration = Duration::from_secs(1);

/// Times the grace of one daemon that a failure domain may be without any relay until it is taken
/// for lost.
const DOMAIN_GRACES: u32 = 10;

/// Times that a child is asked before the relays are looked at anew.
const APPOINT_ROUNDS: u32 = 5;

/// Time in which a child that was asked takes the place.
const APPOINT_PAUSE: Duration = Duration::from_secs(1);

/// Longest random wait before a child is asked to fill a vacant place.
const MAX_APPOINT_WAIT_MS: u64 = 400;

/// What a relay knows of the other relays.
#[derive(Debug, Default)]
struct Mesh {
    /// Addresses by key.
    known: BTreeMap<String, String>,
    links: JoinSet<String>,
    linked: BTreeSet<String>,
    /// Failure domains that have daemons but no relay, and since when.
    empty: BTreeMap<DomainName, Instant>,
}

/// Watches the relays, and keeps one link to each with a lower address; those with a higher one
/// keep theirs to this.
pub(crate) async fn run(hub: &Arc<Hub>) {
    let mut mesh = Mesh::default();
    let mut after = Revision(0);
    let wait = hub.settings.grace.duration() * DOMAIN_GRACES;
    loop {
        let changes = tokio::select! {
            changes = hub.store.watch(PREFIX, after, wait) => changes,
            Some(ended) = mesh.links.join_next() => {
                mesh.unlink(ended.unwrap_or_default());
                mesh.link(hub);
                continue;
            }
        };
        let Ok(changes) = changes else {
            sleep(STORE_PAUSE).await;
            continue;
        };
        after = changes.revision;
        mesh.take(changes);
        hub.learn_relays(Relays::new(after, &mesh.known));
        mesh.link(hub);
        mesh.expire_domains(hub);
        mesh.fill(hub);
    }
}

impl Mesh {
    fn take(&mut self, changes: Changes) {
        for key in &changes.deleted {
            self.known.remove(key);
        }
        for entry in changes.entries {
            if let Ok(address) = String::from_utf8(entry.value) {
                self.known.insert(entry.key, address);
            }
        }
    }

    /// Begins the links that are missing.
    fn link(&mut self, hub: &Arc<Hub>) {
        let own = hub.address.to_string();
        for address in self.known.values().filter(|address| **address < own) {
            if !self.linked.insert(address.clone()) {
                continue;
            }
            let hub = Arc::clone(hub);
            let address = address.clone();
            self.links.spawn(async move {
                link::run(&hub, &address, Place::Mesh).await;
                sleep(LINK_PAUSE).await;
                address
            });
        }
    }

    fn unlink(&mut self, address: String) {
        self.linked.remove(&address);
    }

    /// Expires the daemons of failure domains that have had no relay for long.
    ///
    /// All their daemons are lost then, and none of them is left to expire the others. One that
    /// lives answers its expiry. More than half of the fleet is never expired so: the likelier
    /// cause is a store that lost its leases.
    fn expire_domains(&mut self, hub: &Hub) {
        let members = hub.table.members();
        let with_relay = hub.relays.borrow().domains();
        let mut without = members.domains();
        without.retain(|domain| !with_relay.contains(domain));
        self.empty.retain(|domain, _| without.contains(domain));
        let now = Instant::now();
        for domain in &without {
            self.empty.entry(domain.clone()).or_insert(now);
        }
        let grace = hub.settings.grace.duration() * DOMAIN_GRACES;
        let long = |since: &Instant| now.duration_since(*since) >= grace;
        let lost = self.empty.iter().filter(|(_, since)| long(since));
        let lost: Vec<_> = lost
            .flat_map(|(domain, _)| members.of_domain(domain))
            .collect();
        if lost.is_empty() {
            return;
        }
        if lost.len() * 2 > members.live() {
            warn!(hub.log, "more than half of the fleet has no relay; it stays routed"; "lost" => lost.len());
            return;
        }
        warn!(hub.log, "failure domains lost; their daemons are expired"; "lost" => lost.len());
        for record in lost {
            hub.table.expire(&record.vm);
        }
    }

    /// Asks a child to take a vacant place of this failure domain.
    fn fill(&self, hub: &Arc<Hub>) {
        let prefix = format!("{PREFIX}{}/", hub.settings.domain);
        let own = self.known.keys().filter(|key| key.starts_with(&prefix));
        if own.count() as u32 >= hub.settings.relays {
            return;
        }
        info!(hub.log, "a relay's place is vacant");
        let wait = rand::rng().random_range(0..=MAX_APPOINT_WAIT_MS);
        let seen = hub.relays.borrow().revision;
        let hub = Arc::clone(hub);
        tokio::spawn(async move {
            sleep(Duration::from_millis(wait)).await;
            for _ in 0..APPOINT_ROUNDS {
                if hub.relays.borrow().revision != seen || !hub.is_relay() {
                    return;
                }
                hub.appoint();
                sleep(APPOINT_PAUSE).await;
            }
        });
    }
}
