//! Decisions of a daemon that follows the store, without sockets or a real store.

use std::time::Duration;

use follow::publisher::{Publisher, Step};
use follow::schedule::{CatchUp, Read, ReadSchedule};
use follow::suspects::Suspects;
use model::VmId;
use store::{Error, Expect, LeaseId, Revision};
use tokio::time::Instant;

const TTL: Duration = Duration::from_secs(9);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn unavailable() -> Error {
    Error::Unavailable("away".into())
}

#[test]
fn storm_of_changes_is_read_at_most_once_per_interval() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::History, now);
    assert_eq!(schedule.next_read(), (now, Read::Scan));
    schedule.scanned(Revision::new(10), true, now);
    let (due, read) = schedule.next_read();
    assert_eq!(due, now);
    assert!(matches!(
        read,
        Read::Watch { after, .. } if after == Revision::new(10)
    ));
    schedule.watched(Revision::new(11), true, now);
    assert_eq!(schedule.next_read().0, now + millis(800));
    // After a watch without changes, the next one starts immediately.
    schedule.watched(Revision::new(11), false, now);
    assert_eq!(schedule.next_read().0, now);
}

#[test]
fn frequently_changed_large_values_are_refreshed_without_a_watch() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::Values, now);
    schedule.scanned(Revision::new(10), true, now);
    schedule.watched(Revision::new(11), true, now);
    // A watch would return every intermediate value of the storm.
    for revision in 12..15 {
        let after = Revision::new(revision - 1);
        assert_eq!(
            schedule.next_read(),
            (now + millis(800), Read::Refresh { after })
        );
        schedule.scanned(Revision::new(revision), true, now);
    }
    schedule.scanned(Revision::new(15), false, now);
    let (due, read) = schedule.next_read();
    assert_eq!(due, now);
    assert!(matches!(
        read,
        Read::Watch { after, .. } if after == Revision::new(15)
    ));
}

#[test]
fn relay_response_replaces_a_failed_refresh() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::Values, now);
    schedule.scanned(Revision::new(10), true, now);
    schedule.watched(Revision::new(11), true, now);
    // The transfer of a large value over a narrow link timed out.
    schedule.failed(&unavailable(), 0.0, now);
    let after = Revision::new(11);
    assert_eq!(schedule.next_read().1, Read::Refresh { after });
    schedule.relayed(Revision::new(15), true, now);
    assert!(matches!(
        schedule.next_read().1,
        Read::Watch { after, .. } if after == Revision::new(15)
    ));
}

#[test]
fn compacted_history_leads_to_a_rescan() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::History, now);
    schedule.scanned(Revision::new(10), true, now);
    schedule.failed(&unavailable(), 0.0, now);
    assert!(matches!(schedule.next_read().1, Read::Watch { .. }));
    schedule.failed(&Error::Compacted, 0.0, now);
    assert_eq!(schedule.next_read().1, Read::Scan);
}

#[test]
fn failed_store_calls_are_retried_within_a_second() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::History, now);
    for _ in 0..100 {
        schedule.failed(&unavailable(), 1.0, now);
        assert!(schedule.next_read().0 <= now + Duration::from_secs(1));
    }
    let mut publisher = Publisher::new(TTL, now);
    publisher.failed(1.0, now);
    let Step::Wait(until) = publisher.next(1, now) else {
        panic!("expected a pause after a failed call");
    };
    assert!(until <= now + Duration::from_secs(1));
}

#[test]
fn watch_after_a_failure_is_short() {
    let now = Instant::now();
    let mut schedule = ReadSchedule::new(millis(800), CatchUp::History, now);
    schedule.scanned(Revision::new(1), true, now);
    schedule.failed(&unavailable(), 0.0, now);
    let Read::Watch { wait, .. } = schedule.next_read().1 else {
        panic!("expected a watch");
    };
    assert!(wait < Duration::from_secs(1));
}

/// Returns a publisher that has written the record with counter 1 under lease 7 at revision 5.
fn published(now: Instant) -> Publisher {
    let mut publisher = Publisher::new(TTL, now);
    assert_eq!(publisher.next(1, now), Step::Grant);
    publisher.granted(LeaseId::new(7), now);
    let write = Step::Write {
        lease: LeaseId::new(7),
        expect: Expect::Absent,
    };
    assert_eq!(publisher.next(1, now), write);
    publisher.written(1, Revision::new(5));
    publisher
}

#[test]
fn record_is_written_once_and_its_lease_is_renewed() {
    let now = Instant::now();
    let mut publisher = published(now);
    assert_eq!(publisher.next(1, now), Step::Wait(now + TTL / 3));
    let later = now + TTL / 3;
    assert_eq!(publisher.next(1, later), Step::Renew(LeaseId::new(7)));
    publisher.renewed(true, later);
    assert_eq!(publisher.next(1, later), Step::Wait(later + TTL / 3));
}

#[test]
fn changed_record_overwrites_only_the_known_revision() {
    let now = Instant::now();
    let publisher = published(now);
    let write = Step::Write {
        lease: LeaseId::new(7),
        expect: Expect::At(Revision::new(5)),
    };
    assert_eq!(publisher.next(2, now), write);
}

#[test]
fn key_is_read_after_a_lost_response() {
    let now = Instant::now();
    let mut publisher = published(now);
    publisher.mark_key_unknown();
    assert_eq!(publisher.next(2, now), Step::Read);
    publisher.key_read(Some(Revision::new(9)));
    let write = Step::Write {
        lease: LeaseId::new(7),
        expect: Expect::At(Revision::new(9)),
    };
    assert_eq!(publisher.next(2, now), write);
}

#[test]
fn expired_lease_is_replaced_and_the_record_rewritten() {
    let now = Instant::now();
    let mut publisher = published(now);
    publisher.renewed(false, now);
    assert_eq!(publisher.next(1, now), Step::Grant);
    publisher.granted(LeaseId::new(8), now);
    assert_eq!(publisher.next(1, now), Step::Read);
    publisher.key_read(None);
    let write = Step::Write {
        lease: LeaseId::new(8),
        expect: Expect::Absent,
    };
    assert_eq!(publisher.next(1, now), write);
}

fn vm() -> VmId {
    "a-1".parse().expect("a valid id")
}

#[test]
fn suspect_that_responds_to_probes_is_kept() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.add(vm(), now);
    for second in 0..20 {
        let now = now + Duration::from_secs(second);
        assert_eq!(suspects.due(now), [vm()]);
        suspects.probe_succeeded(&vm(), now);
        assert!(suspects.due(now).is_empty());
    }
}

#[test]
fn unresponsive_suspect_expires_within_two_seconds() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.add(vm(), now);
    assert!(!suspects.probe_failed(&vm(), now));
    let next = suspects.next_probe().expect("another probe");
    assert!(next <= now + Duration::from_secs(2));
    assert!(suspects.probe_failed(&vm(), next));
    assert!(suspects.due(next + Duration::from_secs(9)).is_empty());
}

#[test]
fn member_whose_entry_returned_is_not_probed() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.add(vm(), now);
    suspects.remove(&vm());
    assert!(suspects.due(now).is_empty());
    assert!(!suspects.probe_failed(&vm(), now));
}

#[test]
fn lease_of_a_daemon_that_follows_the_store_is_renewed_more_often() {
    let now = Instant::now();
    let mut publisher = Publisher::new(TTL, now);
    publisher.granted(LeaseId::new(7), now);
    publisher.written(1, Revision::new(3));
    assert_eq!(publisher.next(1, now), Step::Wait(now + millis(3_000)));
    // Its watches may hang when the store comes back from a copy.
    publisher.set_follows_store(true);
    assert_eq!(publisher.next(1, now), Step::Wait(now + millis(700)));
    let later = now + millis(700);
    assert_eq!(publisher.next(1, later), Step::Renew(LeaseId::new(7)));
}
