//! The local upstream: its announcements and drains.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use model::{Departures, Incarnation, InstanceId, Millis, ServiceName, UnixMillis};
use serde::{Deserialize, Serialize};
use table::Table;
use tokio::sync::watch;
use tokio::time::Instant;

/// Announced state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// Warming up: accepts a growing share of the calls.
    Warming,
    /// Accepts calls.
    Ready,
    /// Accepts no new calls; finishes those in flight.
    Draining,
}

/// Announcement that an upstream repeats as a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// State of the upstream.
    pub state: Readiness,
    /// Incarnation of the upstream's process. An operator's drain lasts for one incarnation.
    #[serde(default)]
    pub start: Incarnation,
    /// Instance id, against which the upstream checks the addressee of requests.
    #[serde(default)]
    pub instance: Option<InstanceId>,
    /// Sequence number within the incarnation; 0 if the upstream does not number its announcements.
    #[serde(default)]
    pub sequence: u64,
}

impl Announcement {
    /// Returns whether `other` comes from the same incarnation of the same upstream.
    pub(crate) fn is_same_incarnation(&self, other: &Self) -> bool {
        self.address == other.address
            && self.start == other.start
            && self.instance == other.instance
    }

    /// Returns whether this announcement was sent before `other` or repeats its sequence number.
    fn is_stale(&self, other: &Self) -> bool {
        let order = |one: &Self| (one.start, one.sequence);
        order(self) < order(other) || (self.sequence > 0 && order(self) == order(other))
    }
}

/// Time after an upstream's expiry during which older announcements of other instances are ignored as
/// delayed.
const STALE_WINDOW: Duration = Duration::from_secs(10);

/// The registered upstream and its expiry.
#[derive(Debug, Clone, PartialEq)]
struct Registration {
    announcement: Announcement,
    expires: Instant,
    /// Whether the upstream drains regardless of its announced state, because an operator drains it, it
    /// has deregistered, or it states in its responses that it leaves.
    force_drain: bool,
}

impl Registration {
    /// Returns the announcement, with the state overridden by a drain, or `None` once it has expired.
    fn current(&self) -> Option<Announcement> {
        if self.expires <= Instant::now() {
            return None;
        }
        let mut announcement = self.announcement.clone();
        if self.force_drain {
            announcement.state = Readiness::Draining;
        }
        Some(announcement)
    }
}

/// What is known of the local upstream.
#[derive(Debug, Default)]
struct Local {
    registration: Option<Registration>,
    /// Upstreams that drain or have left. They are not used again, whatever a late announcement says.
    departures: Departures,
    /// Number of departures recorded here.
    recorded: u64,
    /// Number of those that outlive this process.
    kept: u64,
    /// Whether departures that an earlier daemon on this VM acknowledged may still be unknown.
    recovering: bool,
}

impl Local {
    fn current(&self) -> Option<Announcement> {
        let registration = self.registration.as_ref().filter(|_| !self.recovering);
        registration.and_then(Registration::current)
    }

    fn expires(&self) -> Option<Instant> {
        let registration = self.registration.as_ref();
        registration.map(|registration| registration.expires)
    }

    fn has_left(&self, announcement: &Announcement) -> bool {
        let instance = announcement.instance.as_ref();
        self.departures.cover(instance, announcement.start)
    }

    /// Records that `instance` has left up to the incarnation `until`.
    fn record_departure(&mut self, instance: &InstanceId, until: Incarnation) {
        if self.departures.record(instance, until, UnixMillis::now()) {
            self.recorded += 1;
        }
    }

    /// Drains the registered upstream if `condition` holds, and records its departure; returns whether it does.
    fn drain_if(&mut self, condition: impl FnOnce(&Registration) -> bool) -> bool {
        let Some(registration) = self.registration.as_mut().filter(|old| condition(old)) else {
            return false;
        };
        registration.force_drain = true;
        let announcement = registration.announcement.clone();
        if let Some(instance) = &announcement.instance {
            self.record_departure(instance, announcement.start);
        }
        true
    }
}

/// The local upstream of a daemon.
#[derive(Debug)]
pub struct Backend {
    silence: Millis,
    /// Configuration that tells which services there are, if it is checked.
    table: Option<Arc<Table>>,
    local: watch::Sender<Local>,
}

impl Backend {
    /// Creates a backend without an upstream. An upstream expires `silence` after its last announcement.
    pub fn open(silence: Millis) -> Arc<Self> {
        Arc::new(Self {
            silence,
            table: None,
            local: watch::Sender::new(Local::default()),
        })
    }

    /// Creates a backend like [`Backend::open`] whose upstreams are not used before [`Backend::recovered`] is called, and
    /// are not replaced by those of services that `table` does not use.
    pub fn open_recovering(silence: Millis, table: Arc<Table>) -> Arc<Self> {
        Arc::new(Self {
            silence,
            table: Some(table),
            local: watch::Sender::new(Local {
                recovering: true,
                ..Local::default()
            }),
        })
    }

    /// Uses the upstream from now on: the departures that earlier daemons on this VM acknowledged are known.
    pub fn recovered(&self) {
        self.local.send_modify(|local| local.recovering = false);
    }

    /// Records an announcement.
    ///
    /// A drain lasts until another incarnation of the upstream announces itself. Expiry does not end it,
    /// because a daemon that was suspended receives its upstream's announcements late.
    pub fn announce(&self, announcement: Announcement) {
        let now = Instant::now();
        let expires = now + self.silence.duration();
        self.local.send_if_modified(|local| {
            let recorded = local.recorded;
            if announcement.state == Readiness::Draining
                && let Some(instance) = &announcement.instance
            {
                local.record_departure(instance, announcement.start);
            }
            let old = local.registration.as_ref();
            let late = old.is_some_and(|old| {
                let same = old.announcement.instance == announcement.instance;
                announcement.is_stale(&old.announcement)
                    && (same || now < old.expires + STALE_WINDOW)
            });
            if late || old.is_some_and(|old| self.is_stray(&announcement, old)) {
                return local.recorded > recorded;
            }
            let force_drain = local.has_left(&announcement)
                || old.is_some_and(|old| {
                    old.force_drain && old.announcement.is_same_incarnation(&announcement)
                });
            local.registration = Some(Registration {
                announcement,
                expires,
                force_drain,
            });
            true
        });
    }

    /// Returns whether `announcement` is for a service that does not exist, while the registered upstream's does.
    fn is_stray(&self, announcement: &Announcement, registered: &Registration) -> bool {
        let known = &registered.announcement;
        if announcement.instance == known.instance || registered.expires <= Instant::now() {
            return false;
        }
        let snapshot = self.table.as_ref().map(|table| table.snapshot());
        snapshot.is_some_and(|snapshot| {
            snapshot.uses(&known.service) && !snapshot.uses(&announcement.service)
        })
    }

    /// Deregisters the upstream `instance`; returns whether it was registered. `incarnation` is the
    /// departing incarnation, if it is stated.
    ///
    /// The departure of an unknown upstream is remembered, because a daemon that has just started may
    /// receive it before a heartbeat that was sent earlier.
    pub fn deregister(&self, instance: &InstanceId, incarnation: Option<Incarnation>) -> bool {
        let mut known = false;
        self.local.send_modify(|local| {
            known = local.drain_if(|old| {
                let known = old.announcement.instance.as_ref() == Some(instance);
                known && incarnation.is_none_or(|incarnation| incarnation >= old.announcement.start)
            });
            // Without a stated incarnation, any that started before the message arrived has left.
            let unstated = || (!known).then(|| Incarnation::new(UnixMillis::now().get()));
            if let Some(until) = incarnation.or_else(unstated) {
                local.record_departure(instance, until);
            }
        });
        known
    }

    /// Expires the upstream `instance`, whose address now belongs to another upstream. Its next
    /// announcement registers it again.
    pub(crate) fn forget(&self, instance: Option<&InstanceId>) {
        let now = Instant::now();
        self.local
            .send_if_modified(|local| match &mut local.registration {
                Some(old) if old.announcement.instance.as_ref() == instance => {
                    old.expires = old.expires.min(now);
                    true
                }
                _ => false,
            });
    }

    /// Drains the upstream regardless of its announced state; returns whether there is one.
    pub fn drain(&self) -> bool {
        self.drain_if(|registration| registration.expires > Instant::now())
    }

    /// Drains the upstream if it still is the incarnation of `announced`; returns whether it did not drain
    /// before.
    pub(crate) fn drain_incarnation(&self, announced: &Announcement) -> bool {
        self.drain_if(|registration| {
            !registration.force_drain && registration.announcement.is_same_incarnation(announced)
        })
    }

    /// Drains the registered upstream if `condition` holds; returns whether it does.
    fn drain_if(&self, condition: impl FnOnce(&Registration) -> bool) -> bool {
        self.local
            .send_if_modified(|local| local.drain_if(condition))
    }

    /// Returns the departures, and their number for [`Backend::mark_kept`].
    pub fn departures(&self) -> (Departures, u64) {
        let local = self.local.borrow();
        (local.departures.clone(), local.recorded)
    }

    /// Adds departures that an earlier daemon on this VM acknowledged.
    pub fn adopt(&self, departures: &Departures) {
        self.local.send_if_modified(|local| {
            if !local.departures.merge(departures, UnixMillis::now()) {
                return false;
            }
            let registration = local.registration.take();
            local.registration = registration.map(|registration| Registration {
                force_drain: registration.force_drain || local.has_left(&registration.announcement),
                ..registration
            });
            true
        });
    }

    /// Records that the first `recorded` departures outlive this process.
    pub fn mark_kept(&self, recorded: u64) {
        self.local
            .send_modify(|local| local.kept = local.kept.max(recorded));
    }

    /// Waits until a departure is recorded that may not outlive this process, and returns the departures and their
    /// number.
    pub async fn unkept(&self) -> (Departures, u64) {
        let mut local = self.local.subscribe();
        // The sender is `self`, so the channel is open.
        let _ = local.wait_for(|local| local.recorded > local.kept).await;
        self.departures()
    }

    /// Waits until every departure recorded so far outlives this process.
    pub async fn kept(&self) {
        let recorded = self.local.borrow().recorded;
        let mut local = self.local.subscribe();
        let _ = local.wait_for(|local| local.kept >= recorded).await;
    }

    /// Returns the last announcement, with the state overridden by a drain, or `None` if there is none,
    /// it has expired, or departures may be unknown.
    pub fn current(&self) -> Option<Announcement> {
        self.local.borrow().current()
    }

    /// Waits until [`Backend::current`] no longer returns `seen`.
    pub async fn changed(&self, seen: Option<&Announcement>) {
        let mut receiver = self.local.subscribe();
        loop {
            let expires = {
                let local = receiver.borrow_and_update();
                if local.current().as_ref() != seen {
                    return;
                }
                local.expires()
            };
            match expires.filter(|expires| *expires > Instant::now()) {
                Some(expires) => tokio::select! {
                    () = tokio::time::sleep_until(expires) => {}
                    _ = receiver.changed() => {}
                },
                None => {
                    let _ = receiver.changed().await;
                }
            }
        }
    }
}
