//! Forms of calls that pass through unchanged: methods, versions, trailers, streams.

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
async fn head_keeps_the_length_without_a_body() {
    let node = start(Router::new().fallback(async || "twelve bytes")).await;
    let request = request(node.ingress.address(), "HEAD", "/").body(Full::default());
    let answer = send(request.expect("a request")).await.expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("content-length"), Some("12"));
    assert!(answer.body.is_empty());
}

#[tokio::test]
async fn trailers_pass_to_callers_of_both_versions() {
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
            .expect("an answer")
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
        let body = response.expect("an answer").into_body().collect().await;
        let body = body.expect("a whole answer");
        assert_eq!(body.trailers().expect("trailers")["x-sum"], "7");
        assert_eq!(body.to_bytes(), "body");
    }
}

#[tokio::test]
async fn caller_that_waits_for_leave_to_send_gets_it() {
    let node = start(Router::new().fallback(async |body: Bytes| body)).await;
    let address = node.ingress.address();
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("open");
    let head = format!(
        "PUT / HTTP/1.1\r\nhost: {}\r\nexpect: 100-continue\r\ncontent-length: 4\r\nconnection: close\r\n\r\n",
        support::HOST
    );
    stream.write_all(head.as_bytes()).await.expect("open");
    let mut leave = [0; 25];
    stream.read_exact(&mut leave).await.expect("leave to send");
    assert_eq!(&leave, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"body").await.expect("open");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("body"), "{answer}");
}

#[tokio::test]
async fn bodies_stream_both_ways_without_being_held_whole() {
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
    let mut body = response.expect("an answer").into_body();
    let mut got = Vec::new();
    // Each part comes back before the next one is sent.
    for part in ["first", "second", "third"] {
        if part != "first" {
            parts.send(Bytes::from(part)).await.expect("open");
        }
        let frame = body.frame().await.expect("a part").expect("no error");
        got.push(frame.into_data().expect("data"));
    }
    assert_eq!(got, ["first", "second", "third"]);
    drop(parts);
    assert!(body.frame().await.is_none());
}
