//! An operator's drain takes precedence over the upstream's announcements.

use call::{Announcement, Backend, Readiness};
use model::{Incarnation, Millis};

fn ready(port: u16) -> Announcement {
    Announcement {
        service: "proofdesk".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], port).into(),
        slots: 12,
        connections: 110,
        state: Readiness::Ready,
        start: Incarnation::new(1),
        instance: None,
        sequence: 0,
    }
}

fn state(backend: &Backend) -> Option<Readiness> {
    backend.current().map(|announcement| announcement.state)
}

#[tokio::test(start_paused = true)]
async fn drain_persists_across_heartbeats() {
    let backend = Backend::open(Millis::new(3_000));
    assert!(!backend.drain());
    backend.announce(ready(1));
    assert!(backend.drain());
    backend.announce(ready(1));
    assert_eq!(state(&backend), Some(Readiness::Draining));
    backend.announce(ready(2));
    assert_eq!(state(&backend), Some(Readiness::Ready));
}

#[tokio::test(start_paused = true)]
async fn drain_persists_across_expiry_until_the_next_incarnation() {
    let backend = Backend::open(Millis::new(3_000));
    backend.announce(ready(1));
    backend.drain();
    let seen = backend.current();
    backend.changed(seen.as_ref()).await;
    assert_eq!(state(&backend), None);
    backend.announce(ready(1));
    assert_eq!(state(&backend), Some(Readiness::Draining));
    let mut restarted = ready(1);
    restarted.start = Incarnation::new(2);
    backend.announce(restarted);
    assert_eq!(state(&backend), Some(Readiness::Ready));
}
