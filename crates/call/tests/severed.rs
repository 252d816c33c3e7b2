//! Connections that go silent for good, without being closed.

mod support;

use std::time::Duration;

use axum::Router;
use harness::FaultProxy;
use member::{LinkId, Record};
use model::Rules;
use support::{Node, call, serve};
use tokio::time::timeout;

/// Time within which the calls of a severed connection go over a new one: two ping intervals, and the time to
/// connect.
const RECONNECT_LIMIT: Duration = Duration::from_secs(3);

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
