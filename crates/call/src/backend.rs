//! The upstream beside this daemon, as it announces itself.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{Incarnation, Millis, ServiceName};
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
}

impl Announcement {
    /// Returns whether `other` comes from the same start of the same upstream.
    fn is_same(&self, other: &Self) -> bool {
        self.address == other.address && self.start == other.start
    }
}

/// The announced upstream and when it is no longer believed.
#[derive(Debug, Clone, PartialEq)]
struct Announced {
    announcement: Announcement,
    expires: Instant,
    /// Whether an operator drains the upstream, whatever it says itself.
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
}

impl Backend {
    /// Opens a place for an upstream that is forgotten after `silence` without a word from it.
    pub fn open(silence: Millis) -> Arc<Self> {
        Arc::new(Self {
            silence,
            announced: watch::Sender::new(None),
        })
    }

    /// Takes an upstream's word.
    ///
    /// An operator's drain holds on until another start of the upstream announces itself. Silence
    /// does not end it: a daemon that stood still hears of its upstream late.
    pub fn announce(&self, announcement: Announcement) {
        let expires = Instant::now() + self.silence.duration();
        self.announced.send_modify(|announced| {
            let drained = announced
                .as_ref()
                .is_some_and(|old| old.drained && old.announcement.is_same(&announcement));
            *announced = Some(Announced {
                announcement,
                expires,
                drained,
            });
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
