//! Stable hash that assigns keys to slots: 64-bit XXH3 with seed 0.
//!
//! Changing it would reassign every key, so `docs/ownership.md` specifies it
//! and tests pin its values.

use crate::Slot;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

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
