//! Polls relays for the changes that they read from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use member::Record;
use model::lock;
use slog::{Logger, debug};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tonic::transport::Channel;
use tonic::{Request, Status};
use wire::fleet::peers_client::PeersClient;
use wire::fleet::{WatchReply, WatchRequest};
use wire::{FleetKey, endpoint};

use crate::peers::MAX_MESSAGE_BYTES;
use crate::relays::{RelaySelector, Source};

/// Longest time for which a relay holds a poll while there are no changes.
pub(crate) const MAX_HOLD: Duration = Duration::from_secs(2);

/// Time beyond the hold within which the response must arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);

/// Interval of keep-alive pings to a relay. The loss of a relay must be detected early enough to read a
/// version from the store within 2 s of its acceptance.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Keep-alive and connection timeout. Narrow links delay packets by about 300 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of connections; at the limit all are closed and opened again on use. A daemon polls two
/// relays, whose addresses change when they restart.
const MAX_CONNECTIONS: usize = 16;

/// Polls relays over reused connections.
#[derive(Debug)]
pub(crate) struct RelayClient {
    key: FleetKey,
    selector: Mutex<RelaySelector>,
    clients: Mutex<BTreeMap<SocketAddr, PeersClient<Channel>>>,
    log: Logger,
}

impl RelayClient {
    pub(crate) fn new(key: FleetKey, log: Logger) -> Self {
        Self {
            key,
            selector: Mutex::default(),
            clients: Mutex::default(),
            log,
        }
    }

    /// Returns where the daemon with record `own` currently reads changes from.
    pub(crate) fn source(&self, own: &Record, members: &[Record]) -> Source {
        lock(&self.selector).source(own, members, Instant::now())
    }

    /// Returns the time at which the daemon with record `own` has enough relays to poll.
    pub(crate) fn usable_at(&self, own: &Record, members: &[Record]) -> Option<Instant> {
        lock(&self.selector).relays_usable_at(own, members)
    }

    /// Polls all of `relays` and returns the first response that has changes or comes from a relay that
    /// follows the store.
    ///
    /// # Errors
    ///
    /// Returns the responses of relays that do not follow the store if there is no such response.
    pub(crate) async fn watch(
        &self,
        relays: &[Record],
        request: WatchRequest,
    ) -> Result<WatchReply, Vec<WatchReply>> {
        let mut behind = Vec::new();
        let mut waiting = JoinSet::new();
        for relay in relays {
            let client = self.client(relay.fleet);
            let authorized = self.key.authorized(request);
            waiting.spawn(poll(relay.clone(), client, authorized));
        }
        while let Some(response) = waiting.join_next().await {
            let Ok((relay, response)) = response else {
                continue;
            };
            match response {
                Ok(reply) if reply.follows || has_changes(&reply) => {
                    lock(&self.selector).mark_following(&relay.vm);
                    return Ok(reply);
                }
                Ok(reply) => {
                    debug!(self.log, "relay set aside"; "relay" => %relay.vm,
                        "reason" => "it does not follow the store");
                    let now = Instant::now();
                    lock(&self.selector).mark_behind(relay.vm, rand::random(), now);
                    behind.push(reply);
                }
                Err(status) => {
                    lock(&self.clients).remove(&relay.fleet);
                    debug!(self.log, "relay set aside"; "relay" => %relay.vm,
                        "reason" => status.message());
                    lock(&self.selector).mark_failed(relay.vm, Instant::now());
                }
            }
        }
        Err(behind)
    }

    fn client(&self, address: SocketAddr) -> Result<PeersClient<Channel>, Status> {
        if let Some(client) = lock(&self.clients).get(&address) {
            return Ok(client.clone());
        }
        let channel = endpoint(address)?
            .connect_timeout(PING_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .connect_lazy();
        let client = PeersClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        let mut clients = lock(&self.clients);
        if clients.len() >= MAX_CONNECTIONS {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Ok(client)
    }
}

/// Returns whether `reply` contains changes.
pub(crate) fn has_changes(reply: &WatchReply) -> bool {
    reply.snapshot
        || reply.config.is_some()
        || !reply.written.is_empty()
        || !reply.deleted.is_empty()
}

async fn poll(
    relay: Record,
    client: Result<PeersClient<Channel>, Status>,
    request: Request<WatchRequest>,
) -> (Record, Result<WatchReply, Status>) {
    let response = match client {
        Ok(mut client) => timeout(MAX_HOLD + RESPONSE_MARGIN, client.watch(request))
            .await
            .unwrap_or_else(|_| {
                Err(Status::deadline_exceeded(
                    "no response within the time limit",
                ))
            }),
        Err(status) => Err(status),
    };
    (relay, response.map(tonic::Response::into_inner))
}
