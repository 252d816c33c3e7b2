//! The local upstream: its announcements and drains.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::{Incarnation, InstanceId, Millis, ServiceName, UnixMillis, lock};
use serde::{Deserialize, Serialize};
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

/// Maximum number of remembered departures of unknown upstreams.
const MAX_DEPARTURES: usize = 16;

/// Departure of an upstream that was unknown to the daemon when it deregistered.
#[derive(Debug)]
struct Departure {
    instance: InstanceId,
    /// Latest departed incarnation: the stated one or, if none is stated, any that started before the
    /// message arrived.
    until: Incarnation,
}

impl Departure {
    /// Returns whether `announcement` comes from the departed upstream.
    fn covers(&self, announcement: &Announcement) -> bool {
        announcement.instance.as_ref() == Some(&self.instance) && announcement.start <= self.until
    }
}

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

/// The local upstream of a daemon.
#[derive(Debug)]
pub struct Backend {
    silence: Millis,
    registration: watch::Sender<Option<Registration>>,
    departures: Mutex<VecDeque<Departure>>,
}

impl Backend {
    /// Creates a backend without an upstream. An upstream expires `silence` after its last announcement.
    pub fn open(silence: Millis) -> Arc<Self> {
        Arc::new(Self {
            silence,
            registration: watch::Sender::new(None),
            departures: Mutex::default(),
        })
    }

    /// Records an announcement.
    ///
    /// An operator's drain lasts until another incarnation of the upstream announces itself. Expiry does
    /// not end it, because a daemon that was suspended receives its upstream's announcements late.
    pub fn announce(&self, announcement: Announcement) {
        let now = Instant::now();
        let expires = now + self.silence.duration();
        let departed = lock(&self.departures)
            .iter()
            .any(|departure| departure.covers(&announcement));
        self.registration.send_if_modified(|registration| {
            let old = registration.as_ref();
            let late = old.is_some_and(|old| {
                let same = old.announcement.instance == announcement.instance;
                announcement.is_stale(&old.announcement)
                    && (same || now < old.expires + STALE_WINDOW)
            });
            if late {
                return false;
            }
            let force_drain = departed
                || old.is_some_and(|old| {
                    old.force_drain && old.announcement.is_same_incarnation(&announcement)
                });
            *registration = Some(Registration {
                announcement,
                expires,
                force_drain,
            });
            true
        });
    }

    /// Deregisters the upstream `instance`; returns whether it was registered. `incarnation` is the
    /// departing incarnation, if it is stated.
    ///
    /// The departure of an unknown upstream is remembered, because a daemon that has just started may
    /// receive it before a heartbeat that was sent earlier.
    pub fn deregister(&self, instance: &InstanceId, incarnation: Option<Incarnation>) -> bool {
        let known = self.deregister_known(instance, incarnation);
        if !known {
            let mut departures = lock(&self.departures);
            departures.push_back(Departure {
                instance: instance.clone(),
                until: incarnation.unwrap_or(Incarnation::new(UnixMillis::now().get())),
            });
            let excess = departures.len().saturating_sub(MAX_DEPARTURES);
            departures.drain(..excess);
        }
        known
    }

    fn deregister_known(&self, instance: &InstanceId, incarnation: Option<Incarnation>) -> bool {
        self.drain_if(|old| {
            let known = old.announcement.instance.as_ref() == Some(instance);
            known && incarnation.is_none_or(|incarnation| incarnation >= old.announcement.start)
        })
    }

    /// Expires the upstream `instance`, whose address now belongs to another upstream. Its next
    /// announcement registers it again.
    pub(crate) fn forget(&self, instance: Option<&InstanceId>) {
        let now = Instant::now();
        self.registration
            .send_if_modified(|registration| match registration {
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
        self.registration
            .send_if_modified(|registration| match registration {
                Some(registration) if condition(registration) => {
                    registration.force_drain = true;
                    true
                }
                _ => false,
            })
    }

    /// Returns the last announcement, with the state overridden by a drain, or `None` if there is none
    /// or it has expired.
    pub fn current(&self) -> Option<Announcement> {
        self.registration
            .borrow()
            .as_ref()
            .and_then(Registration::current)
    }

    /// Waits until [`Backend::current`] no longer returns `seen`.
    pub async fn changed(&self, seen: Option<&Announcement>) {
        let mut receiver = self.registration.subscribe();
        loop {
            let expires = {
                let registration = receiver.borrow_and_update();
                if registration
                    .as_ref()
                    .and_then(Registration::current)
                    .as_ref()
                    != seen
                {
                    return;
                }
                registration
                    .as_ref()
                    .map(|registration| registration.expires)
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
