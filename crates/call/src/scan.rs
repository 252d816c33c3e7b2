//! Finds the heads of requests in the bytes of a connection, ahead of the server that answers them.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderName, HeaderValue, Method, Request, Uri};

/// Headers that a head may have to be looked at.
const MAX_HEADERS: usize = 100;

/// Largest head that is looked at, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What comes next in the bytes.
#[derive(Debug)]
enum Expect {
    /// A head, of which these bytes came already.
    Head(Vec<u8>),
    /// So many bytes of a body.
    Body(u64),
    /// Unknown: nothing more is looked for on this connection.
    Nothing,
}

/// One request's head.
#[derive(Debug)]
pub struct Head {
    /// Position of the request on its connection.
    pub ordinal: u64,
    /// The request, if it has no body and its method is safe.
    pub request: Option<Request<()>>,
    /// Whether it states its body's length in two ways, which receivers may read differently.
    pub ambiguous: bool,
}

/// Follows the bytes of one connection.
///
/// After a body of unknown length it looks for nothing any more: where the next head begins is then known
/// to the server alone, and a guess could take a body's bytes for a request.
#[derive(Debug)]
pub struct Scanner {
    expect: Expect,
    ordinal: u64,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            expect: Expect::Head(Vec::new()),
            ordinal: 0,
        }
    }
}

impl Scanner {
    /// Takes the next bytes, and returns the heads that end in them.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Vec<Head> {
        let mut heads = Vec::new();
        while !bytes.is_empty() {
            match &mut self.expect {
                Expect::Nothing => break,
                Expect::Body(left) => {
                    let skipped = (*left).min(bytes.len() as u64);
                    *left -= skipped;
                    bytes = &bytes[skipped as usize..];
                    if *left == 0 {
                        self.expect = Expect::Head(Vec::new());
                    }
                }
                Expect::Head(begun) => {
                    let known = begun.len();
                    begun.extend_from_slice(bytes);
                    let Some((size, parsed)) = parse(begun) else {
                        if begun.len() > MAX_HEAD_BYTES {
                            self.expect = Expect::Nothing;
                        }
                        break;
                    };
                    bytes = &bytes[size - known..];
                    let Some(parsed) = parsed else {
                        self.expect = Expect::Nothing;
                        break;
                    };
                    self.expect = parsed.next;
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

/// A head that ended.
struct Parsed {
    next: Expect,
    request: Option<Request<()>>,
    ambiguous: bool,
}

/// Returns the size of a whole head and what it says; `None` while it is not whole.
///
/// A head that cannot be read has the size of all bytes and says nothing.
fn parse(bytes: &[u8]) -> Option<(usize, Option<Parsed>)> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    match head.parse(bytes) {
        Ok(httparse::Status::Partial) => None,
        Ok(httparse::Status::Complete(size)) => Some((size, read(&head))),
        Err(_) => Some((bytes.len(), None)),
    }
}

fn read(head: &httparse::Request<'_, '_>) -> Option<Parsed> {
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
        _ if chunked || ambiguous => Expect::Nothing,
        Some(length) if length > 0 => Expect::Body(length),
        _ => Expect::Head(Vec::new()),
    };
    let is_whole = matches!(next, Expect::Head(_));
    let request = (is_whole && request.method().is_safe()).then_some(request);
    Some(Parsed {
        next,
        request,
        ambiguous,
    })
}
