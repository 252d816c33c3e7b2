//! The upstream beside this daemon, as it announces itself.

use std::net::SocketAddr;
use std::sync::Arc;

use model::{Millis, ServiceName};
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
}

/// The announced upstream and when it is no longer believed.
#[derive(Debug, Clone, PartialEq)]
struct Announced {
    announcement: Announcement,
    expires: Instant,
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

    /// Takes an upstream's word; returns whether it differs from its last one.
    pub fn announce(&self, announcement: Announcement) -> bool {
        let expires = Instant::now() + self.silence.duration();
        let mut changed = false;
        self.announced.send_modify(|announced| {
            changed = announced.as_ref().map(|old| &old.announcement) != Some(&announcement);
            *announced = Some(Announced {
                announcement,
                expires,
            });
        });
        changed
    }

    /// Makes the upstream drain, whatever it last said; returns whether there is one.
    pub fn drain(&self) -> bool {
        let Some(mut announcement) = self.current() else {
            return false;
        };
        announcement.state = Readiness::Draining;
        self.announce(announcement);
        true
    }

    /// Returns what the upstream last said, unless it fell silent.
    pub fn current(&self) -> Option<Announcement> {
        let announced = self.announced.borrow();
        let live = announced
            .as_ref()
            .filter(|announced| announced.expires > Instant::now());
        live.map(|announced| announced.announcement.clone())
    }

    /// Waits until the upstream falls silent or says something new.
    pub async fn changed(&self) {
        let mut receiver = self.announced.subscribe();
        let announced = receiver.borrow_and_update().clone();
        let Some(announced) = announced.filter(|announced| announced.expires > Instant::now())
        else {
            let _ = receiver.changed().await;
            return;
        };
        loop {
            let expires = match &*receiver.borrow_and_update() {
                Some(now) if now.announcement == announced.announcement => now.expires,
                _ => return,
            };
            tokio::select! {
                () = tokio::time::sleep_until(expires) => return,
                _ = receiver.changed() => {}
            }
        }
    }
}
