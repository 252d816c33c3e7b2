//! An operator's drain takes precedence over the upstream's announcements.

use std::sync::Arc;
use std::time::Duration;

use call::{Announcement, Backend, Readiness};
use member::{Members, Record, UpstreamState};
use model::{Departures, Incarnation, Millis, UnixMillis};
use table::Table;

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

fn instance(id: &str, start: u64, sequence: u64) -> Announcement {
    Announcement {
        instance: Some(id.parse().expect("a valid id")),
        start: Incarnation::new(start),
        sequence,
        ..ready(1)
    }
}

fn departures(id: &str, until: u64) -> Departures {
    let mut departures = Departures::default();
    let id = id.parse().expect("a valid id");
    departures.record(&id, Incarnation::new(until), UnixMillis::now());
    departures
}

fn table() -> Arc<Table> {
    let own = Record {
        vm: "a-1".parse().expect("a valid id"),
        incarnation: Incarnation::new(1),
        counter: 1,
        state: UpstreamState::Absent,
        service: None,
        gate: ([127, 0, 0, 1], 1).into(),
        fleet: ([127, 0, 0, 1], 1).into(),
        domain: "morava-a".parse().expect("a valid name"),
        region: "cz-morava".parse().expect("a valid name"),
        slots: 0,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    };
    Arc::new(Table::open(Arc::new(Members::open(own))))
}

/// Guards against an upstream that a daemon uses before it knows what its predecessor acknowledged.
#[tokio::test(start_paused = true)]
async fn upstream_is_used_only_once_earlier_departures_are_known() {
    let backend = Backend::open_recovering(Millis::new(3_000), table());
    backend.announce(instance("i-1", 1, 7));
    assert_eq!(state(&backend), None);
    backend.adopt(&departures("i-1", 1));
    backend.recovered();
    assert_eq!(state(&backend), Some(Readiness::Draining));
    // Its next boot is used at once, under the same id or another.
    backend.announce(instance("i-1", 2, 1));
    assert_eq!(state(&backend), Some(Readiness::Ready));
    backend.announce(instance("i-2", 3, 1));
    assert_eq!(state(&backend), Some(Readiness::Ready));
}

#[tokio::test(start_paused = true)]
async fn departure_that_is_learnt_late_drains_the_upstream() {
    let backend = Backend::open(Millis::new(3_000));
    backend.announce(instance("i-1", 1, 7));
    let seen = backend.current();
    backend.adopt(&departures("i-1", 1));
    backend.changed(seen.as_ref()).await;
    assert_eq!(state(&backend), Some(Readiness::Draining));
    backend.announce(instance("i-1", 1, 8));
    assert_eq!(state(&backend), Some(Readiness::Draining));
}

#[tokio::test(start_paused = true)]
async fn each_way_of_leaving_is_to_be_kept() {
    let leave: [fn(&Backend); 4] = [
        |backend| {
            backend.deregister(&"i-1".parse().expect("a valid id"), None);
        },
        |backend| {
            backend.deregister(&"i-0".parse().expect("a valid id"), None);
        },
        |backend| {
            backend.announce(Announcement {
                state: Readiness::Draining,
                ..instance("i-1", 1, 8)
            });
        },
        |backend| {
            backend.drain();
        },
    ];
    for leave in leave {
        let backend = Backend::open(Millis::new(3_000));
        backend.announce(instance("i-1", 1, 7));
        backend.kept().await;
        leave(&backend);
        let (departures, recorded) = backend.unkept().await;
        assert_eq!(departures.iter().count(), 1);
        let kept = tokio::time::timeout(Duration::from_secs(1), backend.kept()).await;
        assert!(kept.is_err());
        backend.mark_kept(recorded);
        backend.kept().await;
    }
}
