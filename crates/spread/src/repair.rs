//! Comparison with a random peer, which repairs what the links lost and carries the fleet while
//! there is no relay.

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

use crate::codec::{self, Mark, Update};
use crate::hub::Hub;

/// Longest wait for a peer's answer.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Own records sent in one comparison; the rest waits for the next one.
const MAX_SENT_RECORDS: usize = 500;

/// Compares with one random peer after the other until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    loop {
        let mean = hub.settings.compare.get();
        let pause = rand::rng().random_range(mean / 2..=mean + mean / 2);
        tokio::select! {
            () = sleep(Duration::from_millis(pause)) => {}
            () = hub.stop.cancelled() => return,
        }
        hub.table.members().sweep(UnixMillis::now());
        let Some(address) = peer(&hub) else {
            continue;
        };
        if let Err(status) = compare(&hub, &address).await {
            debug!(hub.log, "peer not reached"; "peer" => address, "error" => status.message());
        }
    }
}

/// Returns the address of a random known daemon, or of a seed.
fn peer(hub: &Hub) -> Option<String> {
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
    let own = members.buckets();
    let mark = Mark::of(&hub.table);
    let request = CompareRequest {
        mark: hub.is_ready().then(|| mark.to_wire()),
        root: own.root(),
        buckets: Vec::new(),
        records: None,
    };
    let reply = call(hub, address, request).await?;
    let update = Update {
        changes: reply.changes,
        state: reply.state,
    };
    if let Err(error) = hub.offer(update) {
        warn!(hub.log, "version not put in force"; "peer" => address, "error" => %error);
    }
    let Some(theirs) = Buckets::from_wire(reply.digests) else {
        return Ok(());
    };
    let mut differing = own.differing(&theirs);
    differing.shuffle(&mut rand::rng());
    let buckets = fitting(hub, &differing);
    let records = members.in_buckets(&buckets);
    let request = CompareRequest {
        mark: None,
        root: 0,
        buckets: buckets.iter().map(|bucket| bucket.get()).collect(),
        records: codec::to_wire(&records),
    };
    let reply = call(hub, address, request).await?;
    let records = codec::records(&hub.log, reply.records);
    hub.table.merge(records, hub.new_link(false));
    Ok(())
}

/// Returns as many of `differing` as hold no more records than one comparison sends.
fn fitting(hub: &Hub, differing: &[BucketIndex]) -> BTreeSet<BucketIndex> {
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

/// Returns whether the daemon that wrote `record` answers.
pub(crate) async fn answers(hub: &Hub, record: &Record) -> bool {
    let request = CompareRequest {
        root: hub.table.members().buckets().root(),
        ..CompareRequest::default()
    };
    let address = record.fleet.to_string();
    call(hub, &address, request).await.is_ok()
}

async fn call(hub: &Hub, address: &str, request: CompareRequest) -> Result<CompareReply, Status> {
    let mut client = hub.client(address)?;
    hub.traffic.sent(&request);
    let request = hub.request(request)?;
    let reply = timeout(COMPARE_TIMEOUT, client.compare(request))
        .await
        .map_err(|_| Status::deadline_exceeded("no answer in time"))??
        .into_inner();
    hub.traffic.received(&reply);
    Ok(reply)
}

/// Answers a peer's comparison.
pub(crate) fn answer(hub: &Hub, theirs: CompareRequest) -> CompareReply {
    let members = hub.table.members();
    let mut reply = CompareReply::default();
    if theirs.buckets.is_empty() {
        let own = members.buckets();
        if own.root() != theirs.root {
            reply.digests = own.as_slice().to_vec();
        }
        add_update(hub, theirs.mark, &mut reply);
        return reply;
    }
    let buckets = theirs.buckets.iter();
    let buckets = buckets.filter_map(|index| BucketIndex::new(*index));
    let known = codec::records(&hub.log, theirs.records);
    let mut own = members.in_buckets(&buckets.collect());
    own.retain(|record| !known.contains(record));
    reply.records = codec::to_wire(&own);
    hub.table.merge(known, hub.new_link(false));
    reply
}

/// Adds the versions that a peer lacks; a whole state only if not too many others take one.
fn add_update(hub: &Hub, mark: Option<wire::fleet::Mark>, reply: &mut CompareReply) {
    let Some(mark) = mark else {
        return;
    };
    let mark = Mark::from_wire(Some(mark));
    let own = Mark::of(&hub.table).version;
    if own <= mark.version || own == Version::default() {
        return;
    }
    if hub.is_far_behind(mark) && hub.transfers.available_permits() == 0 {
        return;
    }
    let update = hub.update_after(mark);
    reply.changes = update.changes;
    reply.state = update.state;
}
