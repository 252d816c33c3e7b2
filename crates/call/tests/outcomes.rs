//! Call outcomes, retries, idempotency keys and headers through an ingress and gates.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::routing::{any, get};
use bytes::Bytes;
use call::Readiness;
use http_body_util::Full;
use model::{Millis, Rules, Size};
use support::{Node, bind, call, join, request, send, serve, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Semaphore;

type Count = Arc<AtomicUsize>;

/// Serves an upstream that counts its runs and echoes the request's body.
async fn serve_echo(count: &Count) -> std::net::SocketAddr {
    let run = async |State(count): State<Count>, body: Bytes| {
        count.fetch_add(1, Ordering::SeqCst);
        body
    };
    let router = Router::new().fallback(run).with_state(Arc::clone(count));
    serve(router).await
}

/// Serves an upstream that reads a request, counts it and closes the connection without a response.
async fn serve_disconnecting(count: &Count) -> std::net::SocketAddr {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    let count = Arc::clone(count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let read = stream.read(&mut buffer).await.unwrap_or(0);
            count.fetch_add(usize::from(read > 0), Ordering::SeqCst);
        }
    });
    address
}

#[tokio::test]
async fn internal_headers_from_callers_and_upstreams_are_removed() {
    let upstream = Router::new().fallback(async |headers: HeaderMap| {
        assert!(!headers.contains_key("sardinestall-fleet-key"));
        assert!(!headers.contains_key("sardinestall-forged"));
        assert!(!headers.contains_key("x-hop"));
        assert!(!headers.contains_key("keep-alive"));
        let response = [
            ("sardinestall-outcome", "not-run"),
            ("sardinestall-kind", "overloaded"),
            ("x-own", "1"),
        ];
        (http::StatusCode::SERVICE_UNAVAILABLE, response, "no")
    });
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let request = request(node.ingress.address(), "GET", "/proofs")
        .header("sardinestall-forged", "1")
        .header("connection", "x-hop, keep-alive")
        .header("x-hop", "1")
        .header("keep-alive", "timeout=5")
        .body(Full::default());
    let response = send(request.expect("a request")).await.expect("a response");
    assert_eq!(response.status, 503);
    assert_eq!(response.outcome(), None);
    assert_eq!(response.header("sardinestall-kind"), None);
    assert_eq!(response.header("sardinestall-load"), None);
    assert_eq!(response.header("x-own"), Some("1"));
    assert_eq!(node.counter("sardinestall_retries_total"), 0);
}

#[tokio::test]
async fn only_idempotent_calls_are_retried_after_a_broken_connection() {
    let (broken, whole) = (Count::default(), Count::default());
    let nodes = [
        Node::start("a-1", "proofdesk", 12, serve_disconnecting(&broken).await).await,
        Node::start("a-2", "proofdesk", 12, serve_echo(&whole).await).await,
    ];
    join(&nodes);
    nodes[0].install(&[("/", "proofdesk", Rules::default())]);
    let ingress = nodes[0].ingress.address();
    while broken.load(Ordering::SeqCst) == 0 {
        assert_eq!(call(ingress, "GET", "/", "").await.status, 200);
    }
    let before = broken.load(Ordering::SeqCst);
    let mut unknown = 0;
    while unknown == 0 {
        let response = call(ingress, "POST", "/", "once").await;
        if response.outcome() == Some("unknown") {
            assert_eq!(response.header("sardinestall-kind"), Some("broken"));
            assert_eq!(response.header("retry-after"), None);
            unknown += 1;
        }
    }
    assert_eq!(broken.load(Ordering::SeqCst) - before, unknown);
}

#[tokio::test]
async fn call_refused_by_a_draining_upstream_is_retried_with_its_body() {
    let (count, leaving) = (Count::default(), Count::default());
    let nodes = [
        Node::start("a-1", "proofdesk", 12, serve_echo(&leaving).await).await,
        Node::start("a-2", "proofdesk", 12, serve_echo(&count).await).await,
    ];
    join(&nodes);
    nodes[0].install(&[("/", "proofdesk", Rules::default())]);
    assert!(nodes[0].backend.drain());
    for _ in 0..20 {
        let response = call(nodes[0].ingress.address(), "POST", "/", "notice").await;
        assert_eq!(
            (response.status.as_u16(), &response.body[..]),
            (200, &b"notice"[..])
        );
    }
    assert_eq!(count.load(Ordering::SeqCst), 20);
    assert_eq!(leaving.load(Ordering::SeqCst), 0);
    nodes[1].backend.drain();
    let response = call(nodes[0].ingress.address(), "POST", "/", "notice").await;
    assert_eq!(response.outcome(), Some("not-run"));
    assert_eq!(response.header("sardinestall-kind"), Some("leaving"));
    assert_eq!(response.header("retry-after"), Some("1"));
}

#[tokio::test]
async fn idle_connection_closed_by_the_upstream_is_not_reused() {
    let listener = bind().await;
    let address = listener.local_addr().expect("an address");
    let count = Count::default();
    let runs = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            if stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                runs.fetch_add(1, Ordering::SeqCst);
                // The response does not announce the close.
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(response).await;
            }
        }
    });
    let node = Node::start("a-1", "decisions", 12, address).await;
    node.install(&[("/", "decisions", Rules::default())]);
    for i in 1..=20 {
        let response = call(node.ingress.address(), "POST", "/", "x").await;
        // A close while the request is being sent gives an unknown outcome, never a second run.
        assert!(response.status == 200 || response.outcome() == Some("unknown"));
        assert!(count.load(Ordering::SeqCst) <= i);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn duplicate_key_is_refused_without_a_second_run() {
    let (count, open) = (Count::default(), Arc::new(Semaphore::new(0)));
    let state = (Arc::clone(&count), Arc::clone(&open));
    let run = async |State((count, open)): State<(Count, Arc<Semaphore>)>| {
        count.fetch_add(1, Ordering::SeqCst);
        open.acquire().await.expect("never closed").forget();
        "done"
    };
    let upstream = serve(Router::new().fallback(run).with_state(state)).await;
    let node = Node::start("a-1", "decisions", 12, upstream).await;
    node.install(&[("/", "decisions", Rules::default())]);
    let ingress = node.ingress.address();
    let send_keyed = move || {
        let request = request(ingress, "POST", "/notices").header("idempotency-key", "notice-7");
        send(request.body(Full::default()).expect("a request"))
    };
    let first = tokio::spawn(send_keyed());
    wait_until("the first run", || count.load(Ordering::SeqCst) == 1).await;
    let concurrent = send_keyed().await.expect("a response");
    assert_eq!(concurrent.status, 409);
    assert_eq!(concurrent.outcome(), Some("unknown"));
    open.add_permits(1);
    let first = first.await.expect("no panic").expect("a response");
    assert_eq!(first.status, 200);
    let late = send_keyed().await.expect("a response");
    assert_eq!((late.status.as_u16(), late.outcome()), (409, Some("ran")));
    assert_eq!(late.header("sardinestall-kind"), Some("duplicate"));
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn body_over_the_limit_is_refused_before_and_during_streaming() {
    let count = Count::default();
    let node = Node::start("a-1", "proofdesk", 12, serve_echo(&count).await).await;
    let rules = Rules {
        body_limit: Size::new(100_000),
        ..Rules::default()
    };
    node.install(&[("/", "proofdesk", rules)]);
    let ingress = node.ingress.address();
    let large = "x".repeat(200_000);
    let response = call(ingress, "PUT", "/", &large).await;
    assert_eq!(
        (response.status.as_u16(), response.outcome()),
        (413, Some("not-run"))
    );
    let mut stream = tokio::net::TcpStream::connect(ingress).await.expect("open");
    let head = format!(
        "PUT / HTTP/1.1\r\nhost: {}\r\ntransfer-encoding: chunked\r\n\r\n",
        support::HOST
    );
    stream.write_all(head.as_bytes()).await.expect("open");
    let chunk = format!("30d40\r\n{large}\r\n0\r\n\r\n");
    let _ = stream.write_all(chunk.as_bytes()).await;
    let mut buffer = vec![0; 4_096];
    let read = stream.read(&mut buffer).await.expect("a response");
    let text = String::from_utf8_lossy(&buffer[..read]).to_string();
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains("sardinestall-outcome: unknown"), "{text}");
    assert_eq!(count.load(Ordering::SeqCst), 0);
    let within = "x".repeat(90_000);
    let response = call(ingress, "PUT", "/", &within).await;
    assert_eq!(
        (response.status.as_u16(), response.body.len()),
        (200, 90_000)
    );
}

#[tokio::test]
async fn response_body_past_the_deadline_or_cut_off_is_an_error() {
    let endless = async || {
        let start = futures_util::stream::iter([Ok::<_, std::io::Error>(Bytes::from("begun"))]);
        axum::body::Body::from_stream(futures_util::StreamExt::chain(
            start,
            futures_util::stream::pending(),
        ))
    };
    let broken = async || {
        let start = futures_util::stream::iter([Ok(Bytes::from("begun"))]);
        let cut = futures_util::stream::once(async {
            // The head and the first part have been sent by then.
            tokio::time::sleep(Duration::from_millis(20)).await;
            Err(std::io::Error::other("cut"))
        });
        axum::body::Body::from_stream(futures_util::StreamExt::chain(start, cut))
    };
    let upstream = Router::new()
        .route("/endless", get(endless))
        .route("/broken", get(broken));
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    let rules = Rules {
        timeout: Millis::new(300),
        ..Rules::default()
    };
    node.install(&[("/", "proofdesk", rules)]);
    for path in ["/endless", "/broken"] {
        let request = request(node.ingress.address(), "GET", path).body(Full::default());
        let response = send(request.expect("a request")).await;
        assert!(response.is_err(), "{response:?}");
    }
}

#[tokio::test]
async fn deadline_header_from_the_caller_limits_the_call() {
    let upstream = Router::new().fallback(async |headers: HeaderMap| {
        let left = headers["sardinestall-deadline-ms"].to_str().expect("text");
        assert!(left.parse::<u64>().expect("a number") <= 150);
        std::future::pending::<()>().await;
    });
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let request = request(node.ingress.address(), "POST", "/")
        .header("sardinestall-deadline-ms", "150")
        .body(Full::default());
    let response = send(request.expect("a request")).await.expect("a response");
    assert_eq!(
        (response.status.as_u16(), response.outcome()),
        (504, Some("unknown"))
    );
}

#[tokio::test]
async fn disconnect_of_the_caller_cancels_the_upstreams_run() {
    struct Dropped(Arc<AtomicUsize>);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let (started, dropped) = (Count::default(), Count::default());
    let state = (Arc::clone(&started), Arc::clone(&dropped));
    let run = async |State((started, dropped)): State<(Count, Count)>| {
        let _dropped = Dropped(dropped);
        started.fetch_add(1, Ordering::SeqCst);
        std::future::pending::<()>().await;
    };
    let upstream = serve(Router::new().fallback(run).with_state(state)).await;
    let node = Node::start("a-1", "proofdesk", 12, upstream).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    let request = request(node.ingress.address(), "GET", "/").body(Full::default());
    let caller = tokio::spawn(send(request.expect("a request")));
    wait_until("the run", || started.load(Ordering::SeqCst) == 1).await;
    caller.abort();
    wait_until("the cancellation of the run", || {
        dropped.load(Ordering::SeqCst) == 1
    })
    .await;
}

#[tokio::test]
async fn queued_calls_are_refused_when_the_upstream_drains() {
    let (count, open) = (Count::default(), Arc::new(Semaphore::new(0)));
    let state = (Arc::clone(&count), Arc::clone(&open));
    let run = async |State((count, open)): State<(Count, Arc<Semaphore>)>| {
        count.fetch_add(1, Ordering::SeqCst);
        open.acquire().await.expect("never closed").forget();
        "done"
    };
    let upstream = serve(Router::new().fallback(run).with_state(state)).await;
    let node = Node::start("a-1", "decisions", 1, upstream).await;
    node.install(&[("/", "decisions", Rules::default())]);
    let ingress = node.ingress.address();
    let running = tokio::spawn(async move { call(ingress, "POST", "/", "").await });
    wait_until("the run", || count.load(Ordering::SeqCst) == 1).await;
    let waiting = tokio::spawn(async move { call(ingress, "POST", "/", "").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut leaving = node.announcement.clone();
    leaving.state = Readiness::Draining;
    node.backend.announce(leaving);
    let waiting = waiting.await.expect("no panic");
    assert_eq!(waiting.outcome(), Some("not-run"));
    open.add_permits(1);
    assert_eq!(running.await.expect("no panic").status, 200);
    assert_eq!(count.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn failure_at_the_end_of_a_call_chain_is_retried_by_one_layer_only() {
    let runs = Count::default();
    let services = ["decisions", "galleys", "proofdesk"];
    let mut nodes =
        vec![Node::start("z-1", services[0], 12, serve_disconnecting(&runs).await).await];
    nodes.push(Node::start("z-2", services[0], 12, serve_disconnecting(&runs).await).await);
    nodes.push(Node::start("z-3", services[0], 12, serve_disconnecting(&runs).await).await);
    // Each upstream calls the previous service through its own daemon and returns that response.
    let mut next = nodes[0].ingress.address();
    for (i, service) in services.iter().enumerate().skip(1) {
        let path = format!("/{}", services[i - 1]);
        let proxy = any(async move || {
            let response = call(next, "GET", &path, "").await;
            (response.status, response.headers, response.body)
        });
        let node = Node::start(
            &format!("n-{i}"),
            service,
            12,
            serve(Router::new().fallback(proxy)).await,
        )
        .await;
        next = node.ingress.address();
        nodes.push(node);
    }
    join(&nodes);
    for node in &nodes {
        node.install(&[
            ("/decisions", services[0], Rules::default()),
            ("/galleys", services[1], Rules::default()),
            ("/proofs", services[2], Rules::default()),
        ]);
    }
    let response = call(next, "GET", "/proofs", "").await;
    assert_eq!(response.status, 502);
    assert_eq!(response.outcome(), None);
    assert_eq!(runs.load(Ordering::SeqCst), 3);
}

#[tokio::test]
async fn slot_of_a_caller_that_stops_reading_is_freed_at_the_deadline() {
    let large = Bytes::from(vec![b'x'; 32 << 20]);
    let upstream = Router::new()
        .route("/large", get(async move || large))
        .route("/small", get(async || "whole"));
    let node = Node::start("a-1", "proofdesk", 1, serve(upstream).await).await;
    let rules = Rules {
        timeout: Millis::new(300),
        ..Rules::default()
    };
    node.install(&[("/", "proofdesk", rules)]);
    let ingress = node.ingress.address();
    let mut idle = tokio::net::TcpStream::connect(ingress).await.expect("open");
    let head = format!("GET /large HTTP/1.1\r\nhost: {}\r\n\r\n", support::HOST);
    idle.write_all(head.as_bytes()).await.expect("open");
    let mut begun = [0; 12];
    idle.read_exact(&mut begun)
        .await
        .expect("the response begins");
    let busy = call(ingress, "GET", "/small", "").await;
    assert_eq!(busy.outcome(), Some("not-run"));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert_eq!(call(ingress, "GET", "/small", "").await.status, 200);
    drop(idle);
}

/// An upstream that is full may never answer, nor any later call on that connection.
#[tokio::test]
async fn idempotent_call_at_a_silent_upstream_is_answered_by_another() {
    let (silent, other) = (Count::default(), Count::default());
    let fall_silent = async |State(silent): State<Count>| {
        // The first calls make the usual latency known.
        if silent.fetch_add(1, Ordering::SeqCst) >= 20 {
            std::future::pending::<()>().await;
        }
    };
    let upstream = Router::new()
        .fallback(fall_silent)
        .with_state(Arc::clone(&silent));
    let nodes = [
        Node::start("a-1", "proofdesk", 12, serve(upstream).await).await,
        Node::start("a-2", "proofdesk", 12, serve_echo(&other).await).await,
    ];
    join(&nodes);
    let once = Rules {
        idempotent: Some(false),
        timeout: Millis::new(500),
        ..Rules::default()
    };
    nodes[0].install(&[
        ("/", "proofdesk", Rules::default()),
        ("/once", "proofdesk", once),
    ]);
    let ingress = nodes[0].ingress.address();
    while silent.load(Ordering::SeqCst) < 23 {
        let response = call(ingress, "GET", "/", "").await;
        assert_eq!(response.status, 200, "{response:?}");
    }
    // A call that runs once is not sent to a second upstream, and is not said not to have run.
    let before = silent.load(Ordering::SeqCst);
    let mut unknown = 0;
    while unknown == 0 {
        let response = call(ingress, "POST", "/once", "").await;
        unknown += usize::from(response.outcome() == Some("unknown"));
        assert_ne!(response.outcome(), Some("not-run"));
    }
    assert_eq!(silent.load(Ordering::SeqCst) - before, unknown);
}
