//! Negative cache of key ranges without a serving owner.
//!
//! A range that changes owner is unserved for some tens of milliseconds, and
//! requests wait for the new owner. A range whose owner is lost, or partitioned in
//! the middle of a move, is unserved for seconds. The first requests find out by
//! waiting until their deadlines. Requests that arrive after one of these has
//! missed its latency target are refused earlier, until the range has a new owner
//! or the cache entry expires and requests wait again.

use ibiscove_types::Fence;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time to live of an entry. Refused callers retry within it.
const TIME_TO_LIVE: Duration = Duration::from_secs(1);

/// Ranges of one service without a serving owner, by fence. A fence identifies the
/// ownership of a range and changes with its owner.
#[derive(Clone, Debug, Default)]
pub struct UnservedRanges {
    failed_at: HashMap<Fence, Instant>,
}

impl UnservedRanges {
    /// Records that a range had no serving owner when a request missed its latency
    /// target.
    pub fn record(&mut self, fence: Fence, now: Instant) {
        self.failed_at
            .retain(|_, failed_at| is_recent(*failed_at, now));
        self.failed_at.entry(fence).or_insert(now);
    }

    /// Removes a range whose owner has responded.
    pub fn clear(&mut self, fence: Fence) {
        self.failed_at.remove(&fence);
    }

    /// Returns whether a range was known to be unserved at `arrived`, so that a
    /// request should not wait until its deadline.
    pub fn is_unserved(&self, fence: Fence, arrived: Instant) -> bool {
        let failed_at = self.failed_at.get(&fence);
        failed_at.is_some_and(|failed_at| *failed_at <= arrived && is_recent(*failed_at, arrived))
    }
}

fn is_recent(failed_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(failed_at) < TIME_TO_LIVE
}
