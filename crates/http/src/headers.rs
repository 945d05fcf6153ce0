//! Headers that HTTP/1.1 itself defines.

/// Headers that belong to one connection and never pass a proxy (RFC 9110,
/// section 7.6.1), and the length, which is written anew with each body.
pub const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];
