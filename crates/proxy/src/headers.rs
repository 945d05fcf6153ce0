//! Names of the headers that callers, upstreams and nodes exchange.

use hyper::HeaderMap;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use ibiscove_http::headers::HOP_BY_HOP;

/// The outcome of a request: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("ibiscove-outcome");
/// Why it was refused.
pub const REASON: HeaderName = HeaderName::from_static("ibiscove-reason");
/// On a forwarded request: its metadata, see [`crate::forward`].
pub const FORWARD: HeaderName = HeaderName::from_static("ibiscove-forward");
/// On a gate's response: its load, the typical latency of its upstream in
/// microseconds, and how many requests that processes at a time.
pub const GATE_LOAD: HeaderName = HeaderName::from_static("ibiscove-gate-load");
/// On a gate's response: what its upstream has said about itself, see
/// [`crate::upstream_notice`].
pub const UPSTREAM_NOTICE: HeaderName = HeaderName::from_static("ibiscove-upstream-notice");
/// On a gate's response: what it knows of a request beside which upstreams have
/// crashed, see [`crate::suspects`].
pub const CRASH_RECORD: HeaderName = HeaderName::from_static("ibiscove-crash-record");
/// On a refusal between nodes: milliseconds until there is free capacity.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("ibiscove-retry-after-ms");

/// On a node's response: `1` if it is a page that more follow. Nodes without pages
/// respond with everything at once, and without this header.
pub const MORE_PAGES: HeaderName = HeaderName::from_static("ibiscove-more-pages");
/// On a refusal between nodes: where the gate's node refused, see
/// [`crate::refusal::Place`].
pub const REFUSAL_PLACE: HeaderName = HeaderName::from_static("ibiscove-refusal-place");

/// Names of the headers that a deployment may choose.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// From the caller, echoed by the upstream: the id of one attempt of the
    /// caller.
    pub request_id: HeaderName,
    /// Milliseconds that the sender of the request waits for a response.
    pub deadline_ms: HeaderName,
    /// From the caller: the numeric key of a request to a divided service.
    pub key: HeaderName,
    /// To the upstream: the service whose instance sent the request.
    pub caller_service: HeaderName,
    /// To the upstream: the id of the upstream that the request is meant for.
    pub expected_upstream: HeaderName,
    /// From the upstream: marks a request that it did not run.
    pub not_executed: HeaderName,
    /// From the upstream: proof that it produced the response; none where
    /// upstreams send no proof.
    pub proof: Option<HeaderName>,
    /// From the upstream: requests a second that it takes from all nodes together.
    pub max_rate: HeaderName,
    /// From the upstream: `1` if it is leaving.
    pub leaving: HeaderName,
    /// From the upstream, on health answers: its id.
    pub upstream_id: HeaderName,
    /// From the upstream, on health answers: milliseconds for which it stays cold.
    pub cold_ms: HeaderName,
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
            max_rate: HeaderName::from_static("ibiscove-max-rate"),
            leaving: HeaderName::from_static("ibiscove-leaving"),
            upstream_id: HeaderName::from_static("ibiscove-upstream-id"),
            cold_ms: HeaderName::from_static("ibiscove-cold-for-ms"),
        }
    }
}

/// Removes the hop-by-hop headers.
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

/// Removes the headers that are only for other nodes.
pub fn remove_internode(headers: &mut HeaderMap) {
    for name in [
        FORWARD,
        GATE_LOAD,
        UPSTREAM_NOTICE,
        CRASH_RECORD,
        RETRY_AFTER_MS,
        REFUSAL_PLACE,
    ] {
        headers.remove(name);
    }
}

/// Removes the headers by which only nodes tell of a request, from an upstream's response.
pub fn remove_verdict(headers: &mut HeaderMap) {
    remove_internode(headers);
    for name in [OUTCOME, REASON] {
        headers.remove(name);
    }
}

/// Returns a header as text; none when it is absent or not text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Converts JSON to a header value. DEL is the only character that JSON may contain and a
/// header value may not; it can only be part of a string.
pub fn json_value(json: &str) -> HeaderValue {
    value(&json.replace('\u{7f}', "\\u007f"))
}

/// Converts text to a header value; invalid text gives an empty value.
pub fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        log::warn!("a header value contains characters that HTTP does not allow and is sent empty");
        HeaderValue::from_static("")
    })
}
