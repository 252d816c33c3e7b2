//! Scanner that finds request heads in the bytes of a connection, ahead of the server.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, Method, Request, Uri};

/// Maximum number of headers in a head that is parsed.
const MAX_HEADERS: usize = 100;

/// Largest head that is parsed, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Position of the scanner within the connection.
#[derive(Debug)]
enum Position {
    /// In a head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// In a body with this number of bytes left.
    Body(u64),
    /// Unknown; the rest of the connection is not scanned.
    Unknown,
}

/// Head of a request.
#[derive(Debug)]
pub struct Head {
    /// Position of the request on its connection.
    pub ordinal: u64,
    /// The request, if it has no body and its method is safe.
    pub request: Option<Request<()>>,
    /// Whether it states its body's length in two ways, which receivers may interpret differently.
    pub ambiguous: bool,
}

/// Scans the bytes of one connection for request heads.
///
/// Scanning stops at a body of unknown length, because only the server then knows where the next head
/// begins, and a guess could mistake bytes of a body for a request.
#[derive(Debug)]
pub struct Scanner {
    position: Position,
    ordinal: u64,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            position: Position::Head(Vec::new()),
            ordinal: 0,
        }
    }
}

impl Scanner {
    /// Consumes the next bytes and returns the heads that end in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        while !bytes.is_empty() {
            match &mut self.position {
                Position::Unknown => break,
                Position::Body(left) => {
                    let skipped = (*left).min(bytes.len() as u64);
                    *left -= skipped;
                    bytes = &bytes[skipped as usize..];
                    if *left == 0 {
                        self.position = Position::Head(Vec::new());
                    }
                }
                Position::Head(partial) => {
                    let known = partial.len();
                    partial.extend_from_slice(bytes);
                    let Some((size, parsed)) = parse(partial) else {
                        if partial.len() > MAX_HEAD_BYTES {
                            self.position = Position::Unknown;
                        }
                        break;
                    };
                    bytes = &bytes[size - known..];
                    let Some(parsed) = parsed else {
                        self.position = Position::Unknown;
                        break;
                    };
                    self.position = parsed.next;
                    heads.push(Head {
                        ordinal: self.ordinal,
                        request: parsed.request,
                        ambiguous: parsed.ambiguous,
                    });
                    self.ordinal += 1;
                }
            }
        }
        heads
    }
}

/// A complete head.
struct Parsed {
    next: Position,
    request: Option<Request<()>>,
    ambiguous: bool,
}

/// Returns the size and the content of a head, or `None` while it is incomplete.
///
/// A malformed head has the size of all bytes and no content.
fn parse(bytes: &[u8]) -> Option<(usize, Option<Parsed>)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(size)) => Some((size, convert(&head))),
        Err(_) => Some((bytes.len(), None)),
    }
}

fn convert(head: &httparse::Request<'_, '_>) -> Option<Parsed> {
    let mut request = Request::new(());
    *request.method_mut() = head.method?.parse::<Method>().ok()?;
    *request.uri_mut() = head.path?.parse::<Uri>().ok()?;
    for header in head.headers.iter() {
        let name: HeaderName = header.name.parse().ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        request.headers_mut().append(name, value);
    }
    let headers = request.headers();
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length: Option<u64> = match lengths.next() {
        Some(length) => Some(length.to_str().ok()?.trim().parse().ok()?),
        None => None,
    };
    let ambiguous = length.is_some() && (chunked || lengths.next().is_some());
    let next = match length {
        _ if chunked || ambiguous => Position::Unknown,
        Some(length) if length > 0 => Position::Body(length),
        _ => Position::Head(Vec::new()),
    };
    let has_no_body = matches!(next, Position::Head(_));
    let request = (has_no_body && request.method().is_safe()).then_some(request);
    Some(Parsed {
        next,
        request,
        ambiguous,
    })
}
