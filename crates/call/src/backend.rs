//! The upstream beside this daemon, as it announces itself.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use model::{Incarnation, InstanceId, Millis, ServiceName, UnixMillis, lock};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// State that an upstream announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// Cold start: takes a growing share of the calls.
    Warming,
    /// Takes calls.
    Ready,
    /// Takes no new call; finishes those in flight.
    Draining,
}

/// What an upstream says of itself, again and again as a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it takes calls at.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
    /// State.
    pub state: Readiness,
    /// Start of the upstream's process; an operator's drain holds for one start.
    #[serde(default)]
    pub start: Incarnation,
    /// Id of the running upstream, which it checks requests against.
    #[serde(default)]
    pub instance: Option<InstanceId>,
    /// Number of the announcement within its start; 0 where the upstream does not count.
    #[serde(default)]
    pub sequence: u64,
}

impl Announcement {
    /// Returns whether `other` comes from the same start of the same upstream.
    fn is_same(&self, other: &Self) -> bool {
        self.address == other.address
            && self.start == other.start
            && self.instance == other.instance
    }

    /// Returns whether this was said before `other`, and only arrives after it.
    fn is_older(&self, other: &Self) -> bool {
        let order = |one: &Self| (one.start, one.sequence);
        order(self) < order(other) || (self.sequence > 0 && order(self) == order(other))
    }
}

/// Time after the end of an upstream in which an older one's word is taken for a late one.
const LATE_LIMIT: Duration = Duration::from_secs(10);

/// Farewells of upstreams that were not known that are remembered.
const MAX_FAREWELLS: usize = 16;

/// The word of an upstream that it leaves, heard by a daemon that did not know it.
#[derive(Debug)]
struct Farewell {
    instance: InstanceId,
    /// Last start that the word is for: the one that it names, or any before the word came.
    until: Incarnation,
}

impl Farewell {
    /// Returns whether `announcement` was made by the upstream that left.
    fn covers(&self, announcement: &Announcement) -> bool {
        announcement.instance.as_ref() == Some(&self.instance) && announcement.start <= self.until
    }
}

/// The announced upstream and when it is no longer believed.
#[derive(Debug, Clone, PartialEq)]
struct Announced {
    announcement: Announcement,
    expires: Instant,
    /// Whether the upstream drains whatever it says itself: an operator drains it, or it said that
    /// it leaves.
    drained: bool,
}

impl Announced {
    /// Returns the upstream's word, with an operator's drain above it, unless it fell silent.
    fn current(&self) -> Option<Announcement> {
        if self.expires <= Instant::now() {
            return None;
        }
        let mut announcement = self.announcement.clone();
        if self.drained {
            announcement.state = Readiness::Draining;
        }
        Some(announcement)
    }
}

/// The upstream beside this daemon.
#[derive(Debug)]
pub struct Backend {
    silence: Millis,
    announced: watch::Sender<Option<Announced>>,
    farewells: Mutex<VecDeque<Farewell>>,
}

impl Backend {
    /// Opens a place for an upstream that is forgotten after `silence` without a word from it.
    pub fn open(silence: Millis) -> Arc<Self> {
        Arc::new(Self {
            silence,
            announced: watch::Sender::new(None),
            farewells: Mutex::default(),
        })
    }

    /// Takes an upstream's word.
    ///
    /// An operator's drain holds on until another start of the upstream announces itself. Silence
    /// does not end it: a daemon that stood still hears of its upstream late.
    pub fn announce(&self, announcement: Announcement) {
        let now = Instant::now();
        let expires = now + self.silence.duration();
        let left = lock(&self.farewells)
            .iter()
            .any(|farewell| farewell.covers(&announcement));
        self.announced.send_if_modified(|announced| {
            let old = announced.as_ref();
            let late = old.is_some_and(|old| {
                let same = old.announcement.instance == announcement.instance;
                announcement.is_older(&old.announcement) && (same || now < old.expires + LATE_LIMIT)
            });
            if late {
                return false;
            }
            let drained = left
                || old.is_some_and(|old| old.drained && old.announcement.is_same(&announcement));
            *announced = Some(Announced {
                announcement,
                expires,
                drained,
            });
            true
        });
    }

    /// Takes the word of the upstream `instance` that it leaves; returns whether it is the one that
    /// is known. `start` is the start that said so, where it is told.
    ///
    /// A daemon that has just started may hear the farewell before a heartbeat that was sent earlier.
    pub fn leave(&self, instance: &InstanceId, start: Option<Incarnation>) -> bool {
        let known = self.leave_known(instance, start);
        if !known {
            let mut farewells = lock(&self.farewells);
            farewells.push_back(Farewell {
                instance: instance.clone(),
                until: start.unwrap_or(Incarnation::new(UnixMillis::now().get())),
            });
            let excess = farewells.len().saturating_sub(MAX_FAREWELLS);
            farewells.drain(..excess);
        }
        known
    }

    fn leave_known(&self, instance: &InstanceId, start: Option<Incarnation>) -> bool {
        self.announced.send_if_modified(|announced| {
            let Some(old) = announced else {
                return false;
            };
            let known = old.announcement.instance.as_ref() == Some(instance);
            if !known || start.is_some_and(|start| start < old.announcement.start) {
                return false;
            }
            old.drained = true;
            true
        })
    }

    /// Forgets an upstream that turned out not to have its address any more, until it announces
    /// itself again.
    pub(crate) fn forget(&self, instance: Option<&InstanceId>) {
        let now = Instant::now();
        self.announced
            .send_if_modified(|announced| match announced {
                Some(old) if old.announcement.instance.as_ref() == instance => {
                    old.expires = old.expires.min(now);
                    true
                }
                _ => false,
            });
    }

    /// Makes the upstream drain, whatever it says; returns whether there is one.
    pub fn drain(&self) -> bool {
        self.announced
            .send_if_modified(|announced| match announced {
                Some(announced) if announced.expires > Instant::now() => {
                    announced.drained = true;
                    true
                }
                _ => false,
            })
    }

    /// Returns the upstream's word, with an operator's drain above it, unless it fell silent.
    pub fn current(&self) -> Option<Announcement> {
        self.announced
            .borrow()
            .as_ref()
            .and_then(Announced::current)
    }

    /// Waits until what [`Backend::current`] returns is no longer `seen`.
    pub async fn changed(&self, seen: Option<&Announcement>) {
        let mut receiver = self.announced.subscribe();
        loop {
            let expires = {
                let announced = receiver.borrow_and_update();
                if announced.as_ref().and_then(Announced::current).as_ref() != seen {
                    return;
                }
                announced.as_ref().map(|announced| announced.expires)
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
