//! Ranges of keys whose owner was not found in time.
//!
//! A range that changes owner is unserved for some tens of milliseconds, and a
//! request waits for that. One whose owner is lost, or cut off in the middle of
//! a move, is unserved for seconds. The first requests find out by waiting to
//! their deadlines; those that come once these are late are told to come back
//! sooner, until the range has a new owner, or a while has passed and requests
//! wait again.

use ibiscove_types::Fence;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long what one request found out holds for others. Callers that were told
/// to come back do so within this.
const HOLDS_FOR: Duration = Duration::from_secs(1);

/// Ranges of one service without a serving owner, by fence: each change of owner
/// gives a range another one.
#[derive(Clone, Debug, Default)]
pub struct UnservedRanges {
    since: HashMap<Fence, Instant>,
}

impl UnservedRanges {
    /// A request has waited in vain for the owner of a range.
    pub fn record(&mut self, fence: Fence, now: Instant) {
        self.since.retain(|_, since| is_recent(*since, now));
        self.since.entry(fence).or_insert(now);
    }

    /// The owner of a range has answered.
    pub fn clear(&mut self, fence: Fence) {
        self.since.remove(&fence);
    }

    /// Whether a request that came at `arrived` should not wait for the owner of
    /// a range as long as it could.
    pub fn is_unserved(&self, fence: Fence, arrived: Instant) -> bool {
        let since = self.since.get(&fence);
        since.is_some_and(|since| *since <= arrived && is_recent(*since, arrived))
    }
}

fn is_recent(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) < HOLDS_FOR
}
