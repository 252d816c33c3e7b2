//! Connections that go silent for good, without being closed.

mod support;

use std::time::Duration;

use axum::Router;
use harness::{FaultProxy, LinkFault};
use member::{LinkId, Record};
use model::Rules;
use support::{Node, call, request, send, serve};
use tokio::time::timeout;

/// Time within which the calls of a severed connection go over a new one: two ping intervals, and the time to
/// connect.
const RECONNECT_LIMIT: Duration = Duration::from_secs(3);

/// Size of a large response.
const SIZE: usize = 600_000;

/// Calls waited for their deadline on a connection between daemons that had died without a reset.
#[tokio::test]
async fn calls_leave_a_connection_between_daemons_that_has_gone_silent() {
    let address = serve(Router::new().fallback(async || "proof")).await;
    let caller = Node::start("a-1", "other", 12, address).await;
    let upstream = Node::start("a-2", "proofdesk", 12, address).await;
    let link = FaultProxy::open().await.expect("a proxy");
    link.set_target(upstream.gate.address());
    let record = Record {
        gate: link.address(),
        ..upstream.record()
    };
    caller.table.merge(vec![record], LinkId::default());
    caller.install(&[("/", "proofdesk", Rules::default())]);
    let ingress = caller.ingress.address();
    assert_eq!(call(ingress, "GET", "/", "").await.status, 200);

    link.sever();
    let served = async { while call(ingress, "GET", "/", "").await.status != 200 {} };
    timeout(RECONNECT_LIMIT, served)
        .await
        .expect("a new connection in time");
}

/// Calls through a link that takes seconds for the response, which begins after `work`.
async fn call_on_busy_link(work: Duration) -> (u16, usize) {
    let router = Router::new().fallback(async move || {
        tokio::time::sleep(work).await;
        vec![b'p'; SIZE]
    });
    let address = serve(router).await;
    let caller = Node::start("a-1", "other", 12, address).await;
    let upstream = Node::start("a-2", "proofdesk", 12, address).await;
    let link = FaultProxy::open().await.expect("a proxy");
    link.set_target(upstream.gate.address());
    let record = Record {
        gate: link.address(),
        ..upstream.record()
    };
    caller.table.merge(vec![record], LinkId::default());
    caller.install(&[("/", "proofdesk", Rules::default())]);
    // About 1.3 Mbit/s.
    link.set_fault(LinkFault::Delay(Duration::from_millis(100)));
    let request = request(caller.ingress.address(), "GET", "/");
    let request = request.body(Default::default()).expect("a request");
    match send(request).await {
        Ok(response) => (response.status.as_u16(), response.body.len()),
        Err(_) => (0, 0),
    }
}

/// Guards against a large response that is cut on a link that delivers it: the answer to a ping, which was sent before the
/// response began and arrives behind it, was late, and all calls on the connection broke.
#[tokio::test]
async fn large_response_on_a_busy_link_is_not_cut() {
    let works = (4..30).map(|step| Duration::from_millis(50 * step));
    let calls = works.map(async |work| (work, call_on_busy_link(work).await));
    for (work, result) in futures_util::future::join_all(calls).await {
        assert_eq!(result, (200, SIZE), "{work:?}");
    }
}

/// A cancelled call is not answered; the silence after it must not end the connection under a later call.
#[tokio::test]
async fn cancelled_call_does_not_end_the_connection_of_a_later_one() {
    let router = Router::new().fallback(async || {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        "proof"
    });
    let address = serve(router).await;
    let caller = Node::start("a-1", "other", 12, address).await;
    let upstream = Node::start("a-2", "proofdesk", 12, address).await;
    caller
        .table
        .merge(vec![upstream.record()], LinkId::default());
    caller.install(&[("/", "proofdesk", Rules::default())]);
    let ingress = caller.ingress.address();
    for pause in [1_000, 1_500, 2_000] {
        let hurried = request(ingress, "POST", "/").header("sardinestall-deadline-ms", "100");
        let hurried = hurried.body(Default::default()).expect("a request");
        let response = send(hurried).await.expect("a response");
        assert_eq!(response.status, 504);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let response = call(ingress, "POST", "/", "").await;
        assert_eq!(response.status, 200, "{pause} ms after a cancelled call");
    }
}
