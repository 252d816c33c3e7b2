//! Access control: what is refused to operators of other teams, to clients without a valid token,
//! and to processes without the fleet's key.

mod common;

use std::time::Duration;

use admin::{Client, ClientError, ErrorKind};
use bytes::Bytes;
use common::{BLUE, KEY, RED, client, config, log, spawn};
use daemon::Daemon;
use harness::{Caller, wait_until};
use http::Method;
use model::{AcceptId, Secret, Version};
use standin::{Kv, Upstream, UpstreamSettings};
use tokio::net::TcpListener;
use wire::fleet::fleet_client::FleetClient;
use wire::fleet::{CompareRequest, DrainRequest};

/// Time limit for a condition that must become true.
const LIMIT: Duration = Duration::from_secs(30);

fn id(text: &str) -> AcceptId {
    text.parse().expect("an id")
}

/// Returns the kind of the error that a refused call returned.
fn kind<T: std::fmt::Debug>(result: Result<T, ClientError>) -> ErrorKind {
    match result.expect_err("refused") {
        ClientError::Refused(error) => error.kind,
        error => panic!("{error}"),
    }
}

/// Accepts the configurations of both teams and returns the head.
async fn accept_both(daemon: &Daemon) -> Version {
    let red = client(daemon, RED);
    red.accept(config("red", "1s").into(), &id("r1"), "")
        .await
        .expect("accepted");
    let blue = client(daemon, BLUE);
    let accepted = blue
        .accept(config("blue", "1s").into(), &id("b1"), "")
        .await;
    accepted.expect("accepted").version
}

#[tokio::test]
async fn unauthorized_accept_creates_no_version() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let head = accept_both(&daemon).await;
    let admin = daemon.addresses().admin;
    let changed = || config("red", "2s").into_bytes();

    let anonymous = Client::open(admin, None);
    let refused = anonymous.accept(changed(), &id("x1"), "").await;
    assert_eq!(kind(refused), ErrorKind::Unauthenticated);

    let wrong = Client::open(admin, Some(Secret::new("guess")));
    let refused = wrong.accept(changed(), &id("x2"), "").await;
    assert_eq!(kind(refused), ErrorKind::Unauthenticated);
    let empty = Client::open(admin, Some(Secret::new("")));
    let refused = empty.accept(changed(), &id("x3"), "").await;
    assert_eq!(kind(refused), ErrorKind::Unauthenticated);

    // Items of another team, listed under that team.
    let blue = client(&daemon, BLUE);
    let refused = blue.accept(changed(), &id("x4"), "").await;
    assert_eq!(kind(refused), ErrorKind::Forbidden);

    // Items of another team, claimed for the operator's team.
    let moved = config("red", "2s").replace("\"team\": \"red\"", "\"team\": \"blue\"");
    let moved = moved.replace("\"teams\": [\"red\"]", "\"teams\": [\"blue\"]");
    let refused = blue.accept(moved.into(), &id("x5"), "").await;
    assert_eq!(kind(refused), ErrorKind::Invalid);

    // Items of another team, in a configuration that lists only the operator's team.
    let hidden = config("red", "2s").replace("\"teams\": [\"red\"]", "\"teams\": [\"blue\"]");
    let refused = blue.accept(hidden.into(), &id("x6"), "").await;
    assert_eq!(kind(refused), ErrorKind::Invalid);

    // Both teams in one configuration.
    let both = config("red", "2s").replace("[\"red\"]", "[\"blue\", \"red\"]");
    let refused = blue.accept(both.into(), &id("x7"), "").await;
    assert_eq!(kind(refused), ErrorKind::Forbidden);

    let log = blue.log(10).await.expect("a log");
    assert_eq!(log[0].version, head);
    assert_eq!(log.len(), 2);
    daemon.stop().await;
}

#[tokio::test]
async fn unauthorized_rollback_creates_no_version() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let first = accept_both(&daemon).await;
    let red = client(&daemon, RED);
    let blue = client(&daemon, BLUE);
    red.accept(config("red", "2s").into(), &id("r2"), "")
        .await
        .expect("accepted");
    blue.accept(config("blue", "2s").into(), &id("b2"), "")
        .await
        .expect("accepted");

    let refused = blue.rollback(first, &id("x1"), "", None).await;
    assert_eq!(kind(refused), ErrorKind::Forbidden);
    let team = "red".parse().expect("a name");
    let refused = blue.rollback(first, &id("x2"), "", Some(&team)).await;
    assert_eq!(kind(refused), ErrorKind::Forbidden);
    let anonymous = Client::open(daemon.addresses().admin, None);
    let refused = anonymous.rollback(first, &id("x3"), "", None).await;
    assert_eq!(kind(refused), ErrorKind::Unauthenticated);
    assert_eq!(blue.log(10).await.expect("a log").len(), 4);

    // Only the items of the operator's team are rolled back, as a new version.
    let team = "blue".parse().expect("a name");
    let back = blue
        .rollback(first, &id("b3"), "", Some(&team))
        .await
        .expect("accepted");
    assert_eq!(back.version.get(), first.get() + 3);
    let again = blue.rollback(first, &id("b3"), "", Some(&team)).await;
    assert_eq!(again.expect("settled"), back);
    let again = blue.rollback(first, &id("b3"), "", None).await;
    assert_eq!(again.expect("settled"), back);
    let diff = blue.diff(first, back.version).await.expect("a difference");
    let keys: Vec<String> = diff
        .changes
        .iter()
        .map(|change| change.key.to_string())
        .collect();
    assert_eq!(keys, ["route/red"]);
    daemon.stop().await;
}

#[tokio::test]
async fn drain_requires_a_token_of_the_upstreams_team_and_is_logged() {
    let (log, output) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    accept_both(&daemon).await;
    let vm = "a-1".parse().expect("an id");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let control = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let settings = UpstreamSettings {
        vm: "a-1".parse().expect("an id"),
        service: "red".parse().expect("a name"),
        daemon: daemon.addresses().announce,
        slots: 12,
        connections: 130,
    };
    let _upstream = Upstream::spawn(settings, listener, control).expect("started");
    wait_until("the announcement", LIMIT, async || {
        let snapshot = daemon.table().snapshot();
        snapshot
            .pools()
            .iter()
            .any(|pool| !pool.upstreams.is_empty())
    })
    .await
    .expect("announced");

    let anonymous = Client::open(daemon.addresses().admin, None);
    assert_eq!(kind(anonymous.drain(&vm).await), ErrorKind::Unauthenticated);
    assert_eq!(
        kind(client(&daemon, BLUE).drain(&vm).await),
        ErrorKind::Forbidden
    );
    assert!(!output.text().contains("drain asked for"));

    client(&daemon, RED).drain(&vm).await.expect("drains");
    let text = output.text();
    let line = text
        .lines()
        .find(|line| line.contains("drain asked for"))
        .expect("logged");
    assert!(
        line.contains("\"ruby\"") && line.contains("\"a-1\""),
        "{line}"
    );
    daemon.stop().await;
}

#[tokio::test]
async fn fleet_port_and_gate_refuse_a_process_without_the_key() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let addresses = daemon.addresses();
    let endpoint = format!("http://{}", addresses.fleet);
    let endpoint = tonic::transport::Endpoint::from_shared(endpoint).expect("an address");
    let mut fleet = FleetClient::new(endpoint.connect().await.expect("connected"));
    let refused = fleet
        .compare(CompareRequest::default())
        .await
        .expect_err("refused");
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    for key in ["Bearer ", "Bearer wrong", KEY] {
        let mut request = tonic::Request::new(DrainRequest { vm: "a-1".into() });
        let value = key.parse().expect("a value");
        request.metadata_mut().insert("authorization", value);
        let refused = fleet.drain(request).await.expect_err("refused");
        assert_eq!(refused.code(), tonic::Code::Unauthenticated);
        assert!(!refused.message().contains(KEY));
    }

    let caller = Caller::default();
    for headers in [
        vec![],
        vec![("sardinestall-fleet-key", "")],
        vec![("sardinestall-fleet-key", "wrong")],
    ] {
        let response = caller
            .call(
                addresses.gate,
                Method::GET,
                "red.example",
                "/",
                &headers,
                Bytes::new(),
            )
            .await
            .expect("a response");
        assert_eq!(response.status.as_u16(), 403, "{response:?}");
        assert_eq!(response.outcome(), Some("not-run"));
    }
    daemon.stop().await;
}

#[tokio::test]
async fn secrets_appear_in_no_log_response_error_or_debug_output() {
    let (log, output) = log();
    let kv = Kv::open();
    let daemon = spawn("a-1", &kv, &log).await;
    let other = spawn("a-2", &kv, &log).await;
    accept_both(&daemon).await;
    let red = client(&daemon, RED);
    let mut texts = vec![format!("{:?}", common::settings("a-1")), format!("{red:?}")];
    texts.push(format!("{daemon:?} {other:?}"));
    let refused = red.accept(config("blue", "2s").into(), &id("x"), "").await;
    let refused = refused.expect_err("refused");
    texts.push(format!("{refused} {refused:?}"));
    texts.push(format!("{:?}", red.show(None).await));
    texts.push(format!("{:?}", red.log(10).await));
    texts.push(format!("{:?}", red.status().await));
    for path in [
        "/v1/versions/head",
        "/v1/log",
        "/v1/status",
        "/metrics",
        "/nothing",
    ] {
        let response = Caller::default()
            .get(daemon.addresses().admin, "admin", path)
            .await;
        let response = response.expect("a response");
        texts.push(format!("{:?}", response.headers));
        texts.push(String::from_utf8_lossy(&response.body).into_owned());
    }
    other.stop().await;
    daemon.stop().await;
    texts.push(output.text());
    for text in texts {
        for secret in [KEY, RED, BLUE] {
            assert!(!text.contains(secret), "{secret} in {text}");
        }
    }
}
