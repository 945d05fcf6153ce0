//! First send time of a request, derived from its idempotency key.
//!
//! A new owner that took over without the deduplication window may run a request
//! with an idempotency key only if it was first sent during its own ownership
//! term; see `docs/requests.md`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Digits of a UUID without its hyphens.
const UUID_DIGITS: usize = 32;
/// Offsets of the hyphens of a UUID.
const HYPHEN_OFFSETS: [usize; 4] = [8, 13, 18, 23];

/// Returns the age of an idempotency key that is a version 7 UUID (RFC 9562); none
/// for other keys and for timestamps in the future.
pub fn age_of_key(key: &str, wall: SystemTime) -> Option<Duration> {
    let ms = uuid_v7_ms(key)?;
    let now = wall.duration_since(UNIX_EPOCH).ok()?;
    now.checked_sub(Duration::from_millis(ms))
}

fn uuid_v7_ms(key: &str) -> Option<u64> {
    let has_uuid_hyphens = key
        .char_indices()
        .all(|(offset, c)| (c == '-') == HYPHEN_OFFSETS.contains(&offset));
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let is_hex = digits.chars().all(|c| c.is_ascii_hexdigit());
    if !has_uuid_hyphens || !is_hex || digits.len() != UUID_DIGITS {
        return None;
    }
    if digits.as_bytes()[12] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..12], 16).ok()
}
