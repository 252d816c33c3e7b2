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
struct Gauge {
    begun: AtomicUsize,
    left: AtomicUsize,
    release: Notify,
}

/// Counts a call that is cancelled before its response.
struct Leaving(Option<Arc<Gauge>>);

impl Drop for Leaving {
    fn drop(&mut self) {
        if let Some(gauge) = self.0.take() {
            gauge.left.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn hold(State(gauge): State<Arc<Gauge>>, uri: Uri) -> String {
    gauge.begun.fetch_add(1, Ordering::Relaxed);
    let mut leaving = Leaving(Some(Arc::clone(&gauge)));
    gauge.release.notified().await;
    leaving.0 = None;
    uri.path().to_owned()
}

/// Starts a node with such an upstream, an idempotent route and a route whose calls run once.
async fn start() -> (Node, Arc<Gauge>) {
    let gauge = Arc::new(Gauge::default());
    let router = Router::new()
        .fallback(any(hold))
        .with_state(Arc::clone(&gauge));
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
    (node, gauge)
}

async fn connect(node: &Node, paths: &[&str]) -> TcpStream {
    let mut stream = TcpStream::connect(node.ingress.address())
        .await
        .expect("open");
    let requests: String = paths
        .iter()
        .map(|path| format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\n\r\n"))
        .collect();
    stream.write_all(requests.as_bytes()).await.expect("sent");
    stream
}

fn begun(gauge: &Gauge) -> usize {
    gauge.begun.load(Ordering::Relaxed)
}

#[tokio::test]
async fn requests_sent_behind_others_run_at_once_and_are_answered_in_order() {
    let (node, gauge) = start().await;
    let mut caller = connect(&node, &["/proofs/1", "/proofs/2", "/proofs/3"]).await;
    wait_until("all three run", || begun(&gauge) == 3).await;
    for _ in 0..3 {
        gauge.release.notify_one();
    }
    let mut answer = String::new();
    let mut buffer = [0; 4_096];
    while !answer.contains("/proofs/3") {
        let read = timeout(LIMIT, caller.read(&mut buffer)).await;
        let size = read.expect("an answer").expect("open");
        assert_ne!(size, 0, "{answer}");
        answer.push_str(&String::from_utf8_lossy(&buffer[..size]));
    }
    let place = |text| answer.find(text).expect("an answer");
    assert!(place("/proofs/1") < place("/proofs/2"));
    assert!(place("/proofs/2") < place("/proofs/3"));
}

#[tokio::test]
async fn request_that_runs_once_waits_for_the_answer_before_it() {
    let (node, gauge) = start().await;
    let _caller = connect(&node, &["/proofs/1", "/notices/2", "/proofs/3"]).await;
    wait_until("the others run", || begun(&gauge) == 2).await;
    gauge.release.notify_waiters();
    wait_until("its turn has come", || begun(&gauge) == 3).await;
}

#[tokio::test]
async fn caller_that_leaves_ends_its_requests_at_the_upstream() {
    let (node, gauge) = start().await;
    let caller = connect(&node, &["/proofs/1", "/proofs/2", "/proofs/3"]).await;
    wait_until("all three run", || begun(&gauge) == 3).await;
    drop(caller);
    wait_until("all three are left", || {
        gauge.left.load(Ordering::Relaxed) == 3
    })
    .await;
}

#[tokio::test]
async fn full_gate_is_not_sent_a_call_that_runs_once() {
    let gauge = Arc::new(Gauge::default());
    let router = Router::new()
        .fallback(any(hold))
        .with_state(Arc::clone(&gauge));
    let node = Node::start("a-1", "proofdesk", 1, serve(router).await).await;
    let once = Rules {
        idempotent: Some(false),
        timeout: model::Millis::new(600),
        ..Rules::default()
    };
    node.install(&[("/notices", "proofdesk", once)]);
    join(std::slice::from_ref(&node));
    let _first = connect(&node, &["/notices/1"]).await;
    wait_until("the only slot is taken", || begun(&gauge) == 1).await;
    let answer = support::call(node.ingress.address(), "GET", "/notices/2", "").await;
    assert_eq!(answer.outcome(), Some("not-run"));
    assert_eq!(begun(&gauge), 1);
    // The slot becomes free when the first call ends.
    gauge.release.notify_one();
    tokio::time::sleep(Duration::from_millis(1)).await;
    let _third = connect(&node, &["/notices/3"]).await;
    wait_until("the slot is used again", || begun(&gauge) == 2).await;
}
