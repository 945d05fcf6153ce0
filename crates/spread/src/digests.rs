//! Bucketed digests of the replicated rows.
//!
//! Two nodes first compare one digest of all rows. If it differs, they compare
//! one digest per bucket and then only the versions in the buckets that differ.
//! At 1,300 rows that is a twentieth of sending every version.

use ibiscove_types::{RowVersion, hash};

/// Number of buckets.
pub(crate) const BUCKETS: usize = 64;

/// One digest per bucket of rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Digests([u64; BUCKETS]);

impl Default for Digests {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

impl Digests {
    /// Adds a row version, or removes it if it was added before. Digests combine
    /// by exclusive or, so one changed row costs constant time.
    pub(crate) fn toggle(&mut self, key: &str, version: RowVersion) {
        self.0[bucket_of(key)] ^= hash::key_hash(&format!("{key}@{version}"));
    }

    /// Returns the digest of all rows.
    pub(crate) fn total(&self) -> u64 {
        // Without the rotation, equal differences in two buckets cancel out.
        let buckets = self.0.iter().zip(0..);
        buckets.fold(0, |total, (bucket, n)| total ^ bucket.rotate_left(n))
    }

    /// Returns the digest of each bucket, in the message's integer type.
    pub(crate) fn to_message(self) -> Vec<i64> {
        self.0.iter().map(|digest| *digest as i64).collect()
    }

    /// Returns the buckets whose digests differ from the peer's.
    pub(crate) fn differing(&self, peer_digests: &[i64]) -> Vec<i16> {
        let pairs = self.0.iter().zip(peer_digests).zip(0..);
        pairs
            .filter(|((own, peer), _)| **own != **peer as u64)
            .map(|(_, bucket)| bucket)
            .collect()
    }
}

/// Returns the bucket of a row.
pub(crate) fn bucket_of(key: &str) -> usize {
    hash::key_hash(key) as usize % BUCKETS
}
