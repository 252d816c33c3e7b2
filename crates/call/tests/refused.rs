//! Outcome of a call whose HTTP/2 stream to the gate is reset.

mod support;

use std::net::SocketAddr;

use h2::Reason;
use http::Response;
use model::Rules;

use crate::support::{Node, bind, call};

/// Streams that the gate resets.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Resets {
    /// The reservation of a slot for a call.
    Reservations,
    /// The calls in reserved slots.
    Calls,
}

/// Serves a gate that resets reservations or calls with `reason`.
async fn serve_resetting_gate(reason: Reason, resets: Resets) -> SocketAddr {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut connection = h2::server::handshake(stream).await.expect("a connection");
                while let Some(Ok((request, mut respond))) = connection.accept().await {
                    let is_reservation = request.headers().contains_key("sardinestall-reserve");
                    if resets == Resets::Calls && is_reservation {
                        let reserved = Response::builder().header("sardinestall-reservation", "1");
                        let reserved = reserved.body(()).expect("a response");
                        respond.send_response(reserved, true).expect("sent");
                    } else {
                        respond.send_reset(reason);
                    }
                }
            });
        }
    });
    address
}

/// Returns the outcome of a non-idempotent call through a gate that resets streams.
async fn outcome_of(reason: Reason, resets: Resets) -> String {
    let upstream = ([127, 0, 0, 1], 1).into();
    let node = Node::start("a-1", "decisions", 12, upstream).await;
    node.install(&[("/", "decisions", Rules::default())]);
    let gate = serve_resetting_gate(reason, resets).await;
    node.table.announce(|record| record.gate = gate);
    let response = call(node.ingress.address(), "POST", "/notices", "x").await;
    response.outcome().unwrap_or_default().into()
}

#[tokio::test]
async fn reset_with_refused_stream_means_not_run() {
    let outcome = outcome_of(Reason::REFUSED_STREAM, Resets::Calls).await;
    assert_eq!(outcome, "not-run");
}

#[tokio::test]
async fn reset_with_another_reason_means_unknown() {
    for reason in [Reason::INTERNAL_ERROR, Reason::CANCEL] {
        assert_eq!(outcome_of(reason, Resets::Calls).await, "unknown");
    }
}

#[tokio::test]
async fn reset_of_the_reservation_means_not_run() {
    for reason in [Reason::INTERNAL_ERROR, Reason::CANCEL] {
        assert_eq!(outcome_of(reason, Resets::Reservations).await, "not-run");
    }
}
