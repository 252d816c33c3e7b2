//! Departures of upstreams.

use model::{
    DEPARTURE_TTL_MS, Departure, Departures, Incarnation, InstanceId, MAX_DEPARTURES, UnixMillis,
};

const NOW: UnixMillis = UnixMillis::new(1_800_000_000_000);

fn instance(id: &str) -> InstanceId {
    id.parse().expect("a valid id")
}

#[test]
fn departure_covers_the_boots_up_to_the_one_that_left() {
    let mut departures = Departures::default();
    assert!(departures.record(&instance("i-1"), Incarnation::new(5), NOW));
    assert!(!departures.record(&instance("i-1"), Incarnation::new(4), NOW));
    let covers = |id: &str, start| departures.cover(Some(&instance(id)), Incarnation::new(start));
    assert!(covers("i-1", 4));
    assert!(covers("i-1", 5));
    assert!(!covers("i-1", 6));
    assert!(!covers("i-2", 5));
    assert!(!departures.cover(None, Incarnation::new(5)));
}

#[test]
fn table_is_bounded_and_forgets_the_oldest_departures() {
    let mut departures = Departures::default();
    for count in 0..MAX_DEPARTURES as u64 + 3 {
        let now = UnixMillis::new(NOW.get() + count);
        departures.record(&instance(&format!("i-{count}")), Incarnation::new(1), now);
    }
    assert_eq!(departures.iter().count(), MAX_DEPARTURES);
    assert!(!departures.cover(Some(&instance("i-0")), Incarnation::new(1)));
    departures.evict(UnixMillis::new(NOW.get() + DEPARTURE_TTL_MS + 100));
    assert_eq!(departures.iter().count(), 0);
}

#[test]
fn merged_departures_expire_by_the_local_clock() {
    let far = [UnixMillis::new(u64::MAX), UnixMillis::new(0)];
    let theirs: Departures = far
        .iter()
        .enumerate()
        .map(|(index, expires)| Departure {
            instance: instance(&format!("i-{index}")),
            until: Incarnation::new(u64::MAX),
            expires: *expires,
        })
        .collect();
    let mut departures = Departures::default();
    assert!(departures.merge(&theirs, NOW));
    // The expired one is left out.
    assert_eq!(departures.iter().count(), 1);
    departures.evict(UnixMillis::new(NOW.get() + DEPARTURE_TTL_MS));
    assert_eq!(departures.iter().count(), 0);
}
