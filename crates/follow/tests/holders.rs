//! Where a daemon's record is kept, and what a daemon that starts must have heard.

use std::collections::BTreeSet;

use follow::holders::{Copies, HOLDERS, Inquiry, MIN_HOLDERS, UsualTime, holders};
use member::{Record, UpstreamState};
use model::{Incarnation, UnixMillis};

const NOW: u64 = 1_800_000_000_000;

fn record(vm: &str, incarnation: u64) -> Record {
    Record {
        vm: vm.parse().expect("a valid id"),
        incarnation: Incarnation::new(incarnation),
        counter: 1,
        state: UpstreamState::Ready,
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
    }
}

fn names(own: &Record, members: &[Record]) -> Vec<String> {
    let holders = holders(own, members, UnixMillis::new(NOW));
    holders.iter().map(|holder| holder.vm.to_string()).collect()
}

#[test]
fn daemon_that_starts_asks_those_that_its_predecessor_told() {
    let members: Vec<Record> = (0..200).map(|i| record(&format!("vm-{i}"), 1)).collect();
    let told = names(&members[7], &members);
    assert_eq!(told.len(), 199);
    // It has another incarnation and state, and learns of the others in another order.
    let mut others = members.clone();
    others.reverse();
    assert_eq!(names(&record("vm-7", 2), &others), told);
}

#[test]
fn holders_of_many_vms_are_spread_over_the_fleet() {
    let members: Vec<Record> = (0..200).map(|i| record(&format!("vm-{i}"), 1)).collect();
    let first: BTreeSet<String> = members
        .iter()
        .flat_map(|own| names(own, &members).into_iter().take(HOLDERS))
        .collect();
    assert!(first.len() > 150, "{} holders", first.len());
}

#[test]
fn ended_daemons_are_asked_only_while_they_may_have_started_again() {
    let mut members = vec![record("vm-1", 1), record("vm-2", 1)];
    members[1].expired = true;
    members[1].ended = Some(UnixMillis::new(NOW - 1_000));
    assert_eq!(names(&members[0], &members), ["vm-2"]);
    members[1].ended = Some(UnixMillis::new(NOW - 600_000));
    assert!(names(&members[0], &members).is_empty());
}

/// Guards against a farewell that is acknowledged when only the process that hears it knows.
#[test]
fn record_is_kept_by_the_store_and_a_peer_or_by_enough_peers() {
    let copies = |in_store, peers| Copies {
        in_store,
        peers,
        known: 10,
    };
    assert!(copies(true, 1).are_enough(UsualTime::Running));
    assert!(!copies(true, 0).are_enough(UsualTime::Running));
    assert!(!copies(false, MIN_HOLDERS).are_enough(UsualTime::Running));
    // The store or the peers do not answer in the usual time.
    assert!(copies(true, 0).are_enough(UsualTime::Over));
    assert!(copies(false, MIN_HOLDERS).are_enough(UsualTime::Over));
    assert!(!copies(false, MIN_HOLDERS - 1).are_enough(UsualTime::Over));
    let alone = Copies::default();
    assert!(!alone.are_enough(UsualTime::Over));
    let pair = Copies {
        known: 1,
        peers: 1,
        ..Copies::default()
    };
    assert!(pair.are_enough(UsualTime::Over));
}

#[test]
fn whatever_was_kept_by_peers_alone_is_found_by_an_inquiry() {
    // Any two of the three first holders were told, and any two of them answer.
    for told in 0..HOLDERS {
        for silent in 0..HOLDERS {
            let told: Vec<usize> = (0..HOLDERS).filter(|holder| *holder != told).collect();
            let mut answered = (0..HOLDERS).filter(|holder| *holder != silent);
            assert!(answered.any(|holder| told.contains(&holder)));
        }
    }
    let inquiry = |store_read, answered, failed, pending| Inquiry {
        store_read,
        known: 10,
        answered,
        failed,
        pending,
    };
    assert!(inquiry(true, MIN_HOLDERS, 1, 0).is_complete(UsualTime::Running));
    assert!(inquiry(false, MIN_HOLDERS, 1, 0).is_complete(UsualTime::Running));
    assert!(!inquiry(true, MIN_HOLDERS - 1, 2, 0).is_complete(UsualTime::Over));
    assert!(!inquiry(false, MIN_HOLDERS - 1, 9, 0).is_complete(UsualTime::Over));
    // The others have ended, so the store's word is all there is.
    assert!(inquiry(true, 0, 10, 0).is_complete(UsualTime::Running));
    let alone = Inquiry {
        store_read: true,
        ..Inquiry::default()
    };
    assert!(alone.is_complete(UsualTime::Running));
    assert!(!Inquiry::default().is_complete(UsualTime::Over));
}

/// Guards against an upstream that is idle for as long as an unresponsive peer is waited for.
#[test]
fn unresponsive_peers_are_waited_for_only_as_long_as_peers_usually_answer() {
    let inquiry = Inquiry {
        store_read: true,
        known: 10,
        answered: MIN_HOLDERS,
        failed: 0,
        pending: 1,
    };
    assert!(!inquiry.is_complete(UsualTime::Running));
    assert!(inquiry.is_complete(UsualTime::Over));
}

#[test]
fn daemons_that_ended_are_asked_last() {
    let mut members: Vec<Record> = (0..20).map(|i| record(&format!("vm-{i}"), 1)).collect();
    for member in &mut members[..10] {
        member.state = UpstreamState::Left;
        member.ended = Some(UnixMillis::new(NOW - 1_000));
    }
    let order = names(&members[15], &members);
    let alive: Vec<String> = members[10..].iter().map(|m| m.vm.to_string()).collect();
    assert!(order[..9].iter().all(|vm| alive.contains(vm)), "{order:?}");
    assert_eq!(order.len(), 19);
}
