//! Puts a version from the store in force once relays of two failure domains hold it.

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

/// Relays asked at once.
const MAX_ASKED: usize = 3;

/// Longest wait for one relay.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause until other relays are asked.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Failed rounds after which a warning is logged.
const WARN_ROUNDS: u32 = 50;

/// Waits until a relay of another failure domain holds `version`, and then calls `apply`.
///
/// # Errors
///
/// Fails if `apply` does.
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
            hub.set_trouble("no relay of another failure domain confirms the version");
        }
        sleep(RETRY_PAUSE).await;
    }
    Ok(())
}

/// Returns whether one of some random relays holds `version`.
async fn is_held(hub: &Hub, others: &mut Vec<String>, version: Version) -> bool {
    others.shuffle(&mut rand::rng());
    others.truncate(MAX_ASKED);
    let mut answers: FuturesUnordered<_> = others
        .iter()
        .map(|address| timeout(ASK_TIMEOUT, ask(hub, address, version)))
        .collect();
    while let Some(answer) = answers.next().await {
        if matches!(answer, Ok(Ok(held)) if held >= version) {
            return true;
        }
    }
    false
}

async fn ask(hub: &Hub, address: &str, version: Version) -> Result<Version, Status> {
    let mut client = hub.client(address)?;
    let message = HoldRequest {
        version: version.get(),
    };
    hub.traffic.sent(&message);
    let reply = client.hold(hub.request(message)?).await?.into_inner();
    hub.traffic.received(&reply);
    Ok(Version::new(reply.version))
}
