//! Merging of membership records.

use member::{LinkId, MAX_RECORDS, Members, RETENTION, Record, UpstreamState};
use model::{Incarnation, UnixMillis};

const LINK: LinkId = LinkId(1);

fn record(vm: &str, service: &str, counter: u64) -> Record {
    Record {
        vm: vm.parse().expect("a valid id"),
        incarnation: Incarnation::new(1),
        counter,
        state: UpstreamState::Ready,
        service: Some(service.parse().expect("a valid name")),
        gate: ([127, 0, 0, 1], 1).into(),
        fleet: ([127, 0, 0, 1], 2).into(),
        domain: "morava-a".parse().expect("a valid name"),
        region: "cz-morava".parse().expect("a valid name"),
        slots: 12,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

fn vms(members: &Members, service: &str) -> Vec<String> {
    let records = members.of_service(&service.parse().expect("a valid name"));
    records.iter().map(|record| record.vm.to_string()).collect()
}

#[test]
fn service_index_follows_a_record_to_its_new_service() {
    let members = Members::open(record("a-0", "galleys", 1));
    members.merge(
        vec![record("a-1", "galleys", 1), record("a-2", "galleys", 1)],
        LINK,
    );
    assert_eq!(vms(&members, "galleys"), ["a-0", "a-1", "a-2"]);
    members.merge(vec![record("a-1", "proofdesk", 2)], LINK);
    assert_eq!(vms(&members, "galleys"), ["a-0", "a-2"]);
    assert_eq!(vms(&members, "proofdesk"), ["a-1"]);
    // A delayed older record changes nothing.
    members.merge(vec![record("a-1", "galleys", 1)], LINK);
    assert_eq!(vms(&members, "proofdesk"), ["a-1"]);
}

fn expired(mut record: Record) -> Record {
    record.expired = true;
    record
}

/// Synchronises two tables by their differing buckets, as peers do.
fn exchange(one: &Members, two: &Members) {
    let differing = one.buckets().differing(&two.buckets());
    let buckets = differing.into_iter().collect();
    two.merge(one.in_buckets(&buckets), LINK);
    one.merge(two.in_buckets(&buckets), LINK);
}

#[test]
fn partitioned_regions_converge_after_reconnecting() {
    let one = Members::open(record("a-0", "galleys", 1));
    let two = Members::open(record("b-0", "galleys", 1));
    exchange(&one, &two);
    assert_eq!(one.buckets().root(), two.buckets().root());

    // During the partition, each side expires the other's daemon, and a daemon joins on each side.
    one.expire(&"b-0".parse().expect("a valid id"));
    two.expire(&"a-0".parse().expect("a valid id"));
    one.merge(vec![record("a-1", "galleys", 1)], LINK);
    two.merge(vec![record("b-1", "galleys", 1)], LINK);
    assert_ne!(one.buckets().root(), two.buckets().root());

    // Each daemon refutes its expiry; the second exchange carries the refutations.
    exchange(&one, &two);
    exchange(&one, &two);
    assert_eq!(one.buckets(), two.buckets());
    assert_eq!(vms(&one, "galleys"), ["a-0", "a-1", "b-0", "b-1"]);
    assert!(one.all().iter().all(Record::is_alive));
    assert!(two.all().iter().all(Record::is_alive));
}

#[test]
fn ended_record_overrides_older_ones_until_its_retention_ends() {
    let members = Members::open(record("a-0", "galleys", 1));
    members.merge(vec![record("a-1", "galleys", 1)], LINK);
    let end = UnixMillis::now();
    let mut ended = expired(record("a-1", "galleys", 1));
    ended.ended = Some(end);
    members.merge(vec![ended.clone()], LINK);
    let retention = RETENTION.as_millis() as u64;
    members.sweep(end);
    members.sweep(UnixMillis::new(end.get() + retention - 1));
    members.merge(vec![record("a-1", "galleys", 1)], LINK);
    let vm = "a-1".parse().expect("a valid id");
    assert!(members.get(&vm).is_some_and(|record| record.expired));

    members.sweep(UnixMillis::new(end.get() + retention));
    assert_eq!(members.get(&vm), None);
    // A record that ended at least the retention time ago is ignored; a later incarnation is
    // accepted.
    ended.ended = Some(UnixMillis::new(end.get() - retention));
    assert!(members.merge(vec![ended], LINK).is_empty());
    let mut restarted = record("a-1", "galleys", 1);
    restarted.incarnation = Incarnation::new(2);
    assert_eq!(members.merge(vec![restarted], LINK).len(), 1);
}

#[test]
fn digests_do_not_depend_on_ended_records() {
    let members = Members::open(record("a-0", "galleys", 1));
    let before = members.buckets();
    members.merge(vec![record("a-1", "galleys", 1)], LINK);
    assert_ne!(members.buckets(), before);
    members.merge(vec![expired(record("a-1", "galleys", 1))], LINK);
    assert_eq!(members.buckets(), before);
}

#[test]
fn full_table_accepts_a_new_vm_only_in_place_of_an_ended_one() {
    let members = Members::open(record("a-0", "galleys", 1));
    let fill = (1..MAX_RECORDS).map(|i| record(&format!("a-{i}"), "galleys", 1));
    members.merge(fill.collect(), LINK);
    assert!(
        members
            .merge(vec![record("b-1", "galleys", 1)], LINK)
            .is_empty()
    );
    members.merge(vec![expired(record("a-7", "galleys", 1))], LINK);
    assert_eq!(
        members.merge(vec![record("b-1", "galleys", 1)], LINK).len(),
        1
    );
    assert_eq!(members.all().len(), MAX_RECORDS);
}

#[test]
fn departure_of_an_unknown_daemon_overrides_a_delayed_older_record() {
    let members = Members::open(record("a-0", "galleys", 1));
    let mut left = record("a-1", "galleys", 2);
    left.state = UpstreamState::Left;
    left.ended = Some(UnixMillis::now());
    members.merge(vec![left], LINK);
    assert!(
        members
            .merge(vec![record("a-1", "galleys", 1)], LINK)
            .is_empty()
    );
}

fn leaving(mut record: Record, instance: &str) -> Record {
    let instance = instance.parse().expect("a valid id");
    let until = Incarnation::new(7);
    record
        .departures
        .record(&instance, until, UnixMillis::now());
    record
}

fn departed(members: &Members, vm: &str) -> Vec<String> {
    let record = members.get(&vm.parse().expect("a valid id"));
    let departures = record.expect("a record").departures;
    departures
        .iter()
        .map(|departure| departure.instance.to_string())
        .collect()
}

/// Guards against a departure that is lost when the daemon that starts on the VM publishes its own record first.
#[test]
fn departures_outlive_the_record_that_names_them() {
    let members = Members::open(record("a-0", "galleys", 1));
    let mut next = record("a-1", "galleys", 1);
    next.incarnation = Incarnation::new(2);
    members.merge(vec![leaving(record("a-1", "galleys", 3), "i-1")], LINK);
    members.merge(vec![next.clone()], LINK);
    assert_eq!(departed(&members, "a-1"), ["i-1"]);
    // An older record that comes behind the newer one.
    members.merge(vec![leaving(record("a-1", "galleys", 2), "i-2")], LINK);
    assert_eq!(departed(&members, "a-1"), ["i-1", "i-2"]);
    let known = members.get(&next.vm).expect("a record");
    assert_eq!(known.incarnation, next.incarnation);
}

#[test]
fn departures_in_an_earlier_record_of_the_local_vm_are_published_again() {
    let mut own = record("a-0", "galleys", 1);
    own.incarnation = Incarnation::new(9);
    let members = Members::open(own);
    let updated = members.merge(vec![leaving(record("a-0", "galleys", 5), "i-1")], LINK);
    assert_eq!(updated.len(), 1);
    assert_eq!(departed(&members, "a-0"), ["i-1"]);
    assert_eq!(members.own().counter, 2);
    assert_eq!(members.own().incarnation, Incarnation::new(9));
    let updated = members.merge(vec![leaving(record("a-0", "galleys", 5), "i-1")], LINK);
    assert_eq!(updated, []);
}
