//! Links between relays, which carry membership across failure domains.

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
use crate::parent_link::{self, LinkKind};
use crate::relays::{PREFIX, Relays};

/// Delay before a failed store request is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay before a lost link is reopened.
const RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Factor from the grace period of a daemon to that of a failure domain: a domain without a relay for
/// longer is considered lost.
const DOMAIN_GRACE_FACTOR: u32 = 10;

/// Maximum number of appointments for one vacant slot while the list of relays is unchanged.
const MAX_APPOINTMENTS: u32 = 5;

/// Time for an appointed child to claim the slot before the next one is appointed.
const APPOINTMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum random delay before a child is appointed to a vacant slot.
const MAX_APPOINTMENT_DELAY_MS: u64 = 400;

/// Links to the other relays of the fleet.
#[derive(Debug, Default)]
struct Mesh {
    /// Fleet addresses of all relays, by store key.
    addresses: BTreeMap<String, String>,
    /// Link tasks; each returns the address it was linked to.
    links: JoinSet<String>,
    /// Addresses with a link task.
    linked: BTreeSet<String>,
    /// Failure domains that have daemons but no relay, with the time since when.
    without_relay: BTreeMap<DomainName, Instant>,
}

/// Watches the relays in the store and keeps one link to each relay.
///
/// A relay opens the links to relays with lower addresses and accepts those from higher ones.
pub(crate) async fn run(hub: &Arc<Hub>) {
    let mut mesh = Mesh::default();
    let mut after = Revision::ZERO;
    // Bounds each watch, so that lost domains are also detected while the list of relays is unchanged.
    let timeout = hub.settings.grace.duration() * DOMAIN_GRACE_FACTOR;
    loop {
        let changes = tokio::select! {
            changes = hub.store.watch(PREFIX, after, timeout) => changes,
            Some(address) = mesh.links.join_next() => {
                mesh.unlink(address.unwrap_or_default());
                mesh.open_links(hub);
                continue;
            }
        };
        let Ok(changes) = changes else {
            sleep(STORE_RETRY_DELAY).await;
            continue;
        };
        after = changes.revision;
        mesh.apply(changes);
        hub.update_relays(Relays::new(after, &mesh.addresses));
        mesh.open_links(hub);
        mesh.expire_domains(hub);
        mesh.fill_vacancy(hub);
    }
}

impl Mesh {
    fn apply(&mut self, changes: Changes) {
        for key in &changes.deleted {
            self.addresses.remove(key);
        }
        for entry in changes.entries {
            if let Ok(address) = String::from_utf8(entry.value) {
                self.addresses.insert(entry.key, address);
            }
        }
    }

    /// Opens missing links.
    fn open_links(&mut self, hub: &Arc<Hub>) {
        let local = hub.address.to_string();
        for address in self.addresses.values().filter(|address| **address < local) {
            if !self.linked.insert(address.clone()) {
                continue;
            }
            let hub = Arc::clone(hub);
            let address = address.clone();
            self.links.spawn(async move {
                parent_link::run(&hub, &address, LinkKind::Mesh).await;
                sleep(RECONNECT_DELAY).await;
                address
            });
        }
    }

    fn unlink(&mut self, address: String) {
        self.linked.remove(&address);
    }

    /// Expires the daemons of failure domains that have had no relay for the domain grace period.
    ///
    /// All daemons of such a domain are presumably lost, and none is left to expire the others. A
    /// daemon that is still alive refutes its expiry with a newer record. More than half of the fleet
    /// is never expired this way, because a store that lost its leases is the more likely cause.
    fn expire_domains(&mut self, hub: &Hub) {
        let members = hub.table.members();
        let with_relay = hub.relays.borrow().domains();
        let mut domains = members.domains();
        domains.retain(|domain| !with_relay.contains(domain));
        self.without_relay
            .retain(|domain, _| domains.contains(domain));
        let now = Instant::now();
        for domain in &domains {
            self.without_relay.entry(domain.clone()).or_insert(now);
        }
        let grace = hub.settings.grace.duration() * DOMAIN_GRACE_FACTOR;
        let is_lost = |since: &Instant| now.duration_since(*since) >= grace;
        let lost = self
            .without_relay
            .iter()
            .filter(|(_, since)| is_lost(since));
        let lost: Vec<_> = lost
            .flat_map(|(domain, _)| members.of_domain(domain))
            .collect();
        if lost.is_empty() {
            return;
        }
        if lost.len() * 2 > members.live() {
            warn!(hub.log, "more than half of the fleet has no relay; not expiring it"; "lost" => lost.len());
            return;
        }
        warn!(hub.log, "failure domains lost; expiring their daemons"; "lost" => lost.len());
        for record in lost {
            hub.table.expire(&record.vm);
        }
    }

    /// Appoints a child if a relay slot of this failure domain is vacant.
    fn fill_vacancy(&self, hub: &Arc<Hub>) {
        let prefix = format!("{PREFIX}{}/", hub.settings.domain);
        let slots = self.addresses.keys().filter(|key| key.starts_with(&prefix));
        if slots.count() as u32 >= hub.settings.relays {
            return;
        }
        info!(hub.log, "relay slot vacant");
        let delay = rand::rng().random_range(0..=MAX_APPOINTMENT_DELAY_MS);
        let known_revision = hub.relays.borrow().revision;
        let hub = Arc::clone(hub);
        tokio::spawn(async move {
            sleep(Duration::from_millis(delay)).await;
            for _ in 0..MAX_APPOINTMENTS {
                if hub.relays.borrow().revision != known_revision || !hub.is_relay() {
                    return;
                }
                hub.appoint();
                sleep(APPOINTMENT_INTERVAL).await;
            }
        });
    }
}
