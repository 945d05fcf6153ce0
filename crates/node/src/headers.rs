//! Headers that nodes add, and those that never pass from hop to hop.

use ibiscove_http::headers::HOP_BY_HOP;
use trillium_http::{HeaderName, Headers};

/// Prefix of every header of ours. From outside none of them counts as inner.
pub(crate) const PREFIX: &str = "ibiscove-";
/// What became of the request: `ran`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "Ibiscove-Outcome";
/// Why it was refused.
pub(crate) const REASON: &str = "Ibiscove-Reason";
/// On an answer that was kept from an earlier sending: `true`.
pub(crate) const REPEATED: &str = "Ibiscove-Repeated";
/// Time left for the request, in milliseconds.
pub(crate) const TIMEOUT_MS: &str = "Ibiscove-Timeout-Ms";
/// On a gate's answer: how much its upstream has to do, for each request that
/// it can run at a time.
pub(crate) const LOAD: &str = "Ibiscove-Load";
/// Identifies the request across nodes.
pub(crate) const REQUEST_ID: &str = "Ibiscove-Request-Id";
/// The service that the request is for.
pub(crate) const SERVICE: &str = "Ibiscove-Service";
/// The key's slot; absent for a shared service.
pub(crate) const SLOT: &str = "Ibiscove-Slot";
/// The owner's fence, for upstreams that check it.
pub(crate) const FENCE: &str = "Ibiscove-Fence";
/// Whether the request may be run twice: `true` or `false`.
pub(crate) const IDEMPOTENT: &str = "Ibiscove-Idempotent";
/// Hash of the key, by which the gate tells hot keys.
pub(crate) const KEY_HASH: &str = "Ibiscove-Key-Hash";
/// Time since the caller first sent the request, in milliseconds.
pub(crate) const FIRST_SENT_MS: &str = "Ibiscove-First-Sent-Ms";
/// The caller's own id of a request that it may repeat.
pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The forwarding node and its proof that it holds the cluster's key.
pub(crate) const PEER: &str = "Ibiscove-Peer";

/// Headers that the HTTP library writes itself.
const WRITTEN_BY_LIBRARY: &[&str] = &["host", "server", "date"];

/// Copies what a hop passes on.
pub(crate) fn pass_on(from: &Headers, to: &mut Headers) {
    for (name, values) in from.iter() {
        if !passes(&name) {
            continue;
        }
        for value in values {
            to.append(name.to_owned(), value.clone());
        }
    }
}

fn passes(name: &HeaderName<'_>) -> bool {
    let name: &str = name.as_ref();
    let is_ours = name
        .get(..PREFIX.len())
        .is_some_and(|p| p.eq_ignore_ascii_case(PREFIX));
    let mut dropped = HOP_BY_HOP.iter().chain(WRITTEN_BY_LIBRARY);
    !is_ours && !dropped.any(|header| header.eq_ignore_ascii_case(name))
}

/// A header as text; none when it is absent or not text.
pub(crate) fn text<'a>(headers: &'a Headers, name: &'static str) -> Option<&'a str> {
    headers.get_str(name)
}
