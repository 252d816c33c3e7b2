//! Tests of the commands on a fleet of separate processes, during configuration changes and faults.

mod common;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use harness::{Caller, Fleet, TOKEN, VmSpec, wait_until};
use http::Method;
use model::Version;
use serde_json::Value;
use standin::Faults;
use tempfile::TempDir;
use tokio::task::JoinSet;

/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Host of the example configuration.
const HOST: &str = "redakce.brno.example";

/// VMs of the fleet: id, failure domain and service of the upstream.
const VMS: &[(&str, &str, &str)] = &[
    ("a-1", "morava-a", "proofdesk"),
    ("a-2", "morava-a", "decisions"),
    ("b-1", "morava-b", "proofdesk"),
    ("b-2", "morava-b", "decisions"),
];

/// Number of configuration changes accepted while calls run.
const CHANGES: u64 = 8;

/// Number of callers at each daemon.
const CALLERS_PER_DAEMON: usize = 2;

/// Returns the example configuration with a timeout of `timeout_s` on the proofs route.
fn config(timeout_s: u64) -> String {
    let plan = plan::brno().expect("valid");
    let printed = plan.to_json().expect("JSON");
    let changed = format!("\"timeout\": \"{timeout_s}s\"");
    printed.replacen("\"timeout\": \"5s\"", &changed, 1)
}

/// Starts a fleet of `vms` without a configuration.
async fn start_fleet(vms: &[(&str, &str, &str)]) -> Fleet {
    let mut fleet = Fleet::open(&["redakce"]).await.expect("a store");
    for (vm, domain, service) in vms {
        let spec = VmSpec::new(vm, domain, "cz-morava");
        let daemon = fleet.start_daemon(spec).await.expect("a daemon");
        fleet
            .start_upstream(daemon, service)
            .await
            .expect("an upstream");
    }
    fleet
}

/// Runs a command against the daemon with the index `daemon`, with the operator's token in a file.
fn run(fleet: &Fleet, daemon: usize, args: &[&str], input: &str) -> std::process::Output {
    let dir = TempDir::new().expect("a directory");
    let token = dir.path().join("token");
    fs::write(&token, format!("{TOKEN}\n")).expect("written");
    let token = token.display().to_string();
    let admin = fleet.daemons[daemon].admin.to_string();
    let mut all = args.to_vec();
    all.extend(["--admin", &admin, "--token-file", &token]);
    common::run(&all, input)
}

/// Sends a GET and a POST, checks that both succeed, and returns the number of calls.
async fn call_both_routes(caller: &Caller, daemon: std::net::SocketAddr, round: usize) -> usize {
    let proof = format!("/proofs/{round}");
    let notice = format!("/notices/{round}");
    for (method, path) in [(Method::GET, &proof), (Method::POST, &notice)] {
        let response = caller
            .call(daemon, method, HOST, path, &[], Bytes::from_static(b"text"))
            .await
            .expect("a complete response");
        assert!(response.status.is_success(), "{path}: {response:?}");
        let body: Value = serde_json::from_slice(&response.body).expect("a JSON body");
        assert_eq!(body["path"], path.as_str());
    }
    2
}

/// Guards against calls that are lost or executed twice while daemons install a new configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_reach_every_daemon_and_lose_no_call() {
    let fleet = start_fleet(VMS).await;
    let first = fleet
        .accept(0, &config(5), &"accept-1".parse().expect("an id"))
        .await;
    let first = first.expect("accepted").version;
    fleet
        .wait_serving(first, WAIT_LIMIT)
        .await
        .expect("in force");
    let caller = Caller::default();
    for daemon in &fleet.daemons {
        for path in ["/proofs/0", "/notices/0"] {
            wait_until("every route is served", WAIT_LIMIT, async || {
                let response = caller.get(daemon.caller, HOST, path).await;
                response.is_ok_and(|response| response.status.is_success())
            })
            .await
            .expect("the route is served");
        }
    }
    let mut ran_before = 0;
    for upstream in &fleet.upstreams {
        ran_before += upstream.control.runs().await.expect("runs").len();
    }

    let stop = Arc::new(AtomicBool::new(false));
    let mut calls = JoinSet::new();
    for daemon in &fleet.daemons {
        for _ in 0..CALLERS_PER_DAEMON {
            let (address, stop) = (daemon.caller, Arc::clone(&stop));
            calls.spawn(async move {
                let caller = Caller::default();
                let mut completed = 0;
                while !stop.load(Ordering::Relaxed) {
                    completed += call_both_routes(&caller, address, completed).await;
                }
                completed
            });
        }
    }
    let mut version = first;
    for change in 1..=CHANGES {
        // Each change is sent to a different daemon.
        let daemon = change as usize % fleet.daemons.len();
        let args = ["accept", "-", "--reason", "a change", "--wait", "--json"];
        let output = run(&fleet, daemon, &args, &config(5 + change));
        assert_eq!(output.status.code(), Some(0), "{}", common::stderr(&output));
        let accepted: Value = serde_json::from_str(&common::stdout(&output)).expect("JSON");
        assert_eq!(accepted["version"], first.get() + change);
        version = Version::new(first.get() + change);
        fleet
            .wait_serving(version, WAIT_LIMIT)
            .await
            .expect("in force");
    }
    stop.store(true, Ordering::Relaxed);
    let mut completed = 0;
    while let Some(count) = calls.join_next().await {
        // The task of a lost call panics.
        completed += count.expect("no call was lost");
    }
    assert!(completed > 0);
    let mut ran = 0;
    for upstream in &fleet.upstreams {
        ran += upstream.control.runs().await.expect("runs").len();
    }
    assert_eq!(
        ran - ran_before,
        completed,
        "each call is executed exactly once"
    );
    let log = run(&fleet, 0, &["log", "--json"], "");
    let log: Value = serde_json::from_str(&common::stdout(&log)).expect("JSON");
    assert_eq!(log[0]["version"], version.get());
    assert_eq!(log.as_array().map(Vec::len), Some(1 + CHANGES as usize));
}

#[tokio::test]
async fn invalid_configuration_is_refused_and_changes_nothing() {
    let fleet = start_fleet(&VMS[..1]).await;
    let accepted = run(&fleet, 0, &["accept", "-", "--wait"], &config(5));
    assert_eq!(
        accepted.status.code(),
        Some(0),
        "{}",
        common::stderr(&accepted)
    );
    let log_and_head = || {
        let log = common::stdout(&run(&fleet, 0, &["log"], ""));
        let show = common::stdout(&run(&fleet, 0, &["show"], ""));
        (log, show)
    };
    let before = log_and_head();
    let broken = config(6)
        .replace("\"pool\": \"proofs\"", "\"pool\": \"gone\"")
        .replace("\"/galleys\"", "\"galleys\"");
    let refused = run(&fleet, 0, &["accept", "-"], &broken);
    assert_eq!(refused.status.code(), Some(3));
    let error = common::stderr(&refused);
    for place in [
        "routes[0].to[0].pool: ",
        "routes[1].to[0].pool: ",
        "routes[3].path: ",
    ] {
        assert!(error.contains(place), "{error}");
    }
    assert_eq!(log_and_head(), before);
    let admin = fleet.daemons[0].admin.to_string();
    let again = common::run(&["check", "-", "--admin", &admin], &broken);
    assert_eq!(again.status.code(), Some(3));
    // The output of `show` is valid input of `accept` and makes no change.
    let same = run(&fleet, 0, &["accept", "-"], &before.1);
    assert_eq!(common::stdout(&same), "nothing differs from version 1\n");
}

/// Guards against `accept --wait` that reports success while a daemon does not serve the version.
#[tokio::test]
async fn accept_reports_a_frozen_daemon_as_lagging_and_exits_with_6() {
    let fleet = start_fleet(&VMS[..3]).await;
    let accepted = run(&fleet, 0, &["accept", "-", "--wait"], &config(5));
    assert_eq!(
        accepted.status.code(),
        Some(0),
        "{}",
        common::stderr(&accepted)
    );
    fleet.daemons[2].process.freeze().expect("frozen");
    let args = ["accept", "-", "--wait", "--wait-limit", "1ms"];
    let late = run(&fleet, 0, &args, &config(6));
    assert_eq!(late.status.code(), Some(6), "{}", common::stderr(&late));
    let error = common::stderr(&late);
    assert!(error.contains("version 2 is accepted but"), "{error}");
    assert!(error.contains("lagging: "), "{error}");
    fleet.daemons[2].process.thaw().expect("thawed");
    fleet
        .wait_serving(Version::new(2), WAIT_LIMIT)
        .await
        .expect("in force");
}

/// Guards against a repeated accept that makes a second version after the store's response to the
/// first was lost.
#[tokio::test]
async fn accept_repeated_with_its_id_after_lost_store_responses_is_accepted_once() {
    let fleet = start_fleet(&VMS[..1]).await;
    // The responses to the write of the change and to each retry of the head swap are lost.
    let faults = Faults {
        lose_answers: u32::MAX,
        ..Faults::default()
    };
    fleet.kv.control.set_faults(&faults).await.expect("set");
    let args = ["accept", "-", "--accept-id", "lost-1"];
    let lost = run(&fleet, 0, &args, &config(5));
    let error = common::stderr(&lost);
    fleet
        .kv
        .control
        .set_faults(&Faults::default())
        .await
        .expect("set");
    // A lost response to the write of the change leaves the head unmoved, so nothing is accepted; a
    // lost response to the swap of the head leaves the outcome unknown.
    assert!(matches!(lost.status.code(), Some(3 | 4)), "{error}");
    let repeated = run(&fleet, 0, &args, &config(5));
    assert_eq!(
        repeated.status.code(),
        Some(0),
        "{}",
        common::stderr(&repeated)
    );
    let again = run(&fleet, 0, &args, &config(5));
    assert_eq!(common::stdout(&again), common::stdout(&repeated));
    let log = run(&fleet, 0, &["log", "--json"], "");
    let log: Value = serde_json::from_str(&common::stdout(&log)).expect("JSON");
    assert_eq!(log.as_array().map(Vec::len), Some(1));
}

/// Guards against a daemon that cannot serve during a store outage although its peers have the
/// configuration.
#[tokio::test]
async fn daemon_started_during_a_store_outage_gets_the_version_from_its_seeds() {
    let mut fleet = start_fleet(&VMS[..1]).await;
    let accepted = run(&fleet, 0, &["accept", "-", "--wait"], &config(5));
    assert_eq!(
        accepted.status.code(),
        Some(0),
        "{}",
        common::stderr(&accepted)
    );
    let faults = Faults {
        down: true,
        ..Faults::default()
    };
    fleet.kv.control.set_faults(&faults).await.expect("set");

    let mut spec = VmSpec::new("b-1", "morava-b", "cz-morava");
    spec.fleet = format!("seeds = [\"{}\"]", fleet.daemons[0].fleet);
    fleet.start_daemon(spec).await.expect("a daemon");
    fleet
        .wait_serving(Version::new(1), WAIT_LIMIT)
        .await
        .expect("in force");

    let refused = run(&fleet, 1, &["accept", "-"], &config(6));
    assert_eq!(
        refused.status.code(),
        Some(3),
        "{}",
        common::stderr(&refused)
    );
    let status = run(&fleet, 1, &["status"], "");
    let status = common::stdout(&status);
    assert!(
        status.contains("head: unknown, the store is out"),
        "{status}"
    );
}
