//! Follows one topic, in the store or at relays.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use member::Record;
use slog::info;
use store::{Changes, Entry, Error, Revision, Scan};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use wire::fleet;
use wire::fleet::{WatchReply, WatchRequest};

use crate::ConfigFormat;
use crate::followed::Followed;
use crate::members;
use crate::node::Shared;
use crate::polls::{HOLD, has_news};
use crate::relays::Source;
use crate::tail::{CatchUp, Read, Tail};

/// Least time between two reads of the configuration while it changes. Accepted versions are to be in
/// force within 2 s.
const CONFIG_GAP: Duration = Duration::from_millis(1_000);

/// Least time between two reads of the records while they change.
const MEMBERS_GAP: Duration = Duration::from_millis(900);

/// What is followed.
#[derive(Debug)]
pub(crate) enum Topic {
    Config(Arc<dyn ConfigFormat>),
    Members,
}

impl Topic {
    fn prefix(&self) -> &str {
        match self {
            Self::Config(format) => format.key(),
            Self::Members => members::PREFIX,
        }
    }

    fn tail(&self, now: Instant) -> Tail {
        match self {
            Self::Config(_) => Tail::new(CONFIG_GAP, CatchUp::Values, now),
            Self::Members => Tail::new(MEMBERS_GAP, CatchUp::History, now),
        }
    }

    fn wire(&self) -> fleet::Topic {
        match self {
            Self::Config(_) => fleet::Topic::Config,
            Self::Members => fleet::Topic::Members,
        }
    }

    fn followed<'a>(&self, shared: &'a Shared) -> &'a Followed {
        shared.exchange.followed(self.wire())
    }
}

/// Follows `topic` until the daemon stops.
pub(crate) async fn follow(shared: Arc<Shared>, topic: Topic) {
    let mut tail = topic.tail(Instant::now());
    loop {
        let (due, read) = tail.next();
        sleep_until(due).await;
        let source = match read {
            Read::Scan => Source::Store,
            Read::Refresh { .. } | Read::Watch { .. } => source(&shared),
        };
        match (source, read) {
            (Source::Relays(relays), Read::Refresh { after } | Read::Watch { after, .. }) => {
                topic.followed(&shared).set_follows(false);
                poll(&shared, &topic, &relays, after, &mut tail).await;
            }
            _ => read_store(&shared, &topic, read, &mut tail).await,
        }
    }
}

fn source(shared: &Shared) -> Source {
    let members = shared.directory.table().members();
    shared.polls.source(&members.own(), &members.all())
}

/// Waits at `relays` for changes. Those that fail are set aside, so that the next read is made elsewhere.
async fn poll(shared: &Shared, topic: &Topic, relays: &[Record], after: Revision, tail: &mut Tail) {
    let request = WatchRequest {
        topic: topic.wire().into(),
        after: after.0,
        version: shared.installer.version().get(),
        wait_ms: HOLD.as_millis() as u32,
    };
    let Some(reply) = shared.polls.watch(relays, request).await else {
        info!(shared.log, "no relay answers; the store is read"; "prefix" => topic.prefix());
        return;
    };
    let changed = has_news(&reply);
    let revision = Revision(reply.revision);
    if let Some(config) = &reply.config {
        shared.installer.offer_packed(config, "relay");
    }
    let changes = changes(reply);
    take_in(shared, topic, &changes);
    tail.relayed(revision, changed, Instant::now());
}

/// Returns the changes that a relay told.
fn changes(reply: WatchReply) -> Changes {
    let entries = reply.written.into_iter().map(|entry| Entry {
        key: entry.key,
        value: entry.value,
        revision: Revision(entry.revision),
    });
    Changes {
        entries: entries.collect(),
        deleted: reply.deleted,
        revision: Revision(reply.revision),
    }
}

async fn read_store(shared: &Shared, topic: &Topic, read: Read, tail: &mut Tail) {
    let followed = topic.followed(shared);
    let is_watch = matches!(read, Read::Watch { .. });
    if is_watch && !tail.is_failing() {
        followed.set_follows(true);
    }
    let mut answering = shared.answering.subscribe();
    let result = tokio::select! {
        result = carry_out(shared, topic, read, tail) => result,
        // A connection may have gone silent under a waiting watch; a new one shows it.
        () = lost(&mut answering), if is_watch => {
            Err(Error::Unavailable("the store does not answer other calls".into()))
        }
    };
    let Err(error) = result else {
        return;
    };
    followed.set_follows(false);
    if !tail.is_failing() || error == Error::Compacted {
        info!(shared.log, "read of the store failed"; "prefix" => topic.prefix(), "error" => %error);
    }
    tail.failed(&error, rand::random(), Instant::now());
}

/// Waits until the store does not answer.
async fn lost(answering: &mut watch::Receiver<bool>) {
    if answering.wait_for(|answering| !answering).await.is_err() {
        std::future::pending().await
    }
}

async fn carry_out(
    shared: &Shared,
    topic: &Topic,
    read: Read,
    tail: &mut Tail,
) -> Result<(), Error> {
    match read {
        Read::Scan | Read::Refresh { .. } => {
            let scan = shared.store.scan(topic.prefix()).await?;
            let changed = take_in_scan(shared, topic, &scan);
            tail.scanned(scan.revision, changed, Instant::now());
        }
        Read::Watch { after, wait } => {
            let changes = shared.store.watch(topic.prefix(), after, wait).await?;
            let changed = !changes.entries.is_empty() || !changes.deleted.is_empty();
            take_in(shared, topic, &changes);
            tail.watched(changes.revision, changed, Instant::now());
        }
    }
    Ok(())
}

/// Takes in a read of every key; returns whether it brought a newer configuration.
fn take_in_scan(shared: &Shared, topic: &Topic, scan: &Scan) -> bool {
    let followed = topic.followed(shared);
    match topic {
        Topic::Config(_) => {
            let before = shared.installer.version();
            shared.installer.offer_entries(&scan.entries);
            followed.read(scan.revision);
            shared.installer.version() > before
        }
        Topic::Members => {
            shared.directory.scanned(&scan.entries);
            shared.members_read.store(true, Ordering::Relaxed);
            followed.scanned(&scan.entries, scan.revision);
            false
        }
    }
}

fn take_in(shared: &Shared, topic: &Topic, changes: &Changes) {
    let followed = topic.followed(shared);
    match topic {
        Topic::Config(_) => {
            shared.installer.offer_entries(&changes.entries);
            followed.read(changes.revision);
        }
        Topic::Members => {
            shared.directory.deleted(&changes.deleted);
            shared.directory.written(&changes.entries);
            followed.changed(changes);
        }
    }
}
