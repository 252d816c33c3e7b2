//! Waits at relays for what they read from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use member::Record;
use model::{VmId, lock};
use slog::{Logger, debug};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tonic::transport::Channel;
use tonic::{Request, Status};
use wire::fleet::peers_client::PeersClient;
use wire::fleet::{WatchReply, WatchRequest};
use wire::{FleetKey, endpoint};

use crate::peers::MAX_MESSAGE_BYTES;
use crate::relays::{Relays, Source};

/// Longest time that a relay holds a question without news.
pub(crate) const HOLD: Duration = Duration::from_secs(2);

/// Time beyond the hold in which an answer must come.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Time between two signs of life that a relay's connection is asked for. A relay that is gone is to be
/// noticed early enough to read a version from the store in time, 2 s after it was accepted.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time in which a sign of life must come; narrow links hold packets for some 300 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Connections kept at most; all are opened anew beyond that. A daemon follows two relays, and their
/// addresses change with restarts.
const MAX_CLIENTS: usize = 16;

/// The relays and the connections to them.
#[derive(Debug)]
pub(crate) struct Polls {
    key: FleetKey,
    relays: Mutex<Relays>,
    clients: Mutex<BTreeMap<SocketAddr, PeersClient<Channel>>>,
    log: Logger,
}

impl Polls {
    pub(crate) fn new(key: FleetKey, log: Logger) -> Self {
        Self {
            key,
            relays: Mutex::default(),
            clients: Mutex::default(),
            log,
        }
    }

    /// Returns where the daemon of `own` reads changes now.
    pub(crate) fn source(&self, own: &Record, members: &[Record]) -> Source {
        lock(&self.relays).source(own, members, Instant::now())
    }

    /// Waits at every one of `relays`; returns the first answer of one that follows the store or has
    /// news, nothing if there is none.
    pub(crate) async fn watch(
        &self,
        relays: &[Record],
        request: WatchRequest,
    ) -> Option<WatchReply> {
        let mut waiting = JoinSet::new();
        for relay in relays {
            let client = self.client(relay.fleet);
            let asked = self.key.authorized(request);
            waiting.spawn(ask(relay.clone(), client, asked));
        }
        while let Some(answer) = waiting.join_next().await {
            let Ok((relay, answer)) = answer else {
                continue;
            };
            match answer {
                Ok(reply) if reply.follows || has_news(&reply) => return Some(reply),
                Ok(_) => self.fail(&relay, "it does not follow the store"),
                Err(status) => {
                    lock(&self.clients).remove(&relay.fleet);
                    self.fail(&relay, status.message());
                }
            }
        }
        None
    }

    fn fail(&self, relay: &Record, reason: &str) {
        debug!(self.log, "relay set aside"; "relay" => %relay.vm, "reason" => reason);
        let vm: VmId = relay.vm.clone();
        lock(&self.relays).failed(vm, Instant::now());
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
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(address, client.clone());
        Ok(client)
    }
}

/// Returns whether `reply` brings changes.
pub(crate) fn has_news(reply: &WatchReply) -> bool {
    reply.config.is_some() || !reply.written.is_empty() || !reply.deleted.is_empty()
}

async fn ask(
    relay: Record,
    client: Result<PeersClient<Channel>, Status>,
    request: Request<WatchRequest>,
) -> (Record, Result<WatchReply, Status>) {
    let answer = match client {
        Ok(mut client) => timeout(HOLD + ANSWER_TIME, client.watch(request))
            .await
            .unwrap_or_else(|_| Err(Status::deadline_exceeded("no answer in time"))),
        Err(status) => Err(status),
    };
    (relay, answer.map(tonic::Response::into_inner))
}
