//! Stable hashes. The one that assigns keys to slots is 64-bit XXH3 with seed 0.
//!
//! Changing it would reassign every key, so `docs/ownership.md` specifies it
//! and tests pin its values.

use crate::Slot;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Returns the hash of a service's key.
pub fn key_hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the checksum of a body that nodes pass on. A receiver verifies it
/// before it uses the body.
pub fn checksum(body: &[u8]) -> u64 {
    xxh3_64(body)
}

/// Returns the SHA-256 digest of a configuration text, in hexadecimal. Unlike
/// [`checksum`] it resists deliberate collisions.
pub fn content_digest(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Identifies requests that are the same but for their ids.
pub type Fingerprint = u128;

/// What a [`Fingerprint`] is made of. Ids, deadlines and other headers differ between
/// copies of a request.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, in any case.
    pub host: &'a str,
    /// Path and query.
    pub path_and_query: &'a str,
    /// The service whose instance sends the request; empty if there is none.
    pub caller_service: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Returns the fingerprint of a request: 128-bit XXH3 of its parts. It does not
/// resist deliberate collisions.
pub fn fingerprint(parts: FingerprintParts<'_>) -> Fingerprint {
    let host = parts.host.to_ascii_lowercase();
    let texts = [
        parts.method,
        &host,
        parts.path_and_query,
        parts.caller_service,
    ];
    let mut hasher = Xxh3::new();
    for text in texts {
        // The length separates each part from the next.
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    }
    hasher.update(parts.body);
    hasher.digest128()
}

/// Formats a fingerprint for log lines and messages.
pub fn format_fingerprint(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:032x}")
}

/// Parses what [`format_fingerprint`] returns; none for any other text.
pub fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex
        .then(|| Fingerprint::from_str_radix(text, 16).ok())
        .flatten()
}

/// Returns the slot of a hash among `slot_count` slots.
///
/// The top bits select the slot, so doubling the count splits each slot in two.
///
/// # Panics
///
/// If `slot_count` is not a power of two. Validation of the inventory rejects
/// such a count before any node receives it.
pub fn slot_of(hash: u64, slot_count: u32) -> Slot {
    assert!(
        slot_count.is_power_of_two(),
        "slot count {slot_count} is not a power of two"
    );
    let bits = slot_count.trailing_zeros();
    if bits == 0 {
        return 0;
    }
    (hash >> (u64::BITS - bits)) as Slot
}
