//! What a reset by the gate's end of the connection says of a call.

mod support;

use std::net::SocketAddr;

use h2::Reason;
use model::Rules;

use crate::support::{Node, bind, call};

/// Serves HTTP/2 that resets every call with `reason`.
async fn reset_with(reason: Reason) -> SocketAddr {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = h2::server::handshake(stream).await.expect("a connection");
                while let Some(Ok((_, mut respond))) = connection.accept().await {
                    respond.send_reset(reason);
                }
            });
        }
    });
    address
}

/// Returns the outcome of a call that may not be repeated, through a gate that resets it.
async fn outcome_of(reason: Reason) -> String {
    let upstream = ([127, 0, 0, 1], 1).into();
    let node = Node::start("a-1", "decisions", 12, upstream).await;
    node.install(&[("/", "decisions", Rules::default())]);
    let gate = reset_with(reason).await;
    node.table.announce(|record| record.gate = gate);
    let answer = call(node.ingress.address(), "POST", "/notices", "x").await;
    answer.outcome().unwrap_or_default().into()
}

#[tokio::test]
async fn refused_stream_was_not_run() {
    assert_eq!(outcome_of(Reason::REFUSED_STREAM).await, "not-run");
}

#[tokio::test]
async fn any_other_reset_leaves_the_outcome_unknown() {
    assert_eq!(outcome_of(Reason::INTERNAL_ERROR).await, "unknown");
    assert_eq!(outcome_of(Reason::CANCEL).await, "unknown");
}
