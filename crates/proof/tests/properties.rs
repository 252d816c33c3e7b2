//! Property tests of the decision crates through their public interfaces.

mod chain;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;

use chain::{Step, accept, config, record, two_teams, version};
use ledger::{Error, Ledger};
use member::{LinkId, Members, Record, UpstreamState};
use model::{HashedItem, Incarnation, State, Version};
use proof::{Activation, History, Rule, SnapshotView, check};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use standin::Kv;
use table::{Applied, FullVersion, Table};

/// Number of versions in each chain.
const CHAIN_LENGTH: u64 = 8;

/// Runs `future` to completion, with the clock paused.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}

/// Input of a daemon's table.
#[derive(Debug, Clone)]
enum Input {
    /// Changes from one version to another, both inclusive.
    Changes(usize, usize),
    /// Complete version.
    Full(usize),
    /// State of one version with the change of another.
    Mixed(usize, usize),
    /// Membership record of an upstream.
    Record(u64, bool),
}

fn input() -> impl Strategy<Value = Input> {
    let index = || 0..CHAIN_LENGTH as usize;
    prop_oneof![
        4 => (index(), index()).prop_map(|(a, b)| Input::Changes(a.min(b), a.max(b))),
        2 => index().prop_map(Input::Full),
        1 => (index(), index()).prop_map(|(a, b)| Input::Mixed(a, b)),
        1 => (0..4_u64, any::<bool>()).prop_map(|(vm, red)| Input::Record(vm, red)),
    ]
}

fn full_version(change: &Step, state: &Step) -> FullVersion {
    FullVersion {
        change: Arc::from(change.change.to_bytes()),
        state: state.state.clone(),
    }
}

fn apply(table: &Table, chain: &[Step], input: &Input) {
    // A refused input must leave the table unchanged; the recorded snapshots show whether it does.
    match input {
        Input::Changes(from, to) => {
            let changes = chain[*from..=*to].iter();
            let bytes: Vec<_> = changes.map(|step| step.change.to_bytes()).collect();
            let _ = table.apply(&bytes);
        }
        Input::Full(index) => {
            let _ = table.install(full_version(&chain[*index], &chain[*index]));
        }
        Input::Mixed(change, state) => {
            let _ = table.install(full_version(&chain[*change], &chain[*state]));
        }
        Input::Record(vm, red) => {
            let team = if *red { "red" } else { "blue" };
            let record = record(&format!("vm-{vm}"), 1, *vm, team);
            table.merge(vec![record], LinkId(1));
        }
    }
}

fn open_table() -> Table {
    Table::open(Arc::new(Members::open(record("own", 1, 0, "red"))))
}

/// Returns the items that a snapshot of each version must contain.
fn expected(chain: &[Step]) -> BTreeMap<u64, Vec<String>> {
    let empty = (0, Vec::new());
    let versions = chain.iter().map(|step| {
        let table = open_table();
        table
            .install(full_version(step, step))
            .expect("a sound version");
        let view = SnapshotView::of(&table.snapshot());
        assert_eq!(view.items, items(&step.state));
        (view.version, view.items)
    });
    versions.chain([empty]).collect()
}

/// Returns the routes and pools of `state` in the form of [`SnapshotView::items`].
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

/// Applies inputs to a table from two threads while a reader records its snapshots.
fn observe_concurrently(chain: &[Step], inputs: &[Vec<Input>; 2]) -> History {
    let table = open_table();
    let mut history = History {
        version_items: expected(chain),
        ..History::default()
    };
    thread::scope(|scope| {
        let writers: Vec<_> = inputs
            .iter()
            .map(|inputs| {
                let table = &table;
                scope.spawn(move || inputs.iter().for_each(|input| apply(table, chain, input)))
            })
            .collect();
        while !writers.iter().all(|writer| writer.is_finished()) {
            record_snapshot(&table, &mut history);
        }
    });
    record_snapshot(&table, &mut history);
    history
}

fn record_snapshot(table: &Table, history: &mut History) {
    let view = SnapshotView::of(&table.snapshot());
    history.activations.push(Activation {
        vm: "own".into(),
        version: view.version,
    });
    if history.snapshots.last() != Some(&view) {
        history.snapshots.push(view);
    }
}

/// Applies inputs to a table one after the other and records the snapshot after each.
fn observe_in_order(chain: &[Step], inputs: &[Input]) -> History {
    let table = open_table();
    let mut history = History {
        version_items: expected(chain),
        ..History::default()
    };
    for input in inputs {
        apply(&table, chain, input);
        record_snapshot(&table, &mut history);
    }
    history
}

/// Returns a record of one VM. Its state is derived from incarnation and counter, because a record
/// has a single writer that never writes two different records with the same order.
fn record_of(vm: u8, incarnation: u64, counter: u64, expired: bool) -> Record {
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
    let record = (0..3_u8, 1..4_u64, 0..4_u64, any::<bool>()).prop_map(
        |(vm, incarnation, counter, expired)| record_of(vm, incarnation, counter, expired),
    );
    proptest::collection::vec(record, 0..12)
}

fn merged(batches: &[&[Record]]) -> Vec<Record> {
    let members = Members::open(record("own", 1, 0, "red"));
    for batch in batches {
        members.merge(batch.to_vec(), LinkId(1));
    }
    members.all()
}

/// Merges records by counter alone, like a member table without incarnations.
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
    fn table_never_reverts_or_mixes_versions_with_concurrent_writers(
        one in proptest::collection::vec(input(), 0..24),
        two in proptest::collection::vec(input(), 0..24),
    ) {
        let chain = block_on(two_teams(CHAIN_LENGTH));
        let history = observe_concurrently(&chain, &[one, two]);
        prop_assert_eq!(check(&history), []);
    }

    #[test]
    fn table_never_reverts_or_mixes_versions_in_any_order(
        inputs in proptest::collection::vec(input(), 0..32),
    ) {
        let chain = block_on(two_teams(CHAIN_LENGTH));
        let history = observe_in_order(&chain, &inputs);
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
    fn later_incarnation_wins_the_merge(records in records()) {
        let all = merged(&[&records]);
        for record in &records {
            let kept = all.iter().find(|kept| kept.vm == record.vm);
            let kept = kept.expect("every VM is kept");
            prop_assert!(kept.incarnation >= record.incarnation);
        }
    }

    #[test]
    fn local_record_overrides_received_records(counter in 0..100_u64, expired in any::<bool>()) {
        let members = Members::open(record("own", 7, 3, "red"));
        let mut received = record("own", 7, counter, "red");
        received.state = UpstreamState::Left;
        received.expired = expired;
        members.merge(vec![received.clone()], LinkId(1));
        let own = members.own();
        prop_assert!(own.state == UpstreamState::Ready && !own.expired);
        prop_assert!(own.order(&received).is_gt() || own.order(&received).is_eq());
    }

    #[test]
    fn root_depends_only_on_the_items(
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
    fn state_holds_the_last_accepted_configuration_of_each_team(
        accepts in proptest::collection::vec((0..2_usize, 0..4_u64, proptest::option::of(0..6_u64)), 1..14),
    ) {
        let teams = ["red", "blue"];
        block_on(async {
            let ledger = Ledger::open(Arc::new(Kv::open()));
            let mut stamps: BTreeMap<&str, u64> = BTreeMap::new();
            // Version that last changed the part of each team.
            let mut changed: BTreeMap<&str, u64> = BTreeMap::new();
            let mut head = 0;
            for (i, (team, stamp, parent)) in accepts.into_iter().enumerate() {
                let team = teams[team];
                let mut config = config(team, stamp);
                config.parent = parent.map(Version::new);
                let response = accept(&ledger, config, &format!("id-{i}")).await;
                let parent = parent.unwrap_or(head);
                if parent > head {
                    assert!(matches!(response, Err(Error::NoVersion(_))), "{response:?}");
                } else if changed.get(team).is_some_and(|last| *last > parent) {
                    assert!(matches!(response, Err(Error::Conflict { .. })), "{response:?}");
                } else {
                    let same = stamps.insert(team, stamp) == Some(stamp);
                    if !same {
                        head += 1;
                        changed.insert(team, head);
                    }
                    let accepted = response.expect("accepted");
                    assert_eq!(accepted.version.get(), head);
                    assert_eq!(accepted.keys.is_empty(), same);
                }
            }
            let items = stamps.iter().flat_map(|(team, stamp)| config(team, *stamp).items().collect::<Vec<_>>());
            let latest = ledger.head().await.expect("a head");
            assert_eq!(latest.version.get(), head);
            assert_eq!(latest.state.root(), State::from_items(items).root());
        });
    }
}

#[test]
fn merge_without_incarnation_depends_on_the_order() {
    // The VM restarted and wrote its first record; the last record of the old daemon has a higher
    // counter.
    let old = [record_of(0, 1, 3, false)];
    let new = [record_of(0, 2, 0, false)];
    let expected = Incarnation::new(2);
    let kept = |all: &[Record]| all.iter().find(|kept| kept.vm == old[0].vm).cloned();
    let sound = kept(&merged(&[&new, &old])).expect("kept");
    assert_eq!(sound.incarnation, expected);
    let broken = kept(&merged_without_incarnation(&[&new, &old])).expect("kept");
    assert_ne!(broken.incarnation, expected);
}

#[test]
fn table_without_version_floor_is_reported() {
    let chain = block_on(two_teams(CHAIN_LENGTH));
    let mut history = History::default();
    let mut restart = |step: &Step| {
        let table = open_table();
        let applied = table
            .install(full_version(step, step))
            .expect("a sound version");
        assert_eq!(applied, Applied::Installed(version(step)));
        record_snapshot(&table, &mut history);
    };
    restart(&chain[5]);
    restart(&chain[3]);
    history.snapshots.clear();
    let rules: Vec<Rule> = check(&history).iter().map(|found| found.rule).collect();
    assert_eq!(rules, [Rule::VersionsNeverFall]);
}
