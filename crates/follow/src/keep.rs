//! Keeps the local record where a daemon that starts on this VM finds it, and finds that of its predecessors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use model::UnixMillis;
use slog::{info, warn};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::holders::{Copies, HOLDERS, Inquiry, UsualTime, holders};
use crate::node::Shared;

/// Time in which the store and peers usually answer.
const USUAL_TIME: Duration = Duration::from_millis(250);

/// Pause before the record is sent to all peers again, or all are queried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time from the start of a daemon after which it no longer asks for its predecessors. A heartbeat that was sent to one
/// of them has arrived by then.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Returns whether the store and peers that were called at `started` may still answer in time.
fn usual_time(started: Instant) -> UsualTime {
    match started.elapsed() < USUAL_TIME {
        true => UsualTime::Running,
        false => UsualTime::Over,
    }
}

/// Returns the addresses of the peers that hold the local record, in order.
fn addresses(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.directory.table().members();
    let all = members.all();
    let holders = holders(&members.own(), &all, UnixMillis::now());
    holders.iter().map(|holder| holder.fleet).collect()
}

/// Waits until the local record with `counter` is kept in the store or by peers.
pub(crate) async fn keep(shared: &Arc<Shared>, counter: u64) {
    let started = Instant::now();
    let mut written = shared.written.subscribe();
    let mut copies = Copies::default();
    loop {
        let peers = addresses(shared);
        copies.known = peers.len();
        copies.peers = 0;
        let mut left = peers.into_iter();
        let mut calls = JoinSet::new();
        loop {
            while calls.len() + copies.peers < HOLDERS
                && let Some(address) = left.next()
            {
                let exchange = shared.exchange.clone();
                calls.spawn(async move { exchange.replicate_to(address).await });
            }
            let time = usual_time(started);
            if copies.are_enough(time) {
                calls.detach_all();
                info!(shared.log, "record kept"; "counter" => counter, "in_store" => copies.in_store,
                    "peers" => copies.peers, "took_ms" => started.elapsed().as_millis() as u64);
                return;
            }
            tokio::select! {
                Some(answered) = calls.join_next() => {
                    copies.peers += usize::from(matches!(answered, Ok(true)));
                }
                Ok(_) = written.wait_for(|written| *written >= counter), if !copies.in_store => {
                    copies.in_store = true;
                }
                () = sleep_until(started + USUAL_TIME), if time == UsualTime::Running => {}
                () = sleep(RETRY_PAUSE), if calls.is_empty() => break,
            }
        }
    }
}

/// Learns what earlier daemons on this VM acknowledged, from the store and from the peers that hold their records.
pub(crate) async fn recover(shared: Arc<Shared>) {
    let started = Instant::now();
    let deadline = started + RECOVERY_LIMIT;
    match timeout_at(deadline, inquire(&shared)).await {
        Ok(inquiry) => info!(shared.log, "earlier records found"; "store" => inquiry.store_read,
            "peers" => inquiry.answered, "known" => inquiry.known,
            "took_ms" => started.elapsed().as_millis() as u64),
        Err(_) => {
            warn!(shared.log, "earlier records of this VM may be unknown: too few peers answer";
            "took_ms" => started.elapsed().as_millis() as u64)
        }
    }
    shared.recovered.send_replace(true);
}

async fn inquire(shared: &Arc<Shared>) -> Inquiry {
    let mut known = shared.exchange.members_known.subscribe();
    loop {
        // The sender lives as long as `shared`.
        let _ = known.wait_for(|known| *known).await;
        let inquiry = query_peers(shared, addresses(shared)).await;
        if inquiry.is_complete(UsualTime::Over) {
            return inquiry;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Asks `peers` in their order, the next ones while too few answer in the usual time, until enough have answered or
/// none is left.
async fn query_peers(shared: &Arc<Shared>, peers: Vec<SocketAddr>) -> Inquiry {
    let started = Instant::now();
    let mut inquiry = Inquiry {
        known: peers.len(),
        ..Inquiry::default()
    };
    let mut left = peers.chunks(HOLDERS);
    let mut calls = JoinSet::new();
    let mut next_at = started;
    loop {
        if Instant::now() >= next_at || calls.is_empty() {
            for address in left.next().unwrap_or_default() {
                let (exchange, address) = (shared.exchange.clone(), *address);
                calls.spawn(async move { exchange.query_departures(address).await });
            }
            next_at = Instant::now() + USUAL_TIME;
        }
        inquiry.pending = calls.len();
        inquiry.store_read = shared.members_read.load(Ordering::Relaxed);
        if inquiry.is_complete(usual_time(started)) || calls.is_empty() {
            return inquiry;
        }
        tokio::select! {
            Some(answered) = calls.join_next() => match answered {
                Ok(true) => inquiry.answered += 1,
                Ok(false) | Err(_) => inquiry.failed += 1,
            },
            () = sleep_until(next_at) => {}
        }
    }
}
