//! Properties of the decision modules, through their public interfaces.

mod chain;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use chain::{Step, accept, config, record, two_teams, version};
use ledger::{Error, Ledger};
use member::{LinkId, Members, Record, UpstreamState};
use model::{HashedItem, Incarnation, State, Version};
use proof::{History, InForce, Rule, View, check};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use standin::Kv;
use table::{Applied, FullVersion, Table};

/// Versions of the chains.
const LENGTH: u64 = 8;

/// Runs `future` to its end, in paused time.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

/// One thing that a daemon's table may be told.
#[derive(Debug, Clone)]
enum Told {
    /// The changes from one version to another, both included.
    Changes(usize, usize),
    /// A whole version.
    Whole(usize),
    /// A whole version with the change of another.
    Torn(usize, usize),
    /// A record of an upstream.
    Record(u64, bool),
}

fn told() -> impl Strategy<Value = Told> {
    let index = || 0..LENGTH as usize;
    prop_oneof![
        4 => (index(), index()).prop_map(|(a, b)| Told::Changes(a.min(b), a.max(b))),
        2 => index().prop_map(Told::Whole),
        1 => (index(), index()).prop_map(|(a, b)| Told::Torn(a, b)),
        1 => (0..4_u64, any::<bool>()).prop_map(|(vm, red)| Told::Record(vm, red)),
    ]
}

fn whole(change: &Step, state: &Step) -> FullVersion {
    FullVersion {
        change: Arc::from(change.change.to_bytes()),
        state: state.state.clone(),
    }
}

fn tell(table: &Table, chain: &[Step], told: &Told) {
    // What is refused leaves the table as it was, which the readers check.
    match told {
        Told::Changes(from, to) => {
            let changes = chain[*from..=*to].iter();
            let bytes: Vec<_> = changes.map(|step| step.change.to_bytes()).collect();
            let _ = table.apply(&bytes);
        }
        Told::Whole(index) => {
            let _ = table.install(whole(&chain[*index], &chain[*index]));
        }
        Told::Torn(change, state) => {
            let _ = table.install(whole(&chain[*change], &chain[*state]));
        }
        Told::Record(vm, red) => {
            let team = if *red { "red" } else { "blue" };
            let record = record(&format!("vm-{vm}"), 1, *vm, team);
            table.merge(vec![record], LinkId(1));
        }
    }
}

fn open_table() -> Table {
    Table::open(Arc::new(Members::open(record("own", 1, 0, "red"))))
}

/// Returns what a view of each version must hold.
fn expected(chain: &[Step]) -> BTreeMap<u64, Vec<String>> {
    let empty = (0, Vec::new());
    let versions = chain.iter().map(|step| {
        let table = open_table();
        table.install(whole(step, step)).expect("a sound version");
        let view = View::of(&table.snapshot());
        assert_eq!(view.items, items(&step.state));
        (view.version, view.items)
    });
    versions.chain([empty]).collect()
}

/// Returns the routes and pools of a state as views write them.
fn items(state: &State) -> Vec<String> {
    let items = state.items().filter_map(|(_, hashed)| match &hashed.item {
        model::Item::Service(_) => None,
        model::Item::Pool(pool) => serde_json::to_string(pool).ok(),
        model::Item::Route(route) => serde_json::to_string(route).ok(),
    });
    let mut items: Vec<String> = items.collect();
    items.sort();
    items
}

/// Tells a table everything from two threads while a reader looks; returns what was seen.
fn observe(chain: &[Step], told: &[Vec<Told>; 2]) -> History {
    let table = open_table();
    let mut history = History {
        versions: expected(chain),
        ..History::default()
    };
    thread::scope(|scope| {
        let writers: Vec<_> = told
            .iter()
            .map(|told| {
                let table = &table;
                scope.spawn(move || told.iter().for_each(|told| tell(table, chain, told)))
            })
            .collect();
        while !writers.iter().all(|writer| writer.is_finished()) {
            see(&table, &mut history);
        }
    });
    see(&table, &mut history);
    history
}

fn see(table: &Table, history: &mut History) {
    let view = View::of(&table.snapshot());
    history.forced.push(InForce {
        vm: "own".into(),
        version: view.version,
    });
    if history.views.last() != Some(&view) {
        history.views.push(view);
    }
}

/// Tells a table everything, one after the other, and returns what was seen after each.
fn observe_in_order(chain: &[Step], told: &[Told]) -> History {
    let table = open_table();
    let mut history = History {
        versions: expected(chain),
        ..History::default()
    };
    for told in told {
        tell(&table, chain, told);
        see(&table, &mut history);
    }
    history
}

/// A record of one VM; its content is a function of its writer's place in time, as with one writer.
fn written(vm: u8, incarnation: u64, counter: u64, expired: bool) -> Record {
    let mut record = record(&format!("vm-{vm}"), incarnation, counter, "red");
    record.state = match (incarnation + counter) % 3 {
        0 => UpstreamState::Ready,
        1 => UpstreamState::Draining,
        _ => UpstreamState::Left,
    };
    record.expired = expired;
    record
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let record = (0..3_u8, 1..4_u64, 0..4_u64, any::<bool>())
        .prop_map(|(vm, incarnation, counter, expired)| written(vm, incarnation, counter, expired));
    proptest::collection::vec(record, 0..12)
}

fn merged(batches: &[&[Record]]) -> Vec<Record> {
    let members = Members::open(record("own", 1, 0, "red"));
    for batch in batches {
        members.merge(batch.to_vec(), LinkId(1));
    }
    members.all()
}

/// Merges by counter alone, as a table without incarnations would.
fn merged_without_incarnation(batches: &[&[Record]]) -> Vec<Record> {
    let mut all: BTreeMap<_, Record> = BTreeMap::new();
    for record in batches.iter().copied().flatten() {
        let old = all.get(&record.vm);
        if old.is_none_or(|old| (record.counter, record.expired) > (old.counter, old.expired)) {
            all.insert(record.vm.clone(), record.clone());
        }
    }
    all.into_values().collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_never_moves_back_or_mixes_under_concurrent_writers(
        one in proptest::collection::vec(told(), 0..24),
        two in proptest::collection::vec(told(), 0..24),
    ) {
        let chain = block_on(two_teams(LENGTH));
        let history = observe(&chain, &[one, two]);
        prop_assert_eq!(check(&history), []);
    }

    #[test]
    fn table_never_moves_back_or_mixes_in_any_order(
        told in proptest::collection::vec(told(), 0..32),
    ) {
        let chain = block_on(two_teams(LENGTH));
        let history = observe_in_order(&chain, &told);
        prop_assert_eq!(check(&history), []);
    }

    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        a in records(), b in records(), c in records(),
    ) {
        let expected = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b]), &expected);
        prop_assert_eq!(&merged(&[&b, &c, &b, &a, &a]), &expected);
        let at_once: Vec<Record> = [c, b, a].concat();
        prop_assert_eq!(&merged(&[&at_once]), &expected);
    }

    #[test]
    fn later_start_wins_the_merge(records in records()) {
        let all = merged(&[&records]);
        for record in &records {
            let kept = all.iter().find(|kept| kept.vm == record.vm);
            let kept = kept.expect("every VM is kept");
            prop_assert!(kept.incarnation >= record.incarnation);
        }
    }

    #[test]
    fn own_record_outlives_rumours(counter in 0..100_u64, expired in any::<bool>()) {
        let members = Members::open(record("own", 7, 3, "red"));
        let mut rumour = record("own", 7, counter, "red");
        rumour.state = UpstreamState::Left;
        rumour.expired = expired;
        members.merge(vec![rumour.clone()], LinkId(1));
        let own = members.own();
        prop_assert!(own.state == UpstreamState::Ready && !own.expired);
        prop_assert!(own.order(&rumour).is_gt() || own.order(&rumour).is_eq());
    }

    #[test]
    fn root_depends_on_the_items_alone(
        steps in proptest::collection::vec((0..3_usize, proptest::option::of(0..5_u64)), 0..20),
    ) {
        let teams = ["red", "blue", "green"];
        let mut state = State::empty();
        let mut model: BTreeMap<model::Key, model::Item> = BTreeMap::new();
        for (team, stamp) in steps {
            for item in config(teams[team], stamp.unwrap_or_default()).items() {
                let key = item.key();
                match stamp {
                    Some(_) => model.insert(key.clone(), item.clone()),
                    None => model.remove(&key),
                };
                state.set(&key, stamp.map(|_| Arc::new(HashedItem::new(item))));
            }
        }
        let fresh = State::from_items(model.values().cloned());
        prop_assert_eq!(state.root(), fresh.root());
        prop_assert_eq!(state.len(), model.len());
        if let Some((key, _)) = model.iter().next() {
            state.set(key, None);
            prop_assert_ne!(state.root(), fresh.root());
        }
    }

    #[test]
    fn accepts_make_the_state_that_their_teams_last_printed(
        asks in proptest::collection::vec((0..2_usize, 0..4_u64, proptest::option::of(0..6_u64)), 1..14),
    ) {
        let teams = ["red", "blue"];
        block_on(async {
            let ledger = Ledger::open(Arc::new(Kv::open()));
            let mut stamps: BTreeMap<&str, u64> = BTreeMap::new();
            // Version after which each team's part last changed.
            let mut changed: BTreeMap<&str, u64> = BTreeMap::new();
            let mut head = 0;
            for (i, (team, stamp, parent)) in asks.into_iter().enumerate() {
                let team = teams[team];
                let mut config = config(team, stamp);
                config.parent = parent.map(Version::new);
                let answer = accept(&ledger, config, &format!("id-{i}")).await;
                let parent = parent.unwrap_or(head);
                if parent > head {
                    assert!(matches!(answer, Err(Error::NoVersion(_))), "{answer:?}");
                } else if changed.get(team).is_some_and(|last| *last > parent) {
                    assert!(matches!(answer, Err(Error::Conflict { .. })), "{answer:?}");
                } else {
                    let same = stamps.insert(team, stamp) == Some(stamp);
                    if !same {
                        head += 1;
                        changed.insert(team, head);
                    }
                    let accepted = answer.expect("accepted");
                    assert_eq!(accepted.version.get(), head);
                    assert_eq!(accepted.keys.is_empty(), same);
                }
            }
            let items = stamps.iter().flat_map(|(team, stamp)| config(team, *stamp).items().collect::<Vec<_>>());
            let read = ledger.head().await.expect("a head");
            assert_eq!(read.version.get(), head);
            assert_eq!(read.state.root(), State::from_items(items).root());
        });
    }
}

#[test]
fn merge_without_incarnation_depends_on_the_order() {
    // The VM came back and wrote its first record; its old daemon's last one has a higher counter.
    let old = [written(0, 1, 3, false)];
    let new = [written(0, 2, 0, false)];
    let expected = Incarnation::new(2);
    let kept = |all: &[Record]| all.iter().find(|kept| kept.vm == old[0].vm).cloned();
    let sound = kept(&merged(&[&new, &old])).expect("kept");
    assert_eq!(sound.incarnation, expected);
    let broken = kept(&merged_without_incarnation(&[&new, &old])).expect("kept");
    assert_ne!(broken.incarnation, expected);
}

#[test]
fn table_that_keeps_no_floor_is_reported() {
    let chain = block_on(two_teams(LENGTH));
    let mut history = History::default();
    let mut restart = |step: &Step| {
        let table = open_table();
        let applied = table.install(whole(step, step)).expect("a sound version");
        assert_eq!(applied, Applied::Installed(version(step)));
        see(&table, &mut history);
    };
    restart(&chain[5]);
    restart(&chain[3]);
    history.views.clear();
    let rules: Vec<Rule> = check(&history).iter().map(|found| found.rule).collect();
    assert_eq!(rules, [Rule::VersionsNeverFall]);
}
