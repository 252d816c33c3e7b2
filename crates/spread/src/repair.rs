//! Anti-entropy: periodic comparison with a random peer.
//!
//! Repairs updates lost on the links, and distributes versions and membership while there is no
//! relay.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use member::{BucketIndex, Buckets, Record};
use model::{UnixMillis, Version};
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use slog::{debug, warn};
use tokio::time::{sleep, timeout};
use tonic::Status;
use wire::fleet::{CompareReply, CompareRequest};

use crate::codec::{self, Update, VersionStamp};
use crate::hub::Hub;

/// Time-out of one request to a peer.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of local records sent in one comparison; the rest waits for later ones.
const MAX_SENT_RECORDS: usize = 500;

/// Compares with one random peer after another until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    loop {
        let mean = hub.settings.compare.get();
        let pause = rand::rng().random_range(mean / 2..=mean + mean / 2);
        tokio::select! {
            () = sleep(Duration::from_millis(pause)) => {}
            () = hub.stop.cancelled() => return,
        }
        hub.table.members().sweep(UnixMillis::now());
        let Some(address) = random_peer(&hub) else {
            continue;
        };
        if let Err(status) = compare(&hub, &address).await {
            debug!(hub.log, "comparison with peer failed"; "peer" => address, "error" => status.message());
        }
    }
}

/// Returns the address of a random known daemon, or of a seed.
fn random_peer(hub: &Hub) -> Option<String> {
    let others = hub.table.members().addresses(Record::is_alive);
    let seeds = hub.settings.seeds.iter().copied();
    let all: Vec<_> = others
        .into_iter()
        .chain(seeds)
        .filter(|address| *address != hub.address)
        .collect();
    all.choose(&mut rand::rng()).map(ToString::to_string)
}

async fn compare(hub: &Hub, address: &str) -> Result<(), Status> {
    let members = hub.table.members();
    let local = members.buckets();
    let stamp = VersionStamp::of(&hub.table);
    let request = CompareRequest {
        mark: hub.is_ready().then(|| stamp.to_wire()),
        root: local.root(),
        buckets: Vec::new(),
        records: None,
    };
    let reply = send_request(hub, address, request).await?;
    let update = Update {
        changes: reply.changes,
        state: reply.state,
    };
    if let Err(error) = hub.apply_update(update) {
        warn!(hub.log, "failed to apply update from peer"; "peer" => address, "error" => %error);
    }
    let Some(theirs) = Buckets::from_wire(reply.digests) else {
        return Ok(());
    };
    let mut differing = local.differing(&theirs);
    differing.shuffle(&mut rand::rng());
    let buckets = limit_buckets(hub, &differing);
    let records = members.in_buckets(&buckets);
    let request = CompareRequest {
        mark: None,
        root: 0,
        buckets: buckets.iter().map(|bucket| bucket.get()).collect(),
        records: codec::records_to_wire(&records),
    };
    let reply = send_request(hub, address, request).await?;
    let records = codec::records_from_wire(&hub.log, reply.records);
    hub.table.merge(records, hub.new_link(false));
    Ok(())
}

/// Returns the first of `differing`, up to [`MAX_SENT_RECORDS`] records in total but at least one
/// bucket.
fn limit_buckets(hub: &Hub, differing: &[BucketIndex]) -> BTreeSet<BucketIndex> {
    let mut buckets = BTreeSet::new();
    let mut count = 0;
    for bucket in differing {
        count += hub
            .table
            .members()
            .in_buckets(&BTreeSet::from([*bucket]))
            .len();
        if count > MAX_SENT_RECORDS && !buckets.is_empty() {
            break;
        }
        buckets.insert(*bucket);
    }
    buckets
}

/// Returns whether the daemon of `record` responds.
pub(crate) async fn is_reachable(hub: &Hub, record: &Record) -> bool {
    let request = CompareRequest {
        root: hub.table.members().buckets().root(),
        ..CompareRequest::default()
    };
    let address = record.fleet.to_string();
    send_request(hub, &address, request).await.is_ok()
}

async fn send_request(
    hub: &Hub,
    address: &str,
    request: CompareRequest,
) -> Result<CompareReply, Status> {
    let mut client = hub.client(address)?;
    hub.metrics.sent(&request);
    let request = hub.request(request)?;
    let reply = timeout(COMPARE_TIMEOUT, client.compare(request))
        .await
        .map_err(|_| Status::deadline_exceeded("no response within the time-out"))??
        .into_inner();
    hub.metrics.received(&reply);
    Ok(reply)
}

/// Handles a peer's comparison request.
pub(crate) fn serve(hub: &Hub, request: CompareRequest) -> CompareReply {
    let members = hub.table.members();
    let mut reply = CompareReply::default();
    if request.buckets.is_empty() {
        let local = members.buckets();
        if local.root() != request.root {
            reply.digests = local.as_slice().to_vec();
        }
        add_update(hub, request.mark, &mut reply);
        return reply;
    }
    let buckets = request.buckets.iter();
    let buckets = buckets.filter_map(|index| BucketIndex::new(*index));
    let theirs = codec::records_from_wire(&hub.log, request.records);
    let mut missing = members.in_buckets(&buckets.collect());
    missing.retain(|record| !theirs.contains(record));
    reply.records = codec::records_to_wire(&missing);
    hub.table.merge(theirs, hub.new_link(false));
    reply
}

/// Adds the versions that a peer lacks to `reply`; a large update only while a transfer slot is free.
fn add_update(hub: &Hub, mark: Option<wire::fleet::Mark>, reply: &mut CompareReply) {
    let Some(mark) = mark else {
        return;
    };
    let stamp = VersionStamp::from_wire(Some(mark));
    let version = VersionStamp::of(&hub.table).version;
    if version <= stamp.version || version == Version::default() {
        return;
    }
    if hub.is_far_behind(stamp) && hub.transfers.available_permits() == 0 {
        return;
    }
    let update = hub.update_after(stamp);
    reply.changes = update.changes;
    reply.state = update.state;
}
