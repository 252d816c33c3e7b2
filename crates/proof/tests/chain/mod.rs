//! Chains of accepted versions, created by a real ledger on an in-memory store.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::sync::Arc;

use ledger::{Accepted, Error, Ledger, Request};
use model::{Change, Config, Incarnation, State, Version, parse};
use proof::render_config;
use standin::Kv;
use store::Store;

/// Returns the parsed configuration of `team` with `stamp`.
pub(crate) fn config(team: &str, stamp: u64) -> Config {
    let text = render_config(team, stamp).expect("a valid plan");
    parse(text.as_bytes()).expect("a valid configuration")
}

/// Accepts `config` with the accept id `id`.
pub(crate) async fn accept(ledger: &Ledger, config: Config, id: &str) -> Result<Accepted, Error> {
    let request = Request {
        config,
        accept_id: id.parse().expect("a valid id"),
        operator: "proof".parse().expect("a valid name"),
        reason: "proof".into(),
    };
    ledger.accept(&request).await
}

/// One version of a chain.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    /// Change that created the version.
    pub(crate) change: Arc<Change>,
    /// Complete state of the version.
    pub(crate) state: State,
}

/// Returns a chain with one version for each team and stamp.
pub(crate) async fn chain(accepts: &[(&str, u64)]) -> Vec<Step> {
    let store: Arc<dyn Store> = Arc::new(Kv::open());
    let ledger = Ledger::open(store);
    for (i, (team, stamp)) in accepts.iter().enumerate() {
        let accepted = accept(&ledger, config(team, *stamp), &format!("id-{i}")).await;
        accepted.expect("accepted");
    }
    let mut changes = ledger.log(None, accepts.len()).await.expect("a chain");
    changes.reverse();
    let mut steps = Vec::new();
    for change in changes {
        let state = ledger.at(change.version).await.expect("a version");
        steps.push(Step { change, state });
    }
    steps
}

/// Returns a chain of `length` versions that alternate between two teams.
pub(crate) async fn two_teams(length: u64) -> Vec<Step> {
    let accepts = (0..length).map(|i| (["red", "blue"][i as usize % 2], i));
    chain(&accepts.collect::<Vec<_>>()).await
}

/// Returns the version of `step`.
pub(crate) fn version(step: &Step) -> Version {
    step.change.version
}

/// Returns the membership record of an upstream of `team` on `vm`.
pub(crate) fn record(vm: &str, incarnation: u64, counter: u64, team: &str) -> member::Record {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    member::Record {
        vm: vm.parse().expect("a valid id"),
        incarnation: Incarnation::new(incarnation),
        counter,
        state: member::UpstreamState::Ready,
        service: Some(proof::service_of(team).parse().expect("a valid name")),
        gate: address,
        fleet: address,
        domain: "a".parse().expect("a valid name"),
        region: "proof".parse().expect("a valid name"),
        slots: 12,
        link: None,
        expired: false,
        ended: None,
        crashes: Vec::new(),
        departures: Default::default(),
    }
}
