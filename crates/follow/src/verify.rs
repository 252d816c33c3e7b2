//! Checks with the store, beside a waiting watch, that no change was missed.

use std::time::Duration;

use rand::RngExt;
use slog::{debug, info};
use store::{Comparison, Error, Revision};
use tokio::time::{Instant, sleep_until};

use crate::node::Shared;
use crate::relays::Source;
use crate::topic::{Topic, apply_changes, relays_usable_at, source};

/// Mean pause after a failed check. Refusals for the store's rate limit are priced as well.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reason to end a watch that the store would go on with.
#[derive(Debug)]
pub(crate) enum WatchEnd {
    /// A change was read that the watch has not delivered; the watch continues after this revision.
    Missed(Revision),
    /// Enough relays respond.
    RelaysUsable,
}

/// Checks `topic` at the intervals of its terms for as long as there is no reason to end the watch beside it. The first
/// check is made at once if `is_doubtful`.
///
/// # Errors
///
/// Returns the error of the last check once the last confirmation is too old to answer for the store.
pub(crate) async fn verify(
    shared: &Shared,
    topic: &Topic,
    is_doubtful: bool,
) -> Result<WatchEnd, Error> {
    let state = topic.state(shared);
    let terms = topic.terms();
    let mut is_doubtful = is_doubtful;
    let mut retry_at = None;
    loop {
        let now = Instant::now();
        let is_relay = relays_usable_at(shared).is_none();
        let due = match is_doubtful {
            true => now,
            false => retry_at.unwrap_or(terms.check_at(state.confirmed(), is_relay, now)),
        };
        sleep_until(due).await;
        if let Source::Relays(_) = source(shared) {
            return Ok(WatchEnd::RelaysUsable);
        }
        (is_doubtful, retry_at) = (false, None);
        let sent_at = Instant::now();
        match check(shared, topic).await {
            Ok(None) => {
                state.confirm(sent_at);
                state.set_follows_store(true);
            }
            Ok(Some(revision)) => {
                state.confirm(sent_at);
                info!(shared.log, "change read that the watch has not delivered";
                    "prefix" => topic.prefix(), "revision" => %revision,
                    "in_force" => %shared.installer.version());
                return Ok(WatchEnd::Missed(revision));
            }
            Err(Error::Compacted) => return Err(Error::Compacted),
            Err(error) if !terms.is_valid(state.confirmed(), Instant::now()) => return Err(error),
            Err(error) => {
                debug!(shared.log, "check failed"; "prefix" => topic.prefix(), "error" => %error);
                let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5));
                retry_at = Some(Instant::now() + pause);
            }
        }
    }
}

/// Applies what the store has and this daemon has not; returns the revision to watch after if there was any.
async fn check(shared: &Shared, topic: &Topic) -> Result<Option<Revision>, Error> {
    match topic {
        Topic::Config(format) => {
            let seen = shared.installer.seen();
            match shared.store.compare(format.key(), seen).await? {
                Comparison::Unchanged | Comparison::Changed(None) => Ok(None),
                Comparison::Changed(Some(entry)) => {
                    let before = shared.installer.version();
                    shared.installer.offer_entries(std::slice::from_ref(&entry));
                    // The revision alone may be new, where the value came from a peer.
                    let changed = shared.installer.version() > before;
                    topic.state(shared).advance(entry.revision);
                    Ok(changed.then_some(entry.revision))
                }
            }
        }
        Topic::Members => {
            let scan = shared.store.scan(topic.prefix()).await?;
            let changes = topic.state(shared).difference(&scan);
            if changes.entries.is_empty() && changes.deleted.is_empty() {
                return Ok(None);
            }
            apply_changes(shared, topic, &changes);
            Ok(Some(scan.revision))
        }
    }
}
