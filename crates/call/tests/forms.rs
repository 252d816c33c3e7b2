//! Methods, HTTP versions, trailers and streams that are forwarded unchanged.

mod support;

use axum::Router;
use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, Version};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use model::Rules;
use support::{Node, request, send, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn start(upstream: Router) -> Node {
    let node = Node::start("a-1", "proofdesk", 12, serve(upstream).await).await;
    node.install(&[("/", "proofdesk", Rules::default())]);
    node
}

#[tokio::test]
async fn head_response_keeps_its_content_length() {
    let node = start(Router::new().fallback(async || "twelve bytes")).await;
    let request = request(node.ingress.address(), "HEAD", "/").body(Full::default());
    let response = send(request.expect("a request")).await.expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("content-length"), Some("12"));
    assert!(response.body.is_empty());
}

#[tokio::test]
async fn trailers_are_forwarded_over_http1_and_http2() {
    let run = async |headers: HeaderMap| {
        assert_eq!(headers["te"], "trailers");
        let mut trailers = HeaderMap::new();
        trailers.insert("x-sum", "7".parse().expect("a value"));
        let frames = [
            Ok::<_, std::io::Error>(Frame::data(Bytes::from("body"))),
            Ok(Frame::trailers(trailers)),
        ];
        let body = StreamBody::new(futures_util::stream::iter(frames));
        Response::builder()
            .header("trailer", "x-sum")
            .body(Body::new(body))
            .expect("a response")
    };
    let node = start(Router::new().fallback(run)).await;
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let client = Client::builder(TokioExecutor::new())
            .http2_only(version == Version::HTTP_2)
            .build_http::<Full<Bytes>>();
        let request = Request::builder()
            .uri(format!("http://{}/", node.ingress.address()))
            .version(version)
            .header("te", "trailers")
            .body(Full::default());
        let response = client.request(request.expect("a request")).await;
        let body = response.expect("a response").into_body().collect().await;
        let body = body.expect("a complete response");
        assert_eq!(body.trailers().expect("trailers")["x-sum"], "7");
        assert_eq!(body.to_bytes(), "body");
    }
}

#[tokio::test]
async fn expect_continue_gets_100_continue() {
    let node = start(Router::new().fallback(async |body: Bytes| body)).await;
    let address = node.ingress.address();
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("open");
    let head = format!(
        "PUT / HTTP/1.1\r\nhost: {}\r\nexpect: 100-continue\r\ncontent-length: 4\r\nconnection: close\r\n\r\n",
        support::HOST
    );
    stream.write_all(head.as_bytes()).await.expect("open");
    let mut interim = [0; 25];
    stream
        .read_exact(&mut interim)
        .await
        .expect("an interim response");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"body").await.expect("open");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.ends_with("body"), "{response}");
}

#[tokio::test]
async fn bodies_stream_in_both_directions_without_buffering() {
    let node = start(Router::new().fallback(async |body: Body| body)).await;
    let (parts, frames) = tokio::sync::mpsc::channel::<Bytes>(1);
    let stream = futures_util::stream::unfold(frames, async |mut frames| {
        let part = frames.recv().await?;
        Some((Ok::<_, std::io::Error>(Frame::data(part)), frames))
    });
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request =
        request(node.ingress.address(), "PUT", "/").body(StreamBody::new(Box::pin(stream)));
    parts.send(Bytes::from("first")).await.expect("open");
    let response = client.request(request.expect("a request")).await;
    let mut body = response.expect("a response").into_body();
    let mut received = Vec::new();
    // Each part is echoed before the next one is sent.
    for part in ["first", "second", "third"] {
        if part != "first" {
            parts.send(Bytes::from(part)).await.expect("open");
        }
        let frame = body.frame().await.expect("a part").expect("no error");
        received.push(frame.into_data().expect("data"));
    }
    assert_eq!(received, ["first", "second", "third"]);
    drop(parts);
    assert!(body.frame().await.is_none());
}
