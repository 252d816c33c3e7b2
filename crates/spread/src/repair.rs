//! Comparison with a random peer, which repairs what the links lost.

use std::sync::Arc;
use std::time::Duration;

use member::Record;
use rand::RngExt;
use rand::seq::IndexedRandom;
use slog::{debug, warn};
use tokio::time::{sleep, timeout};
use wire::fleet::CompareRequest;

use crate::codec::{self, Update};
use crate::hub::Hub;

/// Longest wait for a peer's answer.
const COMPARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Compares with one random peer after the other until the daemon stops.
pub(crate) async fn run(hub: Arc<Hub>) {
    loop {
        let mean = hub.settings.compare.get();
        let pause = rand::rng().random_range(mean / 2..=mean + mean / 2);
        tokio::select! {
            () = sleep(Duration::from_millis(pause)) => {}
            () = hub.stop.cancelled() => return,
        }
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

async fn compare(hub: &Hub, address: &str) -> Result<(), tonic::Status> {
    let snapshot = hub.table.snapshot();
    let request = hub.request(CompareRequest {
        version: snapshot.version.get(),
        digest: snapshot.digest.as_bytes().to_vec(),
    })?;
    let mut client = hub.client(address)?;
    let reply = timeout(COMPARE_TIMEOUT, client.compare(request))
        .await
        .map_err(|_| tonic::Status::deadline_exceeded("no answer in time"))??
        .into_inner();
    let update = Update {
        changes: reply.changes,
        state: reply.state,
    };
    if let Err(error) = update.apply(&hub.table) {
        warn!(hub.log, "version not put in force"; "peer" => address, "error" => %error);
    }
    let records = codec::records(&hub.log, reply.records);
    hub.table.merge(records, hub.new_link());
    Ok(())
}
