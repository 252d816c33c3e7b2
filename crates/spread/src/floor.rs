//! Version floor: a restarted daemon applies no version below it.
//!
//! The floor is at least as new as every version that was in force when the daemon restarted, so
//! that a restart never moves a VM to an older version.
//!
//! See docs/DESIGN.md, "Version floor of a restarted VM".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use model::{DomainName, Version, lock};
use slog::{debug, info};
use tokio::time::timeout;
use tonic::Status;
use wire::fleet::{FloorReply, FloorRequest};

use crate::hub::Hub;
use crate::relays::Relay;
use crate::single_flight::SingleFlight;

/// Time-out of a query to another relay.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Version floor of this daemon, with the state needed to serve floor queries from others.
#[derive(Debug, Default)]
pub(crate) struct Floor {
    floor: Mutex<Option<Version>>,
    /// Newest version that this daemon has confirmed to another relay as held.
    held: Mutex<Version>,
    /// Newest version read from the store; may not be in force yet.
    staged: Mutex<Version>,
    query: SingleFlight<Result<Version, Status>>,
    head_read: SingleFlight<Result<Version, String>>,
}

impl Floor {
    /// Returns the floor if it is known.
    pub(crate) fn get(&self) -> Option<Version> {
        *lock(&self.floor)
    }

    /// Sets the floor if it is not known yet.
    pub(crate) fn set(&self, version: Version) {
        let mut floor = lock(&self.floor);
        floor.get_or_insert(version);
    }

    /// Records a version that was read from the store.
    pub(crate) fn stage(&self, version: Version) {
        let mut staged = lock(&self.staged);
        *staged = version.max(*staged);
    }

    /// Records the newest version that this daemon knows as held, and returns it.
    pub(crate) fn hold(&self, in_force: Version) -> Version {
        let staged = *lock(&self.staged);
        let mut held = lock(&self.held);
        *held = held.max(staged).max(in_force);
        *held
    }

    fn held(&self) -> Version {
        *lock(&self.held)
    }
}

/// Sets the floor by querying the daemon at `address`.
///
/// # Errors
///
/// Fails if that daemon cannot determine the floor.
pub(crate) async fn fetch(hub: &Hub, address: &str) -> Result<(), Status> {
    let version = query(hub, address, false).await?.version;
    info!(hub.log, "version floor set"; "version" => version, "from" => address);
    hub.floor.set(Version::new(version));
    Ok(())
}

/// Returns a version at least as new as any that was in force in the fleet when this was called.
///
/// # Errors
///
/// Fails if neither the store nor enough relays respond.
pub(crate) async fn resolve(hub: &Hub) -> Result<Version, Status> {
    hub.floor.query.run(async || resolve_once(hub).await).await
}

async fn resolve_once(hub: &Hub) -> Result<Version, Status> {
    if !hub.is_relay() {
        let Some(parent) = hub.parent.borrow().clone() else {
            return Err(Status::unavailable("this daemon is below no relay"));
        };
        let reply = query(hub, &parent, false).await?;
        return Ok(Version::new(reply.version));
    }
    match read_head(hub).await {
        Ok(version) => Ok(version),
        Err(error) => {
            debug!(hub.log, "failed to read the head; querying the relays"; "error" => error);
            query_relays(hub).await
        }
    }
}

/// Returns the newest version known to this relay, without querying other relays.
///
/// # Errors
///
/// Fails if this daemon is not a relay, or if it has just restarted and cannot read the store.
pub(crate) async fn local(hub: &Hub) -> Result<FloorReply, Status> {
    if !hub.is_relay() {
        return Err(Status::unavailable("this daemon is no relay"));
    }
    if let Ok(version) = read_head(hub).await {
        return Ok(FloorReply {
            version: version.get(),
            proven: true,
        });
    }
    if !hub.is_ready() {
        return Err(Status::unavailable("this relay has just started"));
    }
    let version = hub.table.snapshot().version.max(hub.floor.held());
    Ok(FloorReply {
        version: version.get(),
        proven: false,
    })
}

async fn read_head(hub: &Hub) -> Result<Version, String> {
    let read = async || match hub.ledger.head().await {
        Ok(head) => Ok(head.version),
        Err(error) => Err(error.to_string()),
    };
    hub.floor.head_read.run(read).await
}

/// Returns the newest version known to the relays, while the store is unavailable.
async fn query_relays(hub: &Hub) -> Result<Version, Status> {
    let relays = hub.relays.borrow().list.clone();
    let replies = join_all(relays.iter().map(|relay| query_relay(hub, relay))).await;
    let mut replied: Vec<(DomainName, bool)> = relays
        .iter()
        .zip(&replies)
        .map(|(relay, reply)| (relay.domain.clone(), reply.is_some()))
        .collect();
    // A failure domain whose relays are not known here may have newer versions in force.
    for domain in hub.table.members().seen_domains() {
        if !relays.iter().any(|relay| relay.domain == domain) {
            replied.push((domain, false));
        }
    }
    let newest = replies.iter().flatten().map(|reply| reply.version).max();
    let proven = replies.iter().flatten().any(|reply| reply.proven);
    match newest {
        Some(version) if proven || is_quorum(&replied) => Ok(Version::new(version)),
        _ => Err(Status::unavailable(
            "the store is out and relays of too few failure domains answer",
        )),
    }
}

async fn query_relay(hub: &Hub, relay: &Relay) -> Option<FloorReply> {
    if relay.address == hub.address.to_string() {
        return local(hub).await.ok();
    }
    let reply = timeout(QUERY_TIMEOUT, query(hub, &relay.address, true)).await;
    reply.ok()?.ok()
}

/// Queries the daemon at `address` for the floor, or with `local_only` for the newest version that it
/// knows without querying others.
async fn query(hub: &Hub, address: &str, local_only: bool) -> Result<FloorReply, Status> {
    let mut client = hub.client(address)?;
    let message = FloorRequest { own: local_only };
    hub.metrics.sent(&message);
    let reply = client.floor(hub.request(message)?).await?.into_inner();
    hub.metrics.received(&reply);
    Ok(reply)
}

/// Returns whether the relays that replied are sufficient to know every version in force.
///
/// `replied` has an entry for each relay: its failure domain, and whether it replied.
///
/// A version is put in force only after relays of two failure domains hold it. At most one failure
/// domain may therefore have relays that did not reply. With only two failure domains, all relays
/// must reply: while the leases of one domain are expired, the other puts versions in force alone.
pub fn is_quorum(replied: &[(DomainName, bool)]) -> bool {
    let mut domains: BTreeMap<&DomainName, bool> = BTreeMap::new();
    for (domain, replied) in replied {
        *domains.entry(domain).or_insert(true) &= replied;
    }
    let missing = domains.values().filter(|all| !**all).count();
    !domains.is_empty() && missing <= usize::from(domains.len() > 2)
}

/// Handles a floor query from another daemon.
pub(crate) async fn serve(hub: &Arc<Hub>, request: FloorRequest) -> Result<FloorReply, Status> {
    if request.own {
        return local(hub).await;
    }
    let version = resolve(hub).await?;
    Ok(FloorReply {
        version: version.get(),
        proven: false,
    })
}
