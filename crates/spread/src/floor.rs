//! The version floor: below it a daemon that has just started puts no version in force.
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

use crate::flight::Flight;
use crate::hub::Hub;
use crate::relays::Relay;

/// Longest wait for another relay's knowledge.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What a daemon knows of the versions that were in force before it started.
#[derive(Debug, Default)]
pub(crate) struct Floor {
    known: Mutex<Option<Version>>,
    /// Newest version that this daemon told a relay that it holds.
    held: Mutex<Version>,
    /// Newest version read from the store and not in force yet.
    staged: Mutex<Version>,
    asked: Flight<Result<Version, Status>>,
    read: Flight<Result<Version, String>>,
}

impl Floor {
    /// Returns the floor, if it is known.
    pub(crate) fn get(&self) -> Option<Version> {
        *lock(&self.known)
    }

    /// Sets the floor if it is not known yet.
    pub(crate) fn set(&self, version: Version) {
        let mut known = lock(&self.known);
        known.get_or_insert(version);
    }

    /// Notes a version that was read from the store.
    pub(crate) fn stage(&self, version: Version) {
        let mut staged = lock(&self.staged);
        *staged = version.max(*staged);
    }

    /// Returns the newest version that this daemon can promise to remember, and remembers it.
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

/// Learns the floor through the daemon at `address`.
///
/// # Errors
///
/// Fails if that daemon cannot tell.
pub(crate) async fn learn(hub: &Hub, address: &str) -> Result<(), Status> {
    let version = ask(hub, address, false).await?.version;
    info!(hub.log, "version floor known"; "version" => version, "from" => address);
    hub.floor.set(Version::new(version));
    Ok(())
}

/// Returns a version at least as new as any that was in force anywhere when the call came.
///
/// # Errors
///
/// Fails if neither the store nor enough relays can tell.
pub(crate) async fn find(hub: &Hub) -> Result<Version, Status> {
    hub.floor.asked.join(async || find_once(hub).await).await
}

async fn find_once(hub: &Hub) -> Result<Version, Status> {
    if !hub.is_relay() {
        let Some(parent) = hub.parent.borrow().clone() else {
            return Err(Status::unavailable("this daemon is below no relay"));
        };
        let reply = ask(hub, &parent, false).await?;
        return Ok(Version::new(reply.version));
    }
    match read_head(hub).await {
        Ok(version) => Ok(version),
        Err(error) => {
            debug!(hub.log, "head not read; asking the relays"; "error" => error);
            ask_relays(hub).await
        }
    }
}

/// Returns what this relay itself knows.
///
/// # Errors
///
/// Fails if this daemon is no relay, or can tell neither by the store nor from memory.
pub(crate) async fn own(hub: &Hub) -> Result<FloorReply, Status> {
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
    let ask = async || match hub.ledger.head().await {
        Ok(tip) => Ok(tip.version),
        Err(error) => Err(error.to_string()),
    };
    hub.floor.read.join(ask).await
}

/// Takes the newest version that the relays know, while the store is out.
async fn ask_relays(hub: &Hub) -> Result<Version, Status> {
    let relays = hub.relays.borrow().list.clone();
    let answers = join_all(relays.iter().map(|relay| ask_relay(hub, relay))).await;
    let mut answered: Vec<(DomainName, bool)> = relays
        .iter()
        .zip(&answers)
        .map(|(relay, answer)| (relay.domain.clone(), answer.is_some()))
        .collect();
    // A failure domain whose relays this one never heard of may have put versions in force.
    for domain in hub.table.members().seen_domains() {
        if !relays.iter().any(|relay| relay.domain == domain) {
            answered.push((domain, false));
        }
    }
    let newest = answers.iter().flatten().map(|reply| reply.version).max();
    let proven = answers.iter().flatten().any(|reply| reply.proven);
    match newest {
        Some(version) if proven || is_enough(&answered) => Ok(Version::new(version)),
        _ => Err(Status::unavailable(
            "the store is out and relays of too few failure domains answer",
        )),
    }
}

async fn ask_relay(hub: &Hub, relay: &Relay) -> Option<FloorReply> {
    if relay.address == hub.address.to_string() {
        return own(hub).await.ok();
    }
    let reply = timeout(ASK_TIMEOUT, ask(hub, &relay.address, true)).await;
    reply.ok()?.ok()
}

async fn ask(hub: &Hub, address: &str, own: bool) -> Result<FloorReply, Status> {
    let mut client = hub.client(address)?;
    let message = FloorRequest { own };
    hub.traffic.sent(&message);
    let reply = client.floor(hub.request(message)?).await?.into_inner();
    hub.traffic.received(&reply);
    Ok(reply)
}

/// Returns whether the relays that answered are enough to know every version in force.
///
/// A version is in force only after relays of two failure domains hold it. So at most one failure
/// domain may be without the answer of every relay of it. With two failure domains none may: while
/// the leases of one have lapsed, the other puts versions in force alone.
pub fn is_enough(answered: &[(DomainName, bool)]) -> bool {
    let mut domains: BTreeMap<&DomainName, bool> = BTreeMap::new();
    for (domain, answered) in answered {
        *domains.entry(domain).or_insert(true) &= answered;
    }
    let missing = domains.values().filter(|all| !**all).count();
    !domains.is_empty() && missing <= usize::from(domains.len() > 2)
}

/// Answers another daemon's question for the floor.
pub(crate) async fn answer(hub: &Arc<Hub>, request: FloorRequest) -> Result<FloorReply, Status> {
    if request.own {
        return own(hub).await;
    }
    let version = find(hub).await?;
    Ok(FloorReply {
        version: version.get(),
        proven: false,
    })
}
