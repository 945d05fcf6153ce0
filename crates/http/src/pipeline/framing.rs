//! Finds where requests end in the bytes of a connection.
//!
//! The rules are narrower than those of HTTP: what is not clearly delimited is left
//! to hyper, and with it all that follows on that connection.

use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};

/// Header fields that a head may have; as many as hyper allows.
const MAX_HEADERS: usize = 100;

/// What the bytes at the beginning of a request are.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// The head goes on.
    Partial,
    /// hyper has to decide about this and all that follows.
    Unsupported,
    /// A complete head whose body has a known length.
    Complete(Framing),
}

/// The extent of a request.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Framing {
    /// Bytes of the head.
    pub(crate) head_bytes: usize,
    /// Bytes of the body.
    pub(crate) body_bytes: u64,
    /// Whether the connection stays open for requests behind it.
    pub(crate) keeps_connection: bool,
}

impl Framing {
    /// Returns the bytes of head and body.
    pub(crate) fn total_bytes(&self) -> u64 {
        (self.head_bytes as u64).saturating_add(self.body_bytes)
    }

    /// Returns whether the request can be served before its turn.
    pub(crate) fn can_start_early(&self) -> bool {
        self.body_bytes == 0 && self.keeps_connection
    }
}

/// Returns whether `bytes` may contain the end of a head, of which the first
/// `searched` bytes are known not to contain it.
pub(crate) fn has_head_end(bytes: &[u8], searched: usize) -> bool {
    let mut rest = &bytes[searched.saturating_sub(3).min(bytes.len())..];
    while let Some(at) = rest.iter().position(|&byte| byte == b'\n') {
        rest = &rest[at + 1..];
        if rest.starts_with(b"\n") || rest.starts_with(b"\r\n") {
            return true;
        }
    }
    false
}

/// Finds the extent of the request that begins with `bytes`.
pub(crate) fn scan(bytes: &[u8]) -> Scan {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let head_bytes = match head.parse(bytes) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Scan::Partial,
        Err(_) => return Scan::Unsupported,
    };
    if head.version != Some(1) || head.method == Some(Method::CONNECT.as_str()) {
        return Scan::Unsupported;
    }
    // A bare line end is valid to hyper, but not to every program.
    if has_bare_line_end(&bytes[..head_bytes]) {
        return Scan::Unsupported;
    }
    let mut body_bytes = None;
    let mut keeps_connection = true;
    for field in head.headers.iter() {
        let is = |name: &hyper::header::HeaderName| field.name.eq_ignore_ascii_case(name.as_str());
        if is(&TRANSFER_ENCODING) || is(&UPGRADE) || is(&EXPECT) {
            return Scan::Unsupported;
        }
        if is(&CONTENT_LENGTH) {
            match (body_bytes, parse_length(field.value)) {
                (None, Some(length)) => body_bytes = Some(length),
                _ => return Scan::Unsupported,
            }
        }
        if is(&CONNECTION) && !field.value.eq_ignore_ascii_case(b"keep-alive") {
            keeps_connection = false;
        }
    }
    Scan::Complete(Framing {
        head_bytes,
        body_bytes: body_bytes.unwrap_or(0),
        keeps_connection,
    })
}

/// Parses a complete head; none if hyper would refuse it.
pub(crate) fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    if !head.parse(bytes).ok()?.is_complete() {
        return None;
    }
    let mut req = Request::builder()
        .method(head.method?)
        .uri(head.path?.parse::<Uri>().ok()?);
    for field in head.headers.iter() {
        req = req.header(field.name, field.value);
    }
    Some(req.body(()).ok()?.into_parts().0)
}

fn has_bare_line_end(head: &[u8]) -> bool {
    let mut before = None;
    head.iter().any(|&byte| {
        let is_bare = byte == b'\n' && before != Some(b'\r');
        before = Some(byte);
        is_bare
    })
}

fn parse_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
