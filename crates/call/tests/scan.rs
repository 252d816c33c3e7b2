//! Request heads that the scanner finds in the bytes of a connection.

use call::scan::{Head, Scanner};

/// Feeds `bytes` in chunks of `size` bytes and returns the heads found.
fn heads(bytes: &[u8], size: usize) -> Vec<Head> {
    let mut scanner = Scanner::default();
    bytes
        .chunks(size)
        .flat_map(|chunk| scanner.feed(chunk))
        .collect()
}

fn paths(heads: &[Head]) -> Vec<Option<String>> {
    let path = |head: &Head| {
        head.request
            .as_ref()
            .map(|request| request.uri().to_string())
    };
    heads.iter().map(path).collect()
}

#[test]
fn pipelined_requests_are_found_for_any_chunk_size() {
    let bytes = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\nGET /b HTTP/1.1\r\nhost: x\r\n\r\n";
    for size in [1, 7, 1_000] {
        let found = heads(bytes, size);
        assert_eq!(paths(&found), [Some("/a".into()), Some("/b".into())]);
        assert_eq!((found[0].ordinal, found[1].ordinal), (0, 1));
    }
}

#[test]
fn body_of_known_length_is_skipped() {
    // The body contains the text of a request.
    let bytes = b"POST /a HTTP/1.1\r\ncontent-length: 18\r\n\r\nGET /c HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
    let found = heads(&bytes[..], 5);
    assert_eq!(paths(&found)[0], None);
    assert!(!paths(&found).contains(&Some("/c".into())));
}

#[test]
fn scanning_stops_at_a_chunked_body() {
    let bytes = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n12\r\nGET /c HTTP/1.1\r\n\r\n\r\n0\r\n\r\n";
    let found = heads(&bytes[..], 1_000);
    assert_eq!(paths(&found), [None]);
}

#[test]
fn body_length_stated_twice_is_ambiguous() {
    for headers in [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 3",
        "content-length: 3\r\ncontent-length: 4",
    ] {
        let bytes = format!("POST /a HTTP/1.1\r\n{headers}\r\n\r\n");
        let found = heads(bytes.as_bytes(), 1_000);
        assert!(found[0].ambiguous, "{headers}");
    }
}

#[test]
fn scanning_stops_at_malformed_bytes() {
    let mut scanner = Scanner::default();
    assert!(scanner.feed(b"\x16\x03\x01\r\n\r\n").is_empty());
    assert!(scanner.feed(b"GET /a HTTP/1.1\r\n\r\n").is_empty());
}
