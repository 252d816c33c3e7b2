//! Backup of a failure domain's membership in the store, for the cold start of a whole fleet.

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

/// Prefix of the store keys.
const PREFIX: &str = "members/";

/// Interval at which changed records are written.
const WRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Number of records under one key: about 200 KB before compression, far below the store's limit.
const CHUNK_RECORDS: usize = 2_000;

/// Maximum number of keys of the whole fleet.
const MAX_KEYS: u32 = 256;

/// Time within which a daemon whose record was restored must announce a newer one.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(60);

/// Restores the membership from the store if this relay knows no other daemon; backs up this failure
/// domain's records at a fixed interval if this relay has slot 0.
pub(crate) async fn run(hub: &Hub, slot: u32) {
    let restore = async {
        if hub.table.members().live() <= 1 {
            expire_unconfirmed(hub, restore_records(hub).await).await;
        }
    };
    let backup = async {
        if slot == 0 {
            backup_records(hub).await;
        }
    };
    tokio::join!(restore, backup);
    // The caller ends the relay role when any of its tasks returns, so this one never does.
    std::future::pending().await
}

/// Merges the records in the store; returns the new ones of this failure domain.
async fn restore_records(hub: &Hub) -> Vec<Record> {
    let Ok(entries) = hub.store.list(PREFIX, "", MAX_KEYS).await else {
        return Vec::new();
    };
    let mut records = Vec::new();
    for entry in entries {
        match fleet::Records::decode(entry.value.as_slice()) {
            Ok(chunk) => records.extend(codec::records_from_wire(&hub.log, Some(chunk))),
            Err(error) => {
                warn!(hub.log, "ignoring records in the store that cannot be decoded"; "error" => %error)
            }
        }
    }
    // Any record of the local VM is from an earlier incarnation.
    records.retain(|record| record.vm != hub.settings.vm);
    info!(hub.log, "membership restored from the store"; "records" => records.len());
    let merged = hub.table.merge(records, LinkId::default());
    let merged = merged.into_iter();
    merged
        .filter(|record| record.domain == hub.settings.domain)
        .collect()
}

/// Expires the daemons of `records` that announce no newer record within [`CONFIRM_TIMEOUT`].
async fn expire_unconfirmed(hub: &Hub, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    sleep(CONFIRM_TIMEOUT).await;
    let members = hub.table.members();
    for record in records {
        if members.get(&record.vm).as_ref() == Some(&record) {
            hub.table.expire(&record.vm);
        }
    }
}

/// Writes this failure domain's records to the store whenever they changed.
async fn backup_records(hub: &Hub) {
    let mut ticks = interval(WRITE_INTERVAL);
    let mut written: Vec<Record> = Vec::new();
    loop {
        ticks.tick().await;
        let records = hub.table.members().of_domain(&hub.settings.domain);
        if records == written {
            continue;
        }
        match write_records(hub, &hub.settings.domain, &records).await {
            Ok(()) => written = records,
            Err(error) => warn!(hub.log, "failed to write membership"; "error" => %error),
        }
    }
}

async fn write_records(
    hub: &Hub,
    domain: &DomainName,
    records: &[Record],
) -> Result<(), store::Error> {
    let prefix = format!("{PREFIX}{domain}/");
    let mut keys = BTreeSet::new();
    for (i, chunk) in records.chunks(CHUNK_RECORDS).enumerate() {
        let key = format!("{prefix}{i:04}");
        let value = codec::records_to_wire(chunk)
            .unwrap_or_default()
            .encode_to_vec();
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
