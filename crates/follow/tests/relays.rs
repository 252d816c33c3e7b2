//! Who follows the store for the others, and what passes between them, on stated inputs.

use std::time::Duration;

use follow::feed::Feed;
use follow::packed::{pack, unpack};
use follow::relays::{Relays, Source, relays};
use member::{Record, UpstreamState};
use model::{Incarnation, Rate};
use store::{Changes, Entry, Revision};
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

fn names(records: &[Record]) -> Vec<String> {
    records.iter().map(|record| record.vm.to_string()).collect()
}

#[test]
fn widest_link_of_each_failure_domain_is_the_relay() {
    let fleet = fleet();
    let relays: Vec<String> = relays(&fleet).iter().map(|r| r.vm.to_string()).collect();
    assert_eq!(relays, ["a-20", "b-20", "c-20"]);
}

#[test]
fn daemons_follow_the_relay_beside_them_and_another() {
    let fleet = fleet();
    let mut others = Vec::new();
    for own in fleet.iter().filter(|own| own.link != fleet[19].link) {
        let source = Relays::default().source(own, &fleet, Instant::now());
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
    assert_eq!(others.len(), 3, "one relay is the second of everyone");
}

#[test]
fn relays_read_the_store() {
    let fleet = fleet();
    let source = Relays::default().source(&fleet[19], &fleet, Instant::now());
    assert_eq!(source, Source::Store);
}

#[test]
fn daemon_that_knows_nobody_reads_the_store() {
    let own = record("a-1", "a", 0);
    let source = Relays::default().source(&own, std::slice::from_ref(&own), Instant::now());
    assert_eq!(source, Source::Store);
}

#[test]
fn store_is_read_while_too_few_relays_answer() {
    let fleet = fleet();
    let now = Instant::now();
    let mut relays = Relays::default();
    relays.failed(fleet[19].vm.clone(), now);
    let Source::Relays(followed) = relays.source(&fleet[0], &fleet, now) else {
        panic!("two relays are left");
    };
    assert_eq!(names(&followed).len(), 2);
    assert!(followed.iter().all(|relay| relay.vm != fleet[19].vm));
    relays.failed(followed[0].vm.clone(), now);
    assert_eq!(relays.source(&fleet[0], &fleet, now), Source::Store);
    // They are tried again after a while.
    let later = now + Duration::from_secs(4);
    assert!(matches!(
        relays.source(&fleet[0], &fleet, later),
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
fn relays_grow_with_the_fleet() {
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
        revision: Revision(revision),
    }
}

fn changes(entries: &[Entry], deleted: &[&str], revision: u64) -> Changes {
    Changes {
        entries: entries.to_vec(),
        deleted: deleted.iter().map(|key| (*key).into()).collect(),
        revision: Revision(revision),
    }
}

#[test]
fn feed_tells_what_followed_a_revision() {
    let mut feed = Feed::default();
    assert_eq!(feed.since(Revision(5)), None, "nothing was read yet");
    feed.scanned(&[entry("a", 3), entry("b", 4)], Revision(10));
    feed.changed(&changes(&[entry("a", 11)], &[], 11));
    feed.changed(&changes(&[entry("c", 13)], &["b"], 14));
    assert_eq!(
        feed.since(Revision(10)),
        Some(changes(&[entry("a", 11), entry("c", 13)], &["b"], 14))
    );
    assert_eq!(feed.since(Revision(14)), Some(changes(&[], &[], 14)));
    // What was deleted before the scan is not known.
    assert_eq!(feed.since(Revision(9)), None);
    // A follower may have heard of more at another relay.
    assert_eq!(feed.since(Revision(20)), Some(changes(&[], &[], 20)));
}

#[test]
fn feed_forgets_the_deletion_of_a_key_that_is_back() {
    let mut feed = Feed::default();
    feed.scanned(&[entry("a", 3)], Revision(10));
    feed.changed(&changes(&[], &["a"], 11));
    feed.changed(&changes(&[entry("a", 12)], &[], 12));
    assert_eq!(
        feed.since(Revision(10)),
        Some(changes(&[entry("a", 12)], &[], 12))
    );
}

/// A configuration of `routes` routes, of which `changed` has another timeout.
fn config(routes: usize, changed: usize) -> Vec<u8> {
    let route = |index: usize| {
        let timeout = if index == changed { 900 } else { 1_500 };
        // Names that do not repeat, as digests.
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
fn changed_route_crosses_a_link_as_a_difference() {
    let (old, new) = (config(1_400, 5), config(1_400, 900));
    assert!(new.len() > 200_000);
    let packed = pack(&new, &old).expect("packed");
    // A link of 5 Mbit takes 4 KiB in 7 ms, and the whole configuration in half a second.
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
fn configuration_without_a_base_is_sent_whole() {
    let value = config(300, 5);
    let packed = pack(&value, &[]).expect("packed");
    assert!(packed.len() < value.len());
    assert_eq!(unpack(&packed, &[]).expect("unpacked"), value);
}
