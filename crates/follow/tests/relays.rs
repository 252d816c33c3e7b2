//! Selection of relays, and the changes and configurations that they send, without sockets.

use std::time::Duration;

use follow::feed::Feed;
use follow::packed::{pack, unpack};
use follow::relays::{RelaySelector, Source, relays};
use follow::topic_state::TopicState;
use member::{Record, UpstreamState};
use model::{Incarnation, Rate};
use store::{Changes, Entry, Era, Revision, Scan};
use tokio::time::Instant;

fn record(vm: &str, domain: &str, link: u64) -> Record {
    Record {
        vm: vm.parse().expect("a valid id"),
        incarnation: Incarnation::new(1),
        counter: 1,
        state: UpstreamState::Ready,
        service: None,
        gate: ([127, 0, 0, 1], 1).into(),
        fleet: ([127, 0, 0, 1], 2).into(),
        domain: domain.parse().expect("a valid name"),
        region: "cz-morava".parse().expect("a valid name"),
        slots: 12,
        link: Rate::from_bits(link),
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

/// Twenty VMs in each of three failure domains; the last one of each has a wide link.
fn fleet() -> Vec<Record> {
    let domains = ["a", "b", "c"];
    let vms = domains
        .into_iter()
        .flat_map(|domain| (1..=20).map(move |index| (domain, index)));
    vms.map(|(domain, index)| {
        let link = if index == 20 { 100_000_000 } else { 5_000_000 };
        record(&format!("{domain}-{index}"), domain, link)
    })
    .collect()
}

fn vm_names(records: &[Record]) -> Vec<String> {
    records.iter().map(|record| record.vm.to_string()).collect()
}

#[test]
fn widest_link_of_each_failure_domain_is_the_relay() {
    let fleet = fleet();
    let relays: Vec<String> = relays(&fleet).iter().map(|r| r.vm.to_string()).collect();
    assert_eq!(relays, ["a-20", "b-20", "c-20"]);
}

#[test]
fn daemons_poll_the_relay_of_their_failure_domain_and_another() {
    let fleet = fleet();
    let mut others = Vec::new();
    for own in fleet.iter().filter(|own| own.link != fleet[19].link) {
        let source = RelaySelector::default().source(own, &fleet, Instant::now());
        let Source::Relays(followed) = source else {
            panic!("{} reads the store itself", own.vm);
        };
        assert_eq!(followed.len(), 2);
        assert_eq!(followed[0].domain, own.domain);
        assert_ne!(followed[1].domain, own.domain);
        others.push(followed[1].vm.clone());
    }
    others.sort();
    others.dedup();
    assert_eq!(
        others.len(),
        3,
        "the second relays are not spread over all relays"
    );
}

#[test]
fn relays_read_the_store() {
    let fleet = fleet();
    let source = RelaySelector::default().source(&fleet[19], &fleet, Instant::now());
    assert_eq!(source, Source::Store);
}

#[test]
fn daemon_without_known_peers_reads_the_store() {
    let own = record("a-1", "a", 0);
    let source = RelaySelector::default().source(&own, std::slice::from_ref(&own), Instant::now());
    assert_eq!(source, Source::Store);
}

#[test]
fn store_is_read_while_too_few_relays_respond() {
    let fleet = fleet();
    let now = Instant::now();
    let mut selector = RelaySelector::default();
    selector.mark_failed(fleet[19].vm.clone(), now);
    let Source::Relays(followed) = selector.source(&fleet[0], &fleet, now) else {
        panic!("expected the two remaining relays as source");
    };
    assert_eq!(vm_names(&followed).len(), 2);
    assert!(followed.iter().all(|relay| relay.vm != fleet[19].vm));
    selector.mark_failed(followed[0].vm.clone(), now);
    assert_eq!(selector.source(&fleet[0], &fleet, now), Source::Store);
    // Failed relays are polled again after the backoff.
    let later = now + Duration::from_secs(4);
    assert!(matches!(
        selector.source(&fleet[0], &fleet, later),
        Source::Relays(_)
    ));
}

/// All daemons of a fleet read the store at the same moment when a cut of the watches set their relays back for a moment.
#[test]
fn relay_that_lost_its_watch_is_polled_again_soon() {
    let fleet = fleet();
    let now = Instant::now();
    let mut selector = RelaySelector::default();
    assert_eq!(selector.relays_usable_at(&fleet[19], &fleet), None);
    let relays = [&fleet[19], &fleet[39], &fleet[59]];
    for relay in relays {
        selector.mark_behind(relay.vm.clone(), 1.0, now);
    }
    assert_eq!(selector.source(&fleet[0], &fleet, now), Source::Store);
    let usable_at = selector.relays_usable_at(&fleet[0], &fleet);
    let soon = usable_at.expect("a time");
    assert!(soon > now && soon <= now + Duration::from_millis(400));
    assert!(matches!(
        selector.source(&fleet[0], &fleet, soon),
        Source::Relays(_)
    ));
    // Relays that stay behind are polled ever more rarely.
    for _ in 0..10 {
        for relay in relays {
            selector.mark_behind(relay.vm.clone(), 0.0, now);
        }
    }
    let later = selector.relays_usable_at(&fleet[0], &fleet);
    assert!(later.expect("a time") >= now + Duration::from_secs(2));
    for relay in &relays[..2] {
        selector.mark_following(&relay.vm);
    }
    assert_eq!(selector.relays_usable_at(&fleet[0], &fleet), None);
    assert!(matches!(
        selector.source(&fleet[0], &fleet, now),
        Source::Relays(_)
    ));
}

#[test]
fn relay_that_left_is_replaced() {
    let mut fleet = fleet();
    fleet[19].state = UpstreamState::Left;
    let relays: Vec<&Record> = relays(&fleet);
    assert_eq!(relays.len(), 3);
    assert!(relays.iter().all(|relay| relay.vm != fleet[19].vm));
}

#[test]
fn number_of_relays_grows_with_the_fleet() {
    let fleet: Vec<Record> = (0..17_000)
        .map(|vm| record(&format!("vm-{vm}"), &format!("d-{}", vm % 85), 0))
        .collect();
    assert_eq!(relays(&fleet).len(), 85 * 2);
}

#[test]
fn fleet_in_one_failure_domain_has_two_relays() {
    let fleet: Vec<Record> = (0..5)
        .map(|vm| record(&format!("vm-{vm}"), "a", 0))
        .collect();
    assert_eq!(relays(&fleet).len(), 2);
}

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.into(),
        value: vec![revision as u8],
        revision: Revision::new(revision),
    }
}

fn changes(entries: &[Entry], deleted: &[&str], revision: u64) -> Changes {
    Changes {
        entries: entries.to_vec(),
        deleted: deleted.iter().map(|key| (*key).into()).collect(),
        revision: Revision::new(revision),
    }
}

#[test]
fn feed_returns_the_changes_after_a_revision() {
    let mut feed = Feed::default();
    assert_eq!(
        feed.since(Revision::new(5)),
        None,
        "no scan has been applied yet"
    );
    feed.apply_scan(&[entry("a", 3), entry("b", 4)], Revision::new(10));
    feed.apply_changes(&changes(&[entry("a", 11)], &[], 11));
    feed.apply_changes(&changes(&[entry("c", 13)], &["b"], 14));
    assert_eq!(
        feed.since(Revision::new(10)),
        Some(changes(&[entry("a", 11), entry("c", 13)], &["b"], 14))
    );
    assert_eq!(feed.since(Revision::new(14)), Some(changes(&[], &[], 14)));
    // Deletions before the scan are not known.
    assert_eq!(feed.since(Revision::new(9)), None);
    // A caller may have received a later revision from another relay.
    assert_eq!(feed.since(Revision::new(20)), Some(changes(&[], &[], 20)));
}

#[test]
fn feed_drops_the_deletion_of_a_recreated_key() {
    let mut feed = Feed::default();
    feed.apply_scan(&[entry("a", 3)], Revision::new(10));
    feed.apply_changes(&changes(&[], &["a"], 11));
    feed.apply_changes(&changes(&[entry("a", 12)], &[], 12));
    assert_eq!(
        feed.since(Revision::new(10)),
        Some(changes(&[entry("a", 12)], &[], 12))
    );
}

/// Returns `entry` as it is in the era after the store came back from a copy.
fn restored(entry: Entry) -> Entry {
    let revision = Revision {
        era: Era(1),
        ..entry.revision
    };
    Entry { revision, ..entry }
}

#[test]
fn feed_does_not_hide_entries_at_revisions_given_out_again() {
    let mut feed = Feed::default();
    feed.apply_scan(&[entry("a", 3), entry("b", 9)], Revision::new(10));
    // The store came back at revision 4, and the records were written again.
    let entries = [restored(entry("a", 3)), restored(entry("c", 5))];
    let revision = restored(entry("c", 5)).revision;
    feed.apply_scan(&entries, revision);
    assert!(revision > Revision::new(10));
    // A daemon that follows since before the restore lacks what lies under the revision that it has.
    assert_eq!(feed.since(Revision::new(10)), None);
    let entries = entries.to_vec();
    assert_eq!(feed.snapshot(), Some(Scan { entries, revision }));
    assert_eq!(feed.since(revision).expect("known").entries, []);
}

/// A configuration of `routes` routes, of which `changed` has another timeout.
fn config(routes: usize, changed: usize) -> Vec<u8> {
    let route = |index: usize| {
        let timeout = if index == changed { 900 } else { 1_500 };
        // Unique, incompressible names.
        let name = model::Digest::of(&index.to_le_bytes());
        format!(
            r#""r-{name}":{{"host":"h{index}.example","pathPrefix":"/p{name}/","timeout":"{timeout}ms"}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"version":{changed},"routes":{{{}}}}}"#,
        routes.join(",")
    )
    .into_bytes()
}

#[test]
fn one_changed_route_is_packed_as_a_small_difference() {
    let (old, new) = (config(1_400, 5), config(1_400, 900));
    assert!(new.len() > 200_000);
    let packed = pack(&new, &old).expect("packed");
    // A 5 Mbit/s link transfers 4 KiB in 7 ms, and the whole configuration in half a second.
    assert!(packed.len() < 4_096, "{} bytes", packed.len());
    assert_eq!(unpack(&packed, &old).expect("unpacked"), new);
}

#[test]
fn difference_from_another_base_is_refused() {
    let packed = pack(&config(300, 5), &config(300, 6)).expect("packed");
    assert!(unpack(&packed, &config(300, 7)).is_err());
    assert!(unpack(&packed[..packed.len() / 2], &config(300, 6)).is_err());
}

#[test]
fn configuration_without_a_base_is_packed_whole() {
    let value = config(300, 5);
    let packed = pack(&value, &[]).expect("packed");
    assert!(packed.len() < value.len());
    assert_eq!(unpack(&packed, &[]).expect("unpacked"), value);
}

/// A relay that lost the store held the polls of its followers to the end, and they read no version meanwhile.
#[test]
fn held_polls_are_answered_as_soon_as_the_relay_loses_the_store() {
    let state = TopicState::default();
    state.set_follows_store(true);
    let mut poll = state.subscribe();
    poll.mark_unchanged();
    state.set_follows_store(true);
    assert!(!poll.has_changed().expect("a running relay"));
    state.set_follows_store(false);
    assert!(poll.has_changed().expect("a running relay"));
}
