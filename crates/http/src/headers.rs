//! Headers defined by HTTP/1.1.

/// Headers that a proxy never forwards because they apply to one connection (RFC
/// 9110, section 7.6.1), and the length, which is set anew for each body.
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
