//! Checks that no change was missed, without sockets or a real store.

use std::time::Duration;

use follow::confirmation::{CONFIG_TERMS, MEMBERS_TERMS, offset_ms, relayed};
use follow::feed::Feed;
use follow::topic_state::TopicState;
use proptest::prelude::{any, proptest};
use store::{Changes, Entry, Revision, Scan};
use tokio::time::Instant;

/// Time from the acceptance of a version until it must be in force.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time within which a change of the membership must be known.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time left for the read itself and its way to a follower.
const READ_TIME: Duration = Duration::from_millis(400);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A change made right after a confirmation, on a watch that hears nothing.
#[test]
fn change_that_no_watch_delivers_is_read_in_time() {
    let now = Instant::now();
    for is_relay in [true, false] {
        let due = CONFIG_TERMS.check_at(Some(now), is_relay, now);
        assert!(due + READ_TIME <= now + CONFIG_APPLY);
        let due = MEMBERS_TERMS.check_at(Some(now), is_relay, now);
        assert!(due + READ_TIME <= now + CATCH_UP);
    }
    // A daemon whose relays stopped following the store at that moment.
    let due = CONFIG_TERMS.read_at(Some(now), now);
    assert!(due + READ_TIME <= now + CONFIG_APPLY);
}

/// A version accepted right after a confirmation, while the store answers a relay's renewals only.
#[test]
fn relay_stops_answering_for_the_store_early_enough_to_read_it_in_time() {
    let now = Instant::now();
    let until = CONFIG_TERMS.valid_until(Some(now)).expect("a time");
    assert!(until + READ_TIME <= now + CONFIG_APPLY);
}

#[test]
fn unconfirmed_state_is_checked_at_once_and_not_relied_on() {
    let now = Instant::now();
    assert_eq!(CONFIG_TERMS.check_at(None, true, now), now);
    assert_eq!(CONFIG_TERMS.read_at(None, now), now);
    assert!(!CONFIG_TERMS.is_valid(None, now));
}

/// A relay that was paused for some seconds went on answering for the store as if nothing had changed.
#[test]
fn relay_that_wakes_does_not_answer_for_the_store() {
    let now = Instant::now();
    assert!(CONFIG_TERMS.is_valid(Some(now), now + millis(1_500)));
    assert!(!CONFIG_TERMS.is_valid(Some(now), now + CONFIG_APPLY));
}

#[test]
fn confirmation_never_becomes_younger() {
    let state = TopicState::default();
    assert_eq!(state.confirmed(), None);
    let now = Instant::now();
    state.confirm(now);
    state.confirm(now - millis(10));
    assert_eq!(state.confirmed(), Some(now));
}

proptest! {
    /// A confirmation that travels is never taken for a later one, however long request and response take.
    #[test]
    fn relayed_confirmation_is_never_later_than_the_real_one(
        way_ms in 0u64..5_000, held_ms in 0u64..5_000, age_us in 0u64..5_000_000, before in any::<bool>(),
    ) {
        let sent_at = Instant::now() + Duration::from_secs(60);
        let arrival = sent_at + millis(way_ms);
        let age = Duration::from_micros(age_us);
        let confirmed = if before { arrival - age } else { arrival + age.min(millis(held_ms)) };
        let known = relayed(sent_at, offset_ms(confirmed, arrival)).expect("a time");
        assert!(known <= confirmed);
        assert!(known + millis(way_ms + 2) >= confirmed);
    }
}

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value: Vec::new(),
        revision: Revision::new(revision),
    }
}

fn scan(entries: &[Entry], revision: u64) -> Scan {
    Scan {
        entries: entries.to_vec(),
        revision: Revision::new(revision),
    }
}

fn feed() -> Feed {
    let mut feed = Feed::default();
    feed.apply_scan(&[entry("a", 1), entry("b", 2)], Revision::new(3));
    feed
}

#[test]
fn scan_reveals_writes_and_deletions_that_were_missed() {
    let feed = feed();
    let difference = feed.difference(&scan(&[entry("a", 5), entry("c", 6)], 6));
    assert_eq!(difference.entries, [entry("a", 5), entry("c", 6)]);
    assert_eq!(difference.deleted, ["b"]);
    let same = feed.difference(&scan(&[entry("a", 1), entry("b", 2)], 9));
    assert!(same.entries.is_empty() && same.deleted.is_empty());
}

/// A watch may deliver later changes while the scan is under way.
#[test]
fn scan_does_not_undo_changes_that_arrived_after_it() {
    let mut feed = feed();
    feed.apply_changes(&Changes {
        entries: vec![entry("a", 7), entry("d", 8)],
        deleted: vec!["b".into()],
        revision: Revision::new(9),
    });
    let difference = feed.difference(&scan(&[entry("a", 1), entry("b", 2)], 6));
    assert!(difference.entries.is_empty());
    assert!(difference.deleted.is_empty());
}
