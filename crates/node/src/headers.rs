//! Headers that nodes add, and those that are never forwarded.

use ibiscove_http::headers::HOP_BY_HOP;
use trillium_http::{HeaderName, Headers};

/// Prefix of all headers of ibiscove. They are never copied from hop to hop, so
/// a caller cannot set them for the next hop.
pub(crate) const PREFIX: &str = "ibiscove-";
/// Outcome of the request: `ran`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "Ibiscove-Outcome";
/// Why it was refused.
pub(crate) const REASON: &str = "Ibiscove-Reason";
/// On a stored response to an earlier request: `true`.
pub(crate) const REPEATED: &str = "Ibiscove-Repeated";
/// Time until the deadline of the request, in milliseconds.
pub(crate) const TIMEOUT_MS: &str = "Ibiscove-Timeout-Ms";
/// On a gate's response: running and queued requests of its upstream, for each
/// unit of the concurrency limit.
pub(crate) const LOAD: &str = "Ibiscove-Load";
/// Id of the attempt, unique across nodes.
pub(crate) const REQUEST_ID: &str = "Ibiscove-Request-Id";
/// The service that the request is for.
pub(crate) const SERVICE: &str = "Ibiscove-Service";
/// The key's slot; absent for a shared service.
pub(crate) const SLOT: &str = "Ibiscove-Slot";
/// The owner's fence, for upstreams that check it.
pub(crate) const FENCE: &str = "Ibiscove-Fence";
/// Whether the request may run more than once: `true` or `false`.
pub(crate) const IDEMPOTENT: &str = "Ibiscove-Idempotent";
/// Hash of the key, by which the gate detects hot keys.
pub(crate) const KEY_HASH: &str = "Ibiscove-Key-Hash";
/// Time since the caller first sent the request, in milliseconds.
pub(crate) const FIRST_SENT_MS: &str = "Ibiscove-First-Sent-Ms";
/// The caller's id of a request that it may send more than once.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The forwarding node and its signature, made with the key of the cluster.
pub(crate) const PEER: &str = "Ibiscove-Peer";

/// Headers that the HTTP library writes itself.
const WRITTEN_BY_LIBRARY: &[&str] = &["host", "server", "date"];

/// Copies the headers that a hop forwards.
pub(crate) fn copy_forwarded(from: &Headers, to: &mut Headers) {
    for (name, values) in from.iter() {
        if !is_forwarded(&name) {
            continue;
        }
        for value in values {
            to.append(name.to_owned(), value.clone());
        }
    }
}

fn is_forwarded(name: &HeaderName<'_>) -> bool {
    let name: &str = name.as_ref();
    let is_ours = name
        .get(..PREFIX.len())
        .is_some_and(|p| p.eq_ignore_ascii_case(PREFIX));
    let mut excluded = HOP_BY_HOP.iter().chain(WRITTEN_BY_LIBRARY);
    !is_ours && !excluded.any(|header| header.eq_ignore_ascii_case(name))
}

/// Returns a header as text; none if it is absent or not text.
pub(crate) fn text<'a>(headers: &'a Headers, name: &'static str) -> Option<&'a str> {
    headers.get_str(name)
}
