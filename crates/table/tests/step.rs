//! Incremental updates of the snapshot: after any changes, it equals one compiled from scratch.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use http::{HeaderMap, Method};
use member::{LinkId, Members, Record, UpstreamState};
use model::{
    Change, Digest, Entry, HeaderMatch, Incarnation, Item, Key, PathMatch, Pool, Route, Rules,
    Service, State, Target, TeamName, UnixMillis, Version, Weight,
};
use proptest::prelude::*;
use table::{Applied, FullVersion, Snapshot, Table};

const HOSTS: [&str; 4] = ["a.example", "B.example", "b.example", "*"];
const PATHS: [&str; 4] = ["/", "/a", "/a/b", "/a/b/"];

fn team() -> TeamName {
    "team".parse().expect("valid")
}

fn record(vm: u8, counter: u64, service: Option<u8>, state: UpstreamState) -> Record {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    Record {
        vm: format!("vm-{vm:02}").parse().expect("valid"),
        incarnation: Incarnation::new(1),
        counter,
        state,
        service: service.map(|i| format!("s{i}").parse().expect("valid")),
        gate: address,
        fleet: address,
        domain: format!("d{}", vm % 2).parse().expect("valid"),
        region: "r".parse().expect("valid"),
        slots: 12,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}

fn service(i: u8, slots: u32) -> Item {
    let mut service = Service::new(format!("s{i}").parse().expect("valid"), team());
    service.slots = slots;
    Item::Service(service)
}

fn pool(i: u8, service: u8, domain: Option<u8>) -> Item {
    let domains = domain.map(|i| format!("d{i}").parse().expect("valid"));
    Item::Pool(Pool {
        name: format!("p{i}").parse().expect("valid"),
        team: team(),
        service: format!("s{service}").parse().expect("valid"),
        domains: domains.into_iter().collect(),
    })
}

fn route(i: u8, hosts: Vec<usize>, path: usize, exact: bool, header: bool, to: Vec<u8>) -> Item {
    let path = PATHS[path].to_owned();
    let header = header.then(|| HeaderMatch {
        name: "x".into(),
        value: None,
    });
    let targets = to.into_iter().map(|i| Target {
        pool: format!("p{i}").parse().expect("valid"),
        weight: Weight::new(1),
    });
    Item::Route(Route {
        name: format!("r{i}").parse().expect("valid"),
        team: team(),
        hosts: hosts.into_iter().map(|i| HOSTS[i].into()).collect(),
        path: match exact {
            true => PathMatch::Exact(path),
            false => PathMatch::Prefix(path),
        },
        methods: Vec::new(),
        headers: header.into_iter().collect(),
        to: targets.collect(),
        rules: Rules::default(),
    })
}

/// One event of a generated test case.
#[derive(Debug, Clone)]
enum Event {
    Change(Vec<(Key, Option<Item>)>),
    Record(u8, Option<u8>, bool),
}

fn edit() -> impl Strategy<Value = (Key, Option<Item>)> {
    let some = prop_oneof![
        (0u8..4, 1u32..4).prop_map(|(i, slots)| service(i, slots)),
        (0u8..5, 0u8..4, prop::option::of(0u8..2)).prop_map(|(i, s, d)| pool(i, s, d)),
        (
            0u8..6,
            prop::collection::vec(0..HOSTS.len(), 1..3),
            0..PATHS.len(),
            any::<bool>(),
            any::<bool>(),
            prop::collection::vec(0u8..5, 1..3),
        )
            .prop_map(|(i, hosts, path, exact, header, to)| {
                route(i, hosts, path, exact, header, to)
            }),
    ];
    let none = (0usize..3, 0u8..6)
        .prop_map(|(kind, i)| format!("{}{i}", ["service/s", "pool/p", "route/r"][kind]))
        .prop_map(|key| (key.parse().expect("a key"), None));
    prop_oneof![
        3 => some.prop_map(|item| (item.key(), Some(item))),
        2 => none,
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => prop::collection::vec(edit(), 1..6).prop_map(Event::Change),
        1 => (0u8..8, prop::option::of(0u8..4), any::<bool>())
            .prop_map(|(vm, service, ready)| Event::Record(vm, service, ready)),
    ]
}

/// Returns everything that a call can observe of a snapshot. Panics on an index that does not resolve.
fn call_view(snapshot: &Snapshot) -> BTreeMap<String, String> {
    let mut call_view = BTreeMap::new();
    for pool in snapshot.pools() {
        let vms: Vec<_> = pool.upstreams.iter().map(|one| one.vm.as_str()).collect();
        let text = format!("{:?} {:?} {vms:?}", pool.pool, pool.service);
        assert!(
            call_view
                .insert(format!("pool {}", pool.pool.name), text)
                .is_none()
        );
    }
    for route in snapshot.routes() {
        let targets = route.targets.iter();
        let pools: Vec<_> = targets
            .map(|(index, weight)| (&snapshot.pool(*index).pool.name, weight))
            .collect();
        let wanted: Vec<_> = route
            .route
            .to
            .iter()
            .map(|to| (&to.pool, &to.weight))
            .collect();
        assert_eq!(pools, wanted);
        let text = format!("{:?}", route.route);
        assert!(
            call_view
                .insert(format!("route {}", route.route.name), text)
                .is_none()
        );
    }
    let mut with = HeaderMap::new();
    with.insert("x", "1".parse().expect("valid"));
    for headers in [HeaderMap::new(), with] {
        for host in ["a.example", "b.example", "c.example"] {
            for path in ["/", "/a", "/a/b", "/a/b/c", "/c"] {
                let found = snapshot.find(host, path, &Method::GET, &headers);
                let name = found.map(|route| route.route.name.to_string());
                let call = format!("call {host} {path} {}", headers.len());
                call_view.insert(call, format!("{name:?}"));
            }
        }
    }
    call_view
}

fn change(
    edits: Vec<(Key, Option<Item>)>,
    version: Version,
    parent: Digest,
    old: &State,
) -> Change {
    let entries: Vec<Entry> = edits
        .into_iter()
        .map(|(key, item)| Entry { key, item })
        .collect();
    let mut next = old.clone();
    for entry in &entries {
        let item = entry
            .item
            .clone()
            .map(|item| Arc::new(model::HashedItem::new(item)));
        next.set(&entry.key, item);
    }
    Change {
        version,
        parent,
        base: None,
        accept_id: "id".parse().expect("valid"),
        request: Digest::ZERO,
        operator: "operator".parse().expect("valid"),
        teams: vec![team()],
        reason: String::new(),
        at: UnixMillis::new(0),
        entries,
        root: next.root(),
    }
}

fn table() -> Table {
    let own = record(99, 0, None, UpstreamState::Absent);
    Table::open(Arc::new(Members::open(own)))
}

/// Returns a table with the same version and records, compiled from scratch.
fn compiled(incremental: &Table, full: &FullVersion) -> Table {
    let fresh = table();
    fresh.merge(incremental.members().all(), LinkId(1));
    fresh.install(full.clone()).expect("a valid version");
    fresh
}

/// Applies a change and checks that it is put in force, or, if it is invalid, that it is rejected with
/// its problems and the snapshot in force is unchanged.
fn apply(table: &Table, edits: Vec<(Key, Option<Item>)>) {
    let before = table.snapshot();
    let state = table
        .full_version()
        .map_or_else(State::empty, |full| full.state);
    let change = change(edits, before.version.next(), before.digest, &state);
    let bytes = change.to_bytes();
    let next = state.apply(&change).expect("the change declares its root");
    let problems = model::validate(&next);
    let applied = table.apply(&[bytes]);
    if problems.is_empty() {
        assert_eq!(applied, Ok(Applied::Installed(change.version)));
    } else {
        let Err(table::ApplyError::Invalid {
            problems: found, ..
        }) = applied
        else {
            panic!("{applied:?}");
        };
        assert_eq!(found.0, problems);
        assert!(Arc::ptr_eq(&before, &table.snapshot()));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn incremental_updates_equal_a_compilation(events in prop::collection::vec(event(), 1..40)) {
        let incremental = table();
        for (i, event) in events.into_iter().enumerate() {
            match event {
                Event::Change(edits) => {
                    apply(&incremental, edits.clone());
                    // Edits that are rejected together may be valid alone; this lets the state grow.
                    edits.into_iter().for_each(|edit| apply(&incremental, vec![edit]));
                }
                Event::Record(vm, service, ready) => {
                    let state = match ready {
                        true => UpstreamState::Ready,
                        false => UpstreamState::Draining,
                    };
                    incremental.merge(vec![record(vm, i as u64, service, state)], LinkId(1));
                }
            }
            if let Some(full) = incremental.full_version() {
                let fresh = compiled(&incremental, &full);
                prop_assert_eq!(call_view(&incremental.snapshot()), call_view(&fresh.snapshot()));
            }
        }
    }
}

#[test]
fn change_shares_unaffected_pools_and_routes() {
    let table = table();
    let items: Vec<Item> = (0..4)
        .flat_map(|i| {
            [
                service(i, 12),
                pool(i, i, None),
                route(i, vec![0], 1, false, false, vec![i]),
            ]
        })
        .collect();
    apply(
        &table,
        items
            .into_iter()
            .map(|item| (item.key(), Some(item)))
            .collect(),
    );
    table.merge(vec![record(1, 0, Some(1), UpstreamState::Ready)], LinkId(1));
    let before = table.snapshot();
    let edit = service(0, 6);
    apply(&table, vec![(edit.key(), Some(edit))]);
    let after = table.snapshot();
    let shared = |snapshot: &Snapshot, name: &str| {
        let mut pools = snapshot.pools().iter();
        pools
            .find(|pool| pool.pool.name.as_str() == name)
            .cloned()
            .expect("a pool")
    };
    assert!(!Arc::ptr_eq(&shared(&before, "p0"), &shared(&after, "p0")));
    for name in ["p1", "p2", "p3"] {
        assert!(Arc::ptr_eq(&shared(&before, name), &shared(&after, name)));
    }
    for (old, new) in before.routes().iter().zip(after.routes()) {
        assert!(Arc::ptr_eq(old, new));
    }
}

#[test]
fn route_stays_while_its_pool_gains_and_loses_upstreams() {
    let table = table();
    let items = [
        service(0, 12),
        pool(0, 0, None),
        route(0, vec![3], 0, false, false, vec![0]),
    ];
    apply(
        &table,
        items
            .into_iter()
            .map(|item| (item.key(), Some(item)))
            .collect(),
    );
    let upstreams = || table.snapshot().pools()[0].upstreams.len();
    assert_eq!(upstreams(), 0);
    table.merge(vec![record(1, 0, Some(0), UpstreamState::Ready)], LinkId(1));
    assert_eq!(upstreams(), 1);
    table.merge(
        vec![record(1, 1, Some(0), UpstreamState::Draining)],
        LinkId(1),
    );
    assert_eq!(upstreams(), 0);
    assert_eq!(table.snapshot().routes().len(), 1);
}

#[test]
fn change_over_a_megabyte_is_put_in_force() {
    let table = table();
    let mut items = vec![service(0, 12), pool(0, 0, None)];
    for i in 0..350 {
        let mut item = route(0, vec![3], 0, false, false, vec![0]);
        if let Item::Route(route) = &mut item {
            route.name = format!("route-{i}").parse().expect("valid");
            route.hosts = (0..200)
                .map(|host| format!("host-{host}.example"))
                .collect();
        }
        items.push(item);
    }
    let edits = items
        .into_iter()
        .map(|item| (item.key(), Some(item)))
        .collect();
    let change = change(edits, Version::new(1), Digest::ZERO, &State::empty());
    let bytes = change.to_bytes();
    assert!(bytes.len() > 1_000_000);
    assert_eq!(
        table.apply(&[&bytes]),
        Ok(Applied::Installed(Version::new(1)))
    );
    let sent = table.since(Version::default(), Digest::ZERO).expect("kept");
    assert_eq!(sent.len(), 1);
    assert_eq!(&*sent[0], &bytes[..]);
}
