//! Release of a version from the store: it is put in force once relays of two failure domains hold it.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use model::Version;
use rand::seq::SliceRandom;
use slog::warn;
use table::ApplyError;
use tokio::time::{sleep, timeout};
use tonic::Status;
use wire::fleet::HoldRequest;

use crate::hub::Hub;

/// Maximum number of relays queried concurrently.
const MAX_QUERIED: usize = 3;

/// Time-out of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before the next round of queries.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of failed rounds after which a warning is logged.
const WARN_ROUNDS: u32 = 50;

/// Waits until a relay of another failure domain holds `version`, then calls `apply`.
///
/// Calls `apply` at once if no other failure domain has a relay, and not at all if `version` comes in
/// force meanwhile.
///
/// # Errors
///
/// Returns the error of `apply`.
pub(crate) async fn release(
    hub: &Hub,
    version: Version,
    apply: impl FnOnce() -> Result<(), ApplyError>,
) -> Result<(), ApplyError> {
    hub.floor.stage(version);
    let mut rounds = 0;
    while hub.table.snapshot().version < version {
        let mut others = hub.relays.borrow().outside(&hub.settings.domain);
        if others.is_empty() || is_held(hub, &mut others, version).await {
            return apply();
        }
        rounds += 1;
        if rounds == WARN_ROUNDS {
            warn!(hub.log, "no relay of another failure domain holds the version; check the network";
                "version" => %version);
            hub.set_lag_reason("no relay of another failure domain confirms the version");
        }
        sleep(RETRY_DELAY).await;
    }
    Ok(())
}

/// Queries random relays of `others` and returns whether any of them holds `version`.
async fn is_held(hub: &Hub, others: &mut Vec<String>, version: Version) -> bool {
    others.shuffle(&mut rand::rng());
    others.truncate(MAX_QUERIED);
    let mut replies: FuturesUnordered<_> = others
        .iter()
        .map(|address| timeout(QUERY_TIMEOUT, held_version(hub, address, version)))
        .collect();
    while let Some(reply) = replies.next().await {
        if matches!(reply, Ok(Ok(held)) if held >= version) {
            return true;
        }
    }
    false
}

async fn held_version(hub: &Hub, address: &str, version: Version) -> Result<Version, Status> {
    let mut client = hub.client(address)?;
    let message = HoldRequest {
        version: version.get(),
    };
    hub.metrics.sent(&message);
    let reply = client.hold(hub.request(message)?).await?.into_inner();
    hub.metrics.received(&reply);
    Ok(Version::new(reply.version))
}
