//! Names of the headers that callers, upstreams and nodes exchange.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use ibiscove_http::headers::HOP_BY_HOP;

/// What became of the request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("ibiscove-outcome");
/// Why it was refused.
pub const REASON: HeaderName = HeaderName::from_static("ibiscove-reason");
/// On a forwarded request: what the entry decided, see [`crate::forward`].
pub const FORWARD: HeaderName = HeaderName::from_static("ibiscove-forward");
/// On a gate's answer: its load and the usual time of a request there.
pub const GATE_LOAD: HeaderName = HeaderName::from_static("ibiscove-gate-load");
/// On a refusal between nodes: milliseconds until there is room.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("ibiscove-retry-after-ms");

/// Headers whose names a deployment chooses. The defaults are the product's
/// own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// From the caller, and echoed by the upstream: names one attempt of a
    /// caller.
    pub request_id: HeaderName,
    /// How many milliseconds whoever sent the request waits.
    pub deadline_ms: HeaderName,
    /// From the caller: the key, a number, of a divided service.
    pub key: HeaderName,
    /// To the upstream: the service beside which the request began.
    pub caller_service: HeaderName,
    /// To the upstream: the id of the one that is meant.
    pub expected_upstream: HeaderName,
    /// From the upstream: it did not run the request.
    pub not_executed: HeaderName,
    /// From the upstream: its proof that the answer is its own; none where
    /// upstreams give none.
    pub proof: Option<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("ibiscove-request-id"),
            deadline_ms: HeaderName::from_static("ibiscove-timeout-ms"),
            key: HeaderName::from_static("ibiscove-key"),
            caller_service: HeaderName::from_static("ibiscove-caller"),
            expected_upstream: HeaderName::from_static("ibiscove-expect-upstream"),
            not_executed: HeaderName::from_static("ibiscove-not-run"),
            proof: None,
        }
    }
}

/// Removes the headers that belong to the connection they came on.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
}

/// Removes the headers that nodes exchange, which mean nothing to others.
pub fn remove_between_nodes(headers: &mut HeaderMap) {
    for name in [FORWARD, GATE_LOAD, RETRY_AFTER_MS] {
        headers.remove(name);
    }
}

/// A header as text; none when it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header value made of text; text that cannot be one becomes empty.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        log::warn!("a header value has characters that HTTP does not allow");
        HeaderValue::from_static("")
    })
}
