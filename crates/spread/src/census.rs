//! The records of a failure domain in the store, for the cold start of a whole fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use member::{LinkId, Record};
use model::DomainName;
use prost::Message;
use slog::{info, warn};
use store::Expect;
use tokio::time::{interval, sleep};
use wire::fleet;

use crate::codec;
use crate::hub::Hub;

/// Prefix of the keys.
const PREFIX: &str = "members/";

/// Time between two writes of what changed.
const WRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Records under one key: about 200 KB before compression, far below the store's limit.
const CHUNK_RECORDS: usize = 2_000;

/// Most keys of the whole fleet.
const MAX_KEYS: u32 = 256;

/// Time in which a daemon that was read from the store has to be heard of.
const PROOF_TIMEOUT: Duration = Duration::from_secs(60);

/// Reads what the store has if this relay knows nobody else, and writes this failure domain's
/// records at a fixed rate if the duty has the first `slot`.
pub(crate) async fn run(hub: &Hub, slot: u32) {
    let read = async {
        if hub.table.members().live() <= 1 {
            prove(hub, read(hub).await).await;
        }
    };
    let write = async {
        if slot == 0 {
            write_all(hub).await;
        }
    };
    tokio::join!(read, write);
    // The duty ends for other reasons.
    std::future::pending().await
}

/// Takes over the records in the store; returns those of this failure domain.
async fn read(hub: &Hub) -> Vec<Record> {
    let Ok(entries) = hub.store.list(PREFIX, "", MAX_KEYS).await else {
        return Vec::new();
    };
    let mut records = Vec::new();
    for entry in entries {
        match fleet::Records::decode(entry.value.as_slice()) {
            Ok(chunk) => records.extend(codec::records(&hub.log, Some(chunk))),
            Err(error) => warn!(hub.log, "records in the store ignored"; "error" => %error),
        }
    }
    // A later start of this daemon's own VM has written none of them.
    records.retain(|record| record.vm != hub.settings.vm);
    info!(hub.log, "membership read from the store"; "records" => records.len());
    let news = hub.table.merge(records, LinkId::default());
    let own = news.into_iter();
    own.filter(|record| record.domain == hub.settings.domain)
        .collect()
}

/// Expires those of `records` whose daemons have not been heard of in time.
async fn prove(hub: &Hub, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    sleep(PROOF_TIMEOUT).await;
    let members = hub.table.members();
    for record in records {
        if members.get(&record.vm).as_ref() == Some(&record) {
            hub.table.expire(&record.vm);
        }
    }
}

/// Writes this failure domain's records whenever they changed.
async fn write_all(hub: &Hub) {
    let mut ticks = interval(WRITE_INTERVAL);
    let mut written: Vec<Record> = Vec::new();
    loop {
        ticks.tick().await;
        let records = hub.table.members().of_domain(&hub.settings.domain);
        if records == written {
            continue;
        }
        match write(hub, &hub.settings.domain, &records).await {
            Ok(()) => written = records,
            Err(error) => warn!(hub.log, "membership not written"; "error" => %error),
        }
    }
}

async fn write(hub: &Hub, domain: &DomainName, records: &[Record]) -> Result<(), store::Error> {
    let prefix = format!("{PREFIX}{domain}/");
    let mut keys = BTreeSet::new();
    for (i, chunk) in records.chunks(CHUNK_RECORDS).enumerate() {
        let key = format!("{prefix}{i:04}");
        let value = codec::to_wire(chunk).unwrap_or_default().encode_to_vec();
        hub.store.put(&key, value, Expect::Any, None).await?;
        keys.insert(key);
    }
    for entry in hub.store.list(&prefix, "", MAX_KEYS).await? {
        if !keys.contains(&entry.key) {
            hub.store.delete(&entry.key, Expect::Any).await?;
        }
    }
    Ok(())
}
