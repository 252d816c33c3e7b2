//! Tests of HTTP/1.1 pipelining and of callers that disconnect.
//!
//! Guards against pipelined requests that run serially or are answered out of order, against requests of
//! routes that run once being run early, and against upstreams that keep running calls of callers that
//! have disconnected.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::routing::any;
use http::Uri;
use model::Rules;
use support::{HOST, LIMIT, Node, join, serve, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// An upstream that counts its calls and holds each response until released.
#[derive(Debug, Default)]
struct HoldingUpstream {
    started: AtomicUsize,
    cancelled: AtomicUsize,
    release: Notify,
}

/// Counts a call that is cancelled before its response.
struct CancelGuard(Option<Arc<HoldingUpstream>>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(upstream) = self.0.take() {
            upstream.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn hold(State(upstream): State<Arc<HoldingUpstream>>, uri: Uri) -> String {
    upstream.started.fetch_add(1, Ordering::Relaxed);
    let mut guard = CancelGuard(Some(Arc::clone(&upstream)));
    upstream.release.notified().await;
    guard.0 = None;
    uri.path().to_owned()
}

/// Starts a node with such an upstream, an idempotent route and a route whose calls run once.
async fn start() -> (Node, Arc<HoldingUpstream>) {
    let upstream = Arc::new(HoldingUpstream::default());
    let router = Router::new()
        .fallback(any(hold))
        .with_state(Arc::clone(&upstream));
    let node = Node::start("a-1", "proofdesk", 8, serve(router).await).await;
    let once = Rules {
        idempotent: Some(false),
        ..Rules::default()
    };
    node.install(&[
        ("/proofs", "proofdesk", Rules::default()),
        ("/notices", "proofdesk", once),
    ]);
    join(std::slice::from_ref(&node));
    (node, upstream)
}

async fn connect(node: &Node, paths: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(node.ingress.address())
        .await
        .expect("an open connection");
    let requests: String = paths
        .iter()
        .map(|path| format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n"))
        .collect();
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("a sent request");
    stream
}

fn started(upstream: &HoldingUpstream) -> usize {
    upstream.started.load(Ordering::Relaxed)
}

#[tokio::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let (node, upstream) = start().await;
    let mut caller = connect(&node, &["/proofs/1", "/proofs/2", "/proofs/3"]).await;
    wait_until("all three run", || started(&upstream) == 3).await;
    for _ in 0..3 {
        upstream.release.notify_one();
    }
    let mut response = String::new();
    let mut buffer = [0; 4_096];
    while !response.contains("/proofs/3") {
        let read = timeout(LIMIT, caller.read(&mut buffer)).await;
        let size = read.expect("a response").expect("an open connection");
        assert_ne!(size, 0, "{response}");
        response.push_str(&String::from_utf8_lossy(&buffer[..size]));
    }
    let position = |text| response.find(text).expect("a response");
    assert!(position("/proofs/1") < position("/proofs/2"));
    assert!(position("/proofs/2") < position("/proofs/3"));
}

#[tokio::test]
async fn pipelined_request_that_runs_once_waits_for_the_previous_response() {
    let (node, upstream) = start().await;
    let _caller = connect(&node, &["/proofs/1", "/notices/2", "/proofs/3"]).await;
    wait_until("both idempotent requests run", || started(&upstream) == 2).await;
    upstream.release.notify_waiters();
    wait_until("the request that runs once runs", || {
        started(&upstream) == 3
    })
    .await;
}

#[tokio::test]
async fn disconnected_caller_cancels_its_requests_at_the_upstream() {
    let (node, upstream) = start().await;
    let caller = connect(&node, &["/proofs/1", "/proofs/2", "/proofs/3"]).await;
    wait_until("all three run", || started(&upstream) == 3).await;
    drop(caller);
    wait_until("all three are cancelled", || {
        upstream.cancelled.load(Ordering::Relaxed) == 3
    })
    .await;
}

#[tokio::test]
async fn full_gate_does_not_receive_a_call_that_runs_once() {
    let upstream = Arc::new(HoldingUpstream::default());
    let router = Router::new()
        .fallback(any(hold))
        .with_state(Arc::clone(&upstream));
    let node = Node::start("a-1", "proofdesk", 1, serve(router).await).await;
    let once = Rules {
        idempotent: Some(false),
        timeout: model::Millis::new(600),
        ..Rules::default()
    };
    node.install(&[("/notices", "proofdesk", once)]);
    join(std::slice::from_ref(&node));
    let _first = connect(&node, &["/notices/1"]).await;
    wait_until("the only slot is taken", || started(&upstream) == 1).await;
    let response = support::call(node.ingress.address(), "GET", "/notices/2", "").await;
    assert_eq!(response.outcome(), Some("not-run"));
    assert_eq!(started(&upstream), 1);
    // The slot becomes free when the first call ends.
    upstream.release.notify_one();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let _third = connect(&node, &["/notices/3"]).await;
    wait_until("the slot is used again", || started(&upstream) == 2).await;
}
