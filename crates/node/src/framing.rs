//! Rejects requests that two parsers could interpret differently.
//!
//! Nodes route by a request's target and forward its body over connections that
//! other requests share. A target that changes on the way to the next hop could
//! reach the wrong owner; a body of ambiguous length could hide a second
//! request (RFC 9112, section 11.2).

use ibiscove_types::Reason;
use trillium_client::Url;
use trillium_http::transport::BoxedTransport;
use trillium_http::{Conn, Headers, KnownHeaderName, Version};

/// Checks a request that the HTTP library has parsed.
pub(crate) fn check(conn: &Conn<BoxedTransport>) -> Result<(), Reason> {
    let headers = conn.request_headers();
    let is_unambiguous = has_one_host(conn.http_version(), headers)
        && has_one_length(headers)
        && is_normalised_target(conn.path_and_query());
    if is_unambiguous {
        return Ok(());
    }
    Err(Reason::MalformedRequest)
}

/// RFC 9112, section 3.2.
fn has_one_host(version: Version, headers: &Headers) -> bool {
    match value_count(headers, KnownHeaderName::Host) {
        0 => version != Version::Http1_1,
        count => count == 1,
    }
}

/// RFC 9112, section 6.3. Chunked is the only accepted transfer coding.
fn has_one_length(headers: &Headers) -> bool {
    let lengths = value_count(headers, KnownHeaderName::ContentLength);
    let codings = value_count(headers, KnownHeaderName::TransferEncoding);
    match (lengths, codings) {
        (0, 0) => true,
        (1, 0) => headers
            .get_str(KnownHeaderName::ContentLength)
            .is_some_and(is_decimal),
        (0, 1) => headers.eq_ignore_ascii_case(KnownHeaderName::TransferEncoding, "chunked"),
        _ => false,
    }
}

/// Digits only: parsers differ in how they read a sign or a space.
fn is_decimal(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_digit()) && text.parse::<u64>().is_ok()
}

fn value_count(headers: &Headers, name: KnownHeaderName) -> usize {
    headers.get_values(name).map_or(0, |values| values.len())
}

/// Returns whether the target is a path that reaches the next hop unchanged,
/// without dot segments resolved or bytes encoded on the way.
fn is_normalised_target(target: &str) -> bool {
    let path = target.split('?').next().unwrap_or_default();
    if !path.starts_with('/') || target.contains('#') {
        return false;
    }
    match Url::parse(&format!("http://node{target}")) {
        Ok(url) => url.path() == path,
        Err(_) => false,
    }
}
