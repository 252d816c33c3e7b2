//! Malformed input to the ingress gets an HTTP error or a closed connection, and the ingress keeps
//! serving other callers.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use model::{Rules, Size};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{HOST, LIMIT, Node, call, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of cases per property.
const CASES: u32 = 64;

async fn start() -> Node {
    let upstream = Router::new().fallback(async || "whole");
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    let rules = Rules {
        body_limit: Size::new(1_000),
        ..Rules::default()
    };
    node.install(&[("/proofs", "proofdesk", rules)]);
    node
}

/// Whether the caller shuts down its sending side after writing.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Open,
    Closed,
}

/// Sends `bytes` and returns everything received until the connection closes.
async fn send_raw(address: SocketAddr, bytes: &[u8], end: End) -> String {
    let mut stream = TcpStream::connect(address).await.expect("open");
    // The ingress may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    if end == End::Closed {
        let _ = stream.shutdown().await;
    }
    let mut response = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut response)).await;
    let _ = read.expect("the connection closes");
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns a request for `/proofs` with additional header lines and a body.
fn request(lines: &str, body: &str) -> Vec<u8> {
    format!("POST /proofs HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n{lines}\r\n{body}")
        .into_bytes()
}

async fn assert_alive(node: &Node) {
    let response = call(node.ingress.address(), "GET", "/proofs", "").await;
    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (200, &b"whole"[..])
    );
}

#[tokio::test]
async fn malformed_requests_get_an_error_status() {
    let node = start().await;
    let address = node.ingress.address();
    let long = "x".repeat(100_000);
    let many: String = (0..200).map(|i| format!("x-{i}: 1\r\n")).collect();
    let upgrade = "connection: upgrade\r\nupgrade: websocket\r\n";
    let cases: &[(&str, Vec<u8>, &str)] = &[
        (
            "a long header",
            request(&format!("x-long: {long}\r\n"), ""),
            "431",
        ),
        ("many headers", request(&many, ""), "431"),
        (
            "two lengths",
            request("content-length: 3\r\ncontent-length: 4\r\n", "abcd"),
            "400",
        ),
        (
            "a bad length",
            request("content-length: -3\r\n", "abc"),
            "400",
        ),
        (
            "a length before a chunked encoding",
            request(
                "content-length: 3\r\ntransfer-encoding: chunked\r\n",
                "0\r\n\r\n",
            ),
            "400",
        ),
        (
            "a chunked encoding before a length",
            request(
                "transfer-encoding: chunked\r\ncontent-length: 3\r\n",
                "0\r\n\r\n",
            ),
            "400",
        ),
        (
            "an unknown transfer encoding",
            request("transfer-encoding: zip\r\n", "abc"),
            "400",
        ),
        ("an upgrade", request(upgrade, ""), "501"),
        (
            "a large body",
            request("content-length: 5000\r\n", ""),
            "413",
        ),
        ("an empty key", request("idempotency-key: \r\n", ""), "400"),
        (
            "a long key",
            request(&format!("idempotency-key: {}\r\n", &long[..300]), ""),
            "400",
        ),
        (
            "bytes that are not HTTP",
            b"\x16\x03\x01\x02\x00\x01\r\n\r\n".to_vec(),
            "400",
        ),
        (
            "an old version",
            b"GET /proofs HTTP/1.0\r\n\r\n".to_vec(),
            "501",
        ),
        (
            "a tunnel",
            b"CONNECT a:1 HTTP/1.1\r\nhost: a:1\r\n\r\n".to_vec(),
            "501",
        ),
        (
            "no host",
            b"GET /proofs HTTP/1.1\r\nconnection: close\r\n\r\n".to_vec(),
            "404",
        ),
        (
            "another host",
            b"GET /proofs HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec(),
            "404",
        ),
    ];
    for (case, bytes, status) in cases {
        let response = send_raw(address, bytes, End::Open).await;
        let first = response.lines().next().unwrap_or_default();
        assert!(first.contains(status), "{case}: {response}");
    }
    assert_alive(&node).await;
}

#[tokio::test]
async fn slow_caller_blocks_no_other_and_is_disconnected() {
    let node = start().await;
    let mut slow = TcpStream::connect(node.ingress.address())
        .await
        .expect("open");
    slow.write_all(b"GET /proofs HTTP/1.1\r\nhost: a")
        .await
        .expect("open");
    for _ in 0..20 {
        assert_alive(&node).await;
    }
    let mut response = Vec::new();
    let read = timeout(LIMIT, slow.read_to_end(&mut response)).await;
    read.expect("the connection closes").expect("no reset");
}

#[tokio::test]
async fn truncated_body_is_never_run_as_complete() {
    let upstream = Router::new().fallback(async |body: axum::body::Bytes| body);
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/proofs", "proofdesk", Rules::default())]);
    let address = node.ingress.address();
    for lines in ["content-length: 10\r\n", "transfer-encoding: chunked\r\n"] {
        let response = send_raw(address, &request(lines, "3\r\nabc\r\n"), End::Closed).await;
        assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// Checks, with a fixed seed, that the ingress answers generated bytes with HTTP or a close and keeps
/// serving afterwards.
fn check_ingress_survives(strategy: impl Strategy<Value = Vec<u8>>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let node = runtime.block_on(start());
    let config = Config::with_cases(CASES);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&strategy, |bytes| {
        let response = runtime.block_on(send_raw(node.ingress.address(), &bytes, End::Closed));
        let is_valid = response.is_empty()
            || response.starts_with("HTTP/1.1 ")
            || response.starts_with("\0\0");
        prop_assert!(is_valid, "{response:?}");
        Ok(())
    });
    outcome.expect("the property holds");
    runtime.block_on(async {
        tokio::time::sleep(Duration::from_millis(1)).await;
        assert_alive(&node).await;
    });
}

#[test]
fn ingress_survives_arbitrary_bytes() {
    check_ingress_survives(proptest::collection::vec(any::<u8>(), 0..2_000));
}

#[test]
fn ingress_survives_arbitrary_heads_and_bodies() {
    let name = "[a-zA-Z-]{1,30}";
    let value = "[ -~]{0,60}";
    let header = (name, value).prop_map(|(name, value)| format!("{name}: {value}\r\n"));
    let known = prop_oneof![
        Just("content-length: 5\r\n".to_owned()),
        Just("transfer-encoding: chunked\r\n".to_owned()),
        Just("expect: 100-continue\r\n".to_owned()),
        Just("connection: close, te, x-any\r\n".to_owned()),
        Just("te: trailers\r\n".to_owned()),
        Just("sardinestall-deadline-ms: 50\r\n".to_owned()),
        "[0-9]{1,25}".prop_map(|length| format!("content-length: {length}\r\n")),
    ];
    let line = prop_oneof![header, known];
    let lines = proptest::collection::vec(line, 0..12);
    let body = proptest::collection::vec(any::<u8>(), 0..200);
    let head = ("[A-Z]{1,8}", "/proofs[ -~]{0,40}", lines);
    check_ingress_survives((head, body).prop_map(|((method, path, lines), body)| {
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}\r\n",
            lines.concat()
        )
        .into_bytes();
        bytes.extend(body);
        bytes
    }));
}

#[test]
fn ingress_survives_arbitrary_http2_frames() {
    let frame = (
        any::<u8>(),
        any::<u8>(),
        any::<u32>(),
        proptest::collection::vec(any::<u8>(), 0..100),
    );
    let frames = proptest::collection::vec(frame, 0..20);
    check_ingress_survives(frames.prop_map(|frames| {
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0".to_vec();
        for (kind, flags, stream, payload) in frames {
            bytes.extend(&(payload.len() as u32).to_be_bytes()[1..]);
            bytes.extend([kind % 12, flags]);
            bytes.extend(stream.to_be_bytes());
            bytes.extend(payload);
        }
        bytes
    }));
}
