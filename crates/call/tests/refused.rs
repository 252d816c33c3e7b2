//! What a reset by the gate's end of the connection says of a call.

mod support;

use std::net::SocketAddr;

use h2::Reason;
use http::Response;
use model::Rules;

use crate::support::{Node, bind, call};

/// What a gate resets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Resets {
    /// The question whether it holds a slot for a call.
    Questions,
    /// The calls for which it holds a slot.
    Calls,
}

/// Serves HTTP/2 that resets calls, or the questions before them, with `reason`.
async fn reset_with(reason: Reason, resets: Resets) -> SocketAddr {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = h2::server::handshake(stream).await.expect("a connection");
                while let Some(Ok((request, mut respond))) = connection.accept().await {
                    let is_question = request.headers().contains_key("sardinestall-reserve");
                    if resets == Resets::Calls && is_question {
                        let held = Response::builder().header("sardinestall-reservation", "1");
                        let held = held.body(()).expect("an answer");
                        respond.send_response(held, true).expect("answered");
                    } else {
                        respond.send_reset(reason);
                    }
                }
            });
        }
    });
    address
}

/// Returns the outcome of a call that may not be repeated, through a gate that resets it.
async fn outcome_of(reason: Reason, resets: Resets) -> String {
    let upstream = ([127, 0, 0, 1], 1).into();
    let node = Node::start("a-1", "decisions", 12, upstream).await;
    node.install(&[("/", "decisions", Rules::default())]);
    let gate = reset_with(reason, resets).await;
    node.table.announce(|record| record.gate = gate);
    let answer = call(node.ingress.address(), "POST", "/notices", "x").await;
    answer.outcome().unwrap_or_default().into()
}

#[tokio::test]
async fn refused_stream_was_not_run() {
    let outcome = outcome_of(Reason::REFUSED_STREAM, Resets::Calls).await;
    assert_eq!(outcome, "not-run");
}

#[tokio::test]
async fn any_other_reset_leaves_the_outcome_unknown() {
    for reason in [Reason::INTERNAL_ERROR, Reason::CANCEL] {
        assert_eq!(outcome_of(reason, Resets::Calls).await, "unknown");
    }
}

#[tokio::test]
async fn question_that_is_lost_on_the_way_runs_nothing() {
    for reason in [Reason::INTERNAL_ERROR, Reason::CANCEL] {
        assert_eq!(outcome_of(reason, Resets::Questions).await, "not-run");
    }
}
