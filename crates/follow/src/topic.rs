//! Follows one topic, from the store or from relays.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use member::Record;
use model::Version;
use slog::info;
use store::{Changes, Entry, Era, Error, Revision, Scan};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};
use wire::fleet;
use wire::fleet::{WatchReply, WatchRequest};

use crate::ConfigFormat;
use crate::confirmation::{Terms, relayed};
use crate::members;
use crate::node::Shared;
use crate::peers::terms;
use crate::relay_client::{MAX_HOLD, has_changes};
use crate::relays::Source;
use crate::schedule::{CatchUp, Read, ReadSchedule};
use crate::topic_state::TopicState;
use crate::verify::{WatchEnd, verify};

/// Minimum interval between reads of the configuration while it changes. Accepted versions must be in
/// force within 2 s.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum interval between reads of the records while they change.
const MEMBERS_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time for which a starting daemon waits for the membership, which names the relays, before it reads the
/// configuration from the store. On a narrow link that read may take longer than its time-out.
const MEMBERS_WAIT: Duration = Duration::from_millis(500);

/// A set of keys that is followed.
#[derive(Debug)]
pub(crate) enum Topic {
    Config(Arc<dyn ConfigFormat>),
    Members,
}

impl Topic {
    pub(crate) fn prefix(&self) -> &str {
        match self {
            Self::Config(format) => format.key(),
            Self::Members => members::PREFIX,
        }
    }

    fn schedule(&self, now: Instant) -> ReadSchedule {
        match self {
            Self::Config(_) => ReadSchedule::new(CONFIG_READ_INTERVAL, CatchUp::Values, now),
            Self::Members => ReadSchedule::new(MEMBERS_READ_INTERVAL, CatchUp::History, now),
        }
    }

    fn wire(&self) -> fleet::Topic {
        match self {
            Self::Config(_) => fleet::Topic::Config,
            Self::Members => fleet::Topic::Members,
        }
    }

    pub(crate) fn terms(&self) -> Terms {
        terms(self.wire())
    }

    pub(crate) fn state<'a>(&self, shared: &'a Shared) -> &'a TopicState {
        shared.exchange.topic_state(self.wire())
    }
}

/// Follows `topic` until the daemon stops.
pub(crate) async fn follow(shared: Arc<Shared>, topic: Topic) {
    let mut schedule = topic.schedule(Instant::now());
    if let Topic::Config(_) = topic {
        wait_for_members(&shared).await;
    }
    let mut last_source = None;
    loop {
        let (due, read) = schedule.next_read();
        sleep_until(due).await;
        let source = source(&shared);
        if source == Source::Store
            && let Some(usable_at) = relays_usable_at(&shared)
        {
            let now = Instant::now();
            let read_at = topic.terms().read_at(topic.state(&shared).confirmed(), now);
            if now < read_at {
                sleep_until(usable_at.min(read_at)).await;
                continue;
            }
        }
        log_change(&shared, &topic, &source, read, &mut last_source);
        match source {
            Source::Relays(relays) => {
                topic.state(&shared).set_follows_store(false);
                let after = continuation(&shared, read);
                poll(&shared, &topic, &relays, after, &mut schedule).await;
            }
            Source::Store => read_store(&shared, &topic, read, &mut schedule).await,
        }
    }
}

/// Logs a change of where `topic` is read from, with the revision after which it is read.
fn log_change(
    shared: &Shared,
    topic: &Topic,
    source: &Source,
    read: Read,
    last: &mut Option<&'static str>,
) {
    let name = source.name();
    if last.replace(name) == Some(name) {
        return;
    }
    info!(shared.log, "source changed"; "prefix" => topic.prefix(), "source" => name,
        "after" => %continuation(shared, read), "in_force" => %shared.installer.version());
}

/// Waits until the membership has been read, or [`MEMBERS_WAIT`] has passed.
async fn wait_for_members(shared: &Shared) {
    let members = shared.exchange.topic_state(fleet::Topic::Members);
    let mut reads = members.subscribe();
    let read = reads.wait_for(|revision| *revision > Revision::ZERO);
    if timeout(MEMBERS_WAIT, read).await.is_err() {
        info!(shared.log, "membership not read yet; the configuration is read from the store";
            "waited_ms" => MEMBERS_WAIT.as_millis() as u64);
    }
}

/// Returns the revision after which `read` wants changes. For a scan it precedes every revision of the
/// store's latest era, so that no relay which is still in an earlier one responds.
fn continuation(shared: &Shared, read: Read) -> Revision {
    match read {
        Read::Scan => Revision {
            era: *shared.store.era().borrow(),
            number: 0,
        },
        Read::Refresh { after } | Read::Watch { after, .. } => after,
    }
}

pub(crate) fn source(shared: &Shared) -> Source {
    let members = shared.directory.table().members();
    shared.relay_client.source(&members.own(), &members.all())
}

/// Returns the time at which this daemon has enough relays to poll, if it is none itself.
pub(crate) fn relays_usable_at(shared: &Shared) -> Option<Instant> {
    let members = shared.directory.table().members();
    shared
        .relay_client
        .usable_at(&members.own(), &members.all())
}

/// Polls `relays` for changes. A failed relay is not polled again before its backoff ends.
async fn poll(
    shared: &Shared,
    topic: &Topic,
    relays: &[Record],
    after: Revision,
    schedule: &mut ReadSchedule,
) {
    let request = WatchRequest {
        topic: topic.wire().into(),
        after: after.number,
        era: after.era.0,
        version: shared.installer.version().get(),
        wait_ms: MAX_HOLD.as_millis() as u32,
    };
    let sent_at = Instant::now();
    let mut reply = match shared.relay_client.watch(relays, request).await {
        Ok(reply) => reply,
        Err(behind) => {
            for reply in &behind {
                confirm(shared, topic, reply, sent_at);
            }
            let confirmed = topic.state(shared).confirmed();
            info!(shared.log, "no relay follows the store"; "prefix" => topic.prefix(),
                "behind" => behind.len(), "in_force" => %shared.installer.version(),
                "confirmed_ms_ago" => confirmed.map(|at| at.elapsed().as_millis() as u64));
            return;
        }
    };
    let changed = has_changes(&reply);
    if let Some(config) = &reply.config {
        shared.installer.offer_packed(config, "relay");
    }
    let revision = apply_reply(shared, topic, &mut reply);
    confirm(shared, topic, &reply, sent_at);
    schedule.relayed(revision, changed, Instant::now());
}

/// Takes over the confirmation of a relay for a request that was sent at `sent_at`, if this daemon has its version.
fn confirm(shared: &Shared, topic: &Topic, reply: &WatchReply, sent_at: Instant) {
    if let Topic::Config(_) = topic {
        if shared.installer.version() < Version::new(reply.version) {
            return;
        }
        shared.installer.mark_seen(Revision {
            era: Era(reply.era),
            number: reply.config_revision,
        });
    }
    if let Some(at) = reply.confirmed_ms.and_then(|ms| relayed(sent_at, ms)) {
        topic.state(shared).confirm(at);
    }
}

/// Applies the entries in the response of a relay, which are taken out; returns the response's revision.
fn apply_reply(shared: &Shared, topic: &Topic, reply: &mut WatchReply) -> Revision {
    let era = Era(reply.era);
    let in_era = |number| Revision { era, number };
    let revision = in_era(reply.revision);
    let entries = std::mem::take(&mut reply.written)
        .into_iter()
        .map(|entry| Entry {
            key: entry.key,
            value: entry.value,
            revision: in_era(entry.revision),
        });
    let entries = entries.collect();
    if reply.snapshot {
        apply_scan(shared, topic, &Scan { entries, revision });
    } else {
        let changes = Changes {
            entries,
            deleted: std::mem::take(&mut reply.deleted),
            revision,
        };
        apply_changes(shared, topic, &changes);
    }
    revision
}

async fn read_store(shared: &Shared, topic: &Topic, read: Read, schedule: &mut ReadSchedule) {
    let state = topic.state(shared);
    let is_watch = matches!(read, Read::Watch { .. });
    if is_watch && !schedule.is_failing() {
        state.set_follows_store(true);
    }
    let mut store_up = shared.store_up.subscribe();
    let era = shared.store.era();
    let is_doubtful = schedule.is_failing();
    let result = tokio::select! {
        result = execute(shared, topic, read, schedule) => result,
        end = verify(shared, topic, is_doubtful), if is_watch => end.map(|end| match end {
            WatchEnd::Missed(revision) => schedule.watched(revision, true, Instant::now()),
            WatchEnd::RelaysUsable => {}
        }),
        // The watch waits for a revision that the restored store may give out again, or not at all.
        () = restored(era, read), if is_watch => Err(Error::Compacted),
        // The connection of a waiting watch may be dead; the failure of another call reveals it.
        () = store_unreachable(&mut store_up), if is_watch => {
            Err(Error::Unavailable("the store does not answer other calls".into()))
        }
    };
    let Err(error) = result else {
        return;
    };
    state.set_follows_store(false);
    schedule.failed(&error, rand::random(), Instant::now());
    // Logged ever more rarely while reads go on failing.
    if schedule.failures().is_power_of_two() || error == Error::Compacted {
        info!(shared.log, "read of the store failed"; "prefix" => topic.prefix(), "read" => ?read,
            "error" => %error, "failures" => schedule.failures(),
            "in_force" => %shared.installer.version());
    }
}

/// Waits until the store names a later era than that of the revision which `read` continues from.
async fn restored(mut era: watch::Receiver<Era>, read: Read) {
    let Read::Watch { after, .. } = read else {
        return;
    };
    if era.wait_for(|era| *era > after.era).await.is_err() {
        std::future::pending().await
    }
}

/// Waits until the store stops answering.
async fn store_unreachable(store_up: &mut watch::Receiver<bool>) {
    if store_up.wait_for(|store_up| !store_up).await.is_err() {
        std::future::pending().await
    }
}

async fn execute(
    shared: &Shared,
    topic: &Topic,
    read: Read,
    schedule: &mut ReadSchedule,
) -> Result<(), Error> {
    match read {
        Read::Scan | Read::Refresh { .. } => {
            let sent_at = Instant::now();
            let scan = shared.store.scan(topic.prefix()).await?;
            let changed = apply_scan(shared, topic, &scan);
            topic.state(shared).confirm(sent_at);
            schedule.scanned(scan.revision, changed, Instant::now());
        }
        Read::Watch { after, wait } => {
            let changes = shared.store.watch(topic.prefix(), after, wait).await?;
            let changed = !changes.entries.is_empty() || !changes.deleted.is_empty();
            apply_changes(shared, topic, &changes);
            schedule.watched(changes.revision, changed, Instant::now());
        }
    }
    Ok(())
}

/// Applies a scan of every key; returns whether it contained a newer configuration.
fn apply_scan(shared: &Shared, topic: &Topic, scan: &Scan) -> bool {
    let state = topic.state(shared);
    match topic {
        Topic::Config(_) => {
            let before = shared.installer.version();
            shared.installer.offer_entries(&scan.entries);
            state.advance(scan.revision);
            shared.installer.version() > before
        }
        Topic::Members => {
            shared.directory.apply_scan(&scan.entries);
            shared.members_read.store(true, Ordering::Relaxed);
            shared.exchange.members_known.send_replace(true);
            state.apply_scan(&scan.entries, scan.revision);
            false
        }
    }
}

pub(crate) fn apply_changes(shared: &Shared, topic: &Topic, changes: &Changes) {
    let state = topic.state(shared);
    match topic {
        Topic::Config(_) => {
            shared.installer.offer_entries(&changes.entries);
            state.advance(changes.revision);
        }
        Topic::Members => {
            shared.directory.apply_deletes(&changes.deleted);
            shared.directory.apply_writes(&changes.entries);
            state.apply_changes(changes);
        }
    }
}
