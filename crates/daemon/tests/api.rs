//! The administration API over HTTP: errors, health, metrics, and the stop of the daemon.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use admin::ApiError;
use bytes::Bytes;
use common::{RED, client, config, log, spawn};
use harness::{Caller, Response, wait_until};
use http::{Method, StatusCode};
use model::Millis;
use standin::{Faults, Kv};

/// Time limit for a condition that must become true.
const LIMIT: Duration = Duration::from_secs(30);

/// Sends a request for `path` to the address `admin`, with the token of team `red`.
async fn call(admin: SocketAddr, method: Method, path: &str, body: Bytes) -> Response {
    let bearer = format!("Bearer {RED}");
    let headers = [("authorization", bearer.as_str())];
    let caller = Caller::default();
    let response = caller.call(admin, method, "admin", path, &headers, body);
    response.await.expect("a response")
}

#[tokio::test]
async fn every_error_is_json_with_a_kind_and_a_remedy() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let large = Bytes::from(vec![b' '; (16 << 20) + 1]);
    let none = Bytes::new();
    for (method, path, body, status, kind) in [
        (Method::GET, "/", &none, 404, "not_found"),
        (Method::GET, "/v1/nothing", &none, 404, "not_found"),
        (Method::GET, "/v1/accept", &none, 405, "method_not_allowed"),
        (Method::DELETE, "/v1/log", &none, 405, "method_not_allowed"),
        (Method::POST, "/v1/accept", &none, 400, "bad_request"),
        (
            Method::POST,
            "/v1/accept?accept_id=A!",
            &none,
            400,
            "bad_request",
        ),
        (
            Method::POST,
            "/v1/accept?accept_id=a",
            &none,
            422,
            "invalid",
        ),
        (
            Method::POST,
            "/v1/accept?accept_id=a",
            &large,
            413,
            "too_large",
        ),
        (Method::POST, "/v1/check", &large, 413, "too_large"),
        (
            Method::POST,
            "/v1/rollback/x?accept_id=a",
            &none,
            400,
            "bad_request",
        ),
        (
            Method::POST,
            "/v1/rollback/7?accept_id=a",
            &none,
            404,
            "not_found",
        ),
        (Method::GET, "/v1/versions/x", &none, 400, "bad_request"),
        (Method::GET, "/v1/versions/7", &none, 404, "not_found"),
        (Method::GET, "/v1/diff/1/x", &none, 400, "bad_request"),
        (Method::GET, "/v1/log?limit=x", &none, 400, "bad_request"),
        (Method::GET, "/v1/log?colour=red", &none, 400, "bad_request"),
        (
            Method::POST,
            "/v1/upstreams/A!/drain",
            &none,
            400,
            "bad_request",
        ),
        (
            Method::POST,
            "/v1/upstreams/gone/drain",
            &none,
            404,
            "not_found",
        ),
        (Method::GET, "/readyz", &none, 503, "unavailable"),
    ] {
        let response = call(daemon.addresses().admin, method, path, body.clone()).await;
        assert_eq!(response.status.as_u16(), status, "{path}: {response:?}");
        let error: ApiError = serde_json::from_slice(&response.body).expect(path);
        assert_eq!(error.kind.as_str(), kind, "{path}");
        assert!(
            !error.message.is_empty() && !error.remedy.is_empty(),
            "{path}"
        );
    }
    daemon.stop().await;
}

#[tokio::test]
async fn announcement_errors_are_json_with_a_remedy() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let announce = daemon.addresses().announce;
    for (method, path, status) in [
        (Method::GET, "/v1/upstream", 405),
        (Method::PUT, "/v1/other", 404),
        (Method::PUT, "/v1/upstream", 400),
    ] {
        let response = call(announce, method, path, Bytes::new()).await;
        assert_eq!(response.status.as_u16(), status);
        let error: ApiError = serde_json::from_slice(&response.body).expect("JSON");
        assert!(!error.remedy.is_empty());
    }
    daemon.stop().await;
}

#[tokio::test]
async fn daemon_is_ready_only_once_it_serves_a_version() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let admin = daemon.addresses().admin;
    let healthy = call(admin, Method::GET, "/healthz", Bytes::new()).await;
    assert_eq!(healthy.status, StatusCode::OK);
    let before = call(admin, Method::GET, "/readyz", Bytes::new()).await;
    assert_eq!(before.status, StatusCode::SERVICE_UNAVAILABLE);
    let id = "a".parse().expect("an id");
    let accepted = client(&daemon, RED)
        .accept(config("red", "1s").into(), &id, "")
        .await;
    accepted.expect("accepted");
    wait_until("readiness", LIMIT, async || {
        let response = call(admin, Method::GET, "/readyz", Bytes::new()).await;
        response.status == StatusCode::OK
    })
    .await
    .expect("ready");
    daemon.stop().await;
}

#[tokio::test]
async fn check_validates_against_the_head_and_accepts_nothing() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let red = client(&daemon, RED);
    let id = "a".parse().expect("an id");
    red.accept(config("red", "1s").into(), &id, "")
        .await
        .expect("accepted");
    // A pool of team blue may refer to a service of team red.
    let blue = |service: &str| {
        let pool = format!(r#"{{"name": "b", "team": "blue", "service": "{service}"}}"#);
        format!(r#"{{"format": 1, "teams": ["blue"], "pools": [{pool}]}}"#).into_bytes()
    };
    let checked = red.check(blue("red")).await.expect("no problem");
    assert_eq!(checked.changed.len(), 1);
    let refused = red.check(blue("gone")).await.expect_err("refused");
    let admin::ClientError::Refused(error) = refused else {
        panic!("{refused}");
    };
    assert_eq!(error.problems[0].place, "pools[0].service");
    assert_eq!(red.log(10).await.expect("a log").len(), 1);
    daemon.stop().await;
}

#[tokio::test]
async fn metrics_have_standard_names_and_count_accepts_and_the_store() {
    let (log, _) = log();
    let kv = Kv::open();
    let daemon = spawn("a-1", &kv, &log).await;
    let red = client(&daemon, RED);
    let id = |text: &str| text.parse().expect("an id");
    red.accept(config("red", "1s").into(), &id("a"), "")
        .await
        .expect("accepted");
    red.accept(config("red", "1s").into(), &id("b"), "")
        .await
        .expect("unchanged");
    let forbidden = red.accept(config("blue", "1s").into(), &id("c"), "").await;
    forbidden.expect_err("forbidden");
    kv.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    red.show(None).await.expect_err("the store is down");
    kv.set_faults(Faults::default());
    let admin = daemon.addresses().admin;
    wait_until("the version's metric", LIMIT, async || {
        metrics(admin)
            .await
            .contains("sardinestall_version_in_force 1\n")
    })
    .await
    .expect("in force");
    let text = metrics(admin).await;
    for line in [
        "sardinestall_accepts_total{result=\"accepted\"} 1\n",
        "sardinestall_accepts_total{result=\"unchanged\"} 1\n",
        "sardinestall_accepts_total{result=\"forbidden\"} 1\n",
        "sardinestall_members 1\n",
        "sardinestall_store_calls_total{operation=\"get\",result=\"unavailable\"} ",
        "sardinestall_admin_requests_total{code=\"200\"} ",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
    let operating = include_str!("../../../docs/OPERATIONS.md");
    for line in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let (name, kind) = line.split_once(' ').expect("a name and a kind");
        assert!(name.starts_with("sardinestall_"), "{name}");
        assert!(operating.contains(&format!("| `{name}")), "{name}");
        assert_eq!(name.ends_with("_total"), kind == "counter", "{name} {kind}");
    }
    daemon.stop().await;
}

async fn metrics(admin: SocketAddr) -> String {
    let response = call(admin, Method::GET, "/metrics", Bytes::new()).await;
    String::from_utf8_lossy(&response.body).into_owned()
}

#[tokio::test]
async fn administration_and_callers_have_separate_listeners() {
    let (log, _) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let addresses = daemon.addresses();
    for path in ["/v1/status", "/metrics", "/healthz", "/v1/log"] {
        let response = call(addresses.caller, Method::GET, path, Bytes::new()).await;
        assert!(!response.status.is_success(), "{path}: {response:?}");
        assert_eq!(response.outcome(), Some("not-run"), "{path}");
    }
    let id = "a".parse().expect("an id");
    let red = client(&daemon, RED);
    red.accept(config("red", "1s").into(), &id, "")
        .await
        .expect("accepted");
    let caller = Caller::default();
    let response = caller.get(addresses.admin, "red.example", "/").await;
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    assert_eq!(response.outcome(), None);
    daemon.stop().await;
}

#[tokio::test]
async fn accept_in_flight_completes_before_the_daemon_stops() {
    let (log, _) = log();
    let kv = Kv::open();
    let daemon = spawn("a-1", &kv, &log).await;
    kv.set_faults(Faults {
        delay: Millis::new(300),
        ..Faults::default()
    });
    let before = kv.counts().gets;
    let red = client(&daemon, RED);
    let accept = tokio::spawn(async move {
        let id = "a".parse().expect("an id");
        red.accept(config("red", "1s").into(), &id, "").await
    });
    wait_until("the accept's first read", LIMIT, async || {
        kv.counts().gets > before
    })
    .await
    .expect("the accept has begun");
    daemon.stop().await;
    let accepted = accept.await.expect("no panic").expect("answered");
    assert_eq!(accepted.version.get(), 1);
}

#[tokio::test]
async fn request_id_is_in_the_response_and_the_log() {
    let (log, output) = log();
    let daemon = spawn("a-1", &Kv::open(), &log).await;
    let admin = daemon.addresses().admin;
    let bearer = format!("Bearer {RED}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-request-id", "call-7"),
    ];
    let body = Bytes::from(config("red", "1s"));
    let path = "/v1/accept?accept_id=a&reason=first";
    let caller = Caller::default();
    let response = caller
        .call(admin, Method::POST, "admin", path, &headers, body)
        .await;
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    assert_eq!(response.headers["x-request-id"], "call-7");
    let text = output.text();
    let line = text
        .lines()
        .find(|line| line.contains("\"accepted\""))
        .expect("logged");
    for part in ["\"ruby\"", "\"call-7\"", "\"first\""] {
        assert!(line.contains(part), "{line}");
    }
    daemon.stop().await;
}
