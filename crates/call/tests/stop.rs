//! Tests of planned stops: calls in flight complete, and calls cut at the time limit are counted.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use bytes::Bytes;
use futures_util::StreamExt;
use http::Version;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use model::Rules;
use support::{LIMIT, Node, call, request, serve, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Semaphore;

type Shared = (Arc<AtomicUsize>, Arc<Semaphore>);

/// Starts a node whose upstream sends half a response, and the rest once released.
async fn start() -> (Node, Shared) {
    let shared: Shared = (Arc::default(), Arc::new(Semaphore::new(0)));
    let run = async |State((count, open)): State<Shared>| {
        count.fetch_add(1, Ordering::SeqCst);
        let rest = futures_util::stream::once(async move {
            open.acquire().await.expect("never closed").forget();
            Ok::<_, std::io::Error>(Bytes::from("rest"))
        });
        let half = futures_util::stream::iter([Ok(Bytes::from("half "))]);
        axum::body::Body::from_stream(half.chain(rest))
    };
    let upstream = serve(Router::new().fallback(run).with_state(shared.clone())).await;
    let node = Node::start("a-1", "proofdesk", 12, upstream).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    (node, shared)
}

#[tokio::test]
async fn stop_waits_for_calls_in_flight() {
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let (node, (count, open)) = start().await;
        let client = Client::builder(TokioExecutor::new())
            .http2_only(version == Version::HTTP_2)
            .build_http::<Full<Bytes>>();
        let request = request(node.ingress.address(), "GET", "/").version(version);
        let request = request.body(Full::default()).expect("a request");
        let calling = tokio::spawn(async move {
            let response = client.request(request).await.map_err(|e| e.to_string())?;
            let body = response.into_body().collect().await;
            body.map(|body| body.to_bytes()).map_err(|e| e.to_string())
        });
        wait_until("the call runs", || count.load(Ordering::SeqCst) == 1).await;
        let stopping =
            tokio::spawn(
                async move { node.ingress.stop(LIMIT).await + node.gate.stop(LIMIT).await },
            );
        tokio::time::sleep(Duration::from_millis(50)).await;
        open.add_permits(1);
        let body = calling
            .await
            .expect("no panic")
            .expect("a complete response");
        assert_eq!(&body[..], b"half rest");
        assert_eq!(stopping.await.expect("no panic"), 0);
    }
}

#[tokio::test]
async fn stop_counts_the_calls_cut_at_its_limit() {
    let (node, (count, _open)) = start().await;
    let ingress = node.ingress.address();
    for _ in 0..3 {
        let request = request(ingress, "GET", "/").body(Full::default());
        tokio::spawn(support::send(request.expect("a request")));
    }
    wait_until("all three calls run", || count.load(Ordering::SeqCst) == 3).await;
    assert_eq!(node.ingress.stop(Duration::from_millis(50)).await, 3);
}

#[tokio::test]
async fn concurrency_stays_within_the_slots_under_load_and_a_reduction() {
    let max_running = Arc::new(AtomicUsize::new(0));
    let running = Arc::new(AtomicUsize::new(0));
    let state = (Arc::clone(&running), Arc::clone(&max_running));
    let run = async |State((running, max_running)): State<(Arc<AtomicUsize>, Arc<AtomicUsize>)>| {
        let now = running.fetch_add(1, Ordering::SeqCst) + 1;
        max_running.fetch_max(now, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_millis(2)).await;
        running.fetch_sub(1, Ordering::SeqCst);
        "ok"
    };
    let upstream = serve(Router::new().fallback(run).with_state(state)).await;
    let node = Node::start("a-1", "proofdesk", 4, upstream).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let ingress = node.ingress.address();
    let mut calls = tokio::task::JoinSet::new();
    for i in 0..200 {
        calls.spawn(async move { call(ingress, "GET", "/", "").await.status.as_u16() });
        if i == 100 {
            let mut fewer = node.announcement.clone();
            fewer.slots = 3;
            node.backend.announce(fewer);
        }
    }
    let statuses = calls.join_all().await;
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    assert!(statuses.contains(&200));
    assert!(max_running.load(Ordering::SeqCst) <= 4);
}

#[tokio::test]
async fn request_on_a_keep_alive_connection_during_a_stop_is_answered() {
    let upstream = Router::new().fallback(async || "whole");
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let address = node.ingress.address();
    let mut connection = tokio::net::TcpStream::connect(address)
        .await
        .expect("an open connection");
    let request = format!("GET / HTTP/1.1\r\nhost: {}\r\n\r\n", support::HOST);
    connection
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    let mut first = [0; 2_048];
    let read = connection.read(&mut first).await.expect("a response");
    assert!(first[..read].starts_with(b"HTTP/1.1 200"));
    let stopping = tokio::spawn(node.ingress.stop(LIMIT));
    tokio::time::sleep(Duration::from_millis(50)).await;
    connection
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    let mut last = String::new();
    connection
        .read_to_string(&mut last)
        .await
        .expect("a response");
    assert!(last.starts_with("HTTP/1.1 200"), "{last}");
    assert!(last.contains("connection: close"), "{last}");
    assert_eq!(stopping.await.expect("no panic"), 0);
}

/// Guards against a stop that waits for callers which have had their responses and keep their connections.
#[tokio::test]
async fn stop_does_not_wait_for_idle_connections() {
    let upstream = Router::new().fallback(async || "whole");
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let address = node.ingress.address();
    let mut connections = Vec::new();
    for _ in 0..4 {
        let mut connection = tokio::net::TcpStream::connect(address)
            .await
            .expect("an open connection");
        let request = format!("GET / HTTP/1.1\r\nhost: {}\r\n\r\n", support::HOST);
        connection
            .write_all(request.as_bytes())
            .await
            .expect("an open connection");
        let mut response = [0; 2_048];
        let read = connection.read(&mut response).await.expect("a response");
        assert!(response[..read].starts_with(b"HTTP/1.1 200"));
        connections.push(connection);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let begun = tokio::time::Instant::now();
    assert_eq!(node.ingress.stop(LIMIT).await, 0);
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    drop(connections);
}

/// Guards against a last response that is lost on its way: the caller's next request, which crosses it, reset the
/// connection that the daemon had closed behind it.
#[tokio::test]
async fn request_that_crosses_the_last_response_does_not_break_it_off() {
    const SIZE: usize = 400_000;
    let upstream = Router::new().fallback(async || vec![b'p'; SIZE]);
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    // The caller takes the response slowly, so most of it is still on its way when the daemon has written it.
    socket.set_recv_buffer_size(8_192).expect("a small window");
    let address = node.ingress.address();
    let mut connection = socket.connect(address).await.expect("a connection");
    node.ingress.disable_keep_alive();
    let request = format!("GET / HTTP/1.1\r\nhost: {}\r\n\r\n", support::HOST);
    connection
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    let mut received = vec![0; 1_024];
    let read = connection.read(&mut received).await.expect("a response");
    received.truncate(read);
    let stopping = tokio::spawn(node.ingress.stop(LIMIT));
    tokio::time::sleep(Duration::from_millis(300)).await;
    connection
        .write_all(request.as_bytes())
        .await
        .expect("an open connection");
    tokio::time::sleep(Duration::from_millis(100)).await;
    connection
        .read_to_end(&mut received)
        .await
        .expect("a whole response");
    let text = String::from_utf8_lossy(&received);
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(body.len(), SIZE);
    drop(connection);
    assert_eq!(stopping.await.expect("no panic"), 0);
}
