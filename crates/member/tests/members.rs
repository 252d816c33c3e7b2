//! Merging of membership records.

use member::{LinkId, Members, Record, UpstreamState};
use model::Incarnation;

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
        expired: false,
    }
}

fn vms(members: &Members, service: &str) -> Vec<String> {
    let records = members.of_service(&service.parse().expect("a valid name"));
    records.iter().map(|record| record.vm.to_string()).collect()
}

#[test]
fn index_by_service_follows_a_record_to_its_new_service() {
    let members = Members::open(record("a-0", "galleys", 1));
    members.merge(
        vec![record("a-1", "galleys", 1), record("a-2", "galleys", 1)],
        LINK,
    );
    assert_eq!(vms(&members, "galleys"), ["a-0", "a-1", "a-2"]);
    members.merge(vec![record("a-1", "proofdesk", 2)], LINK);
    assert_eq!(vms(&members, "galleys"), ["a-0", "a-2"]);
    assert_eq!(vms(&members, "proofdesk"), ["a-1"]);
    // An older record arrives late and changes nothing.
    members.merge(vec![record("a-1", "galleys", 1)], LINK);
    assert_eq!(vms(&members, "proofdesk"), ["a-1"]);
}
