//! Deadlines that shrink along the way.

use std::time::{Duration, Instant};

/// Most that one hop keeps back for its own answer.
const MAX_HOP_ALLOWANCE: Duration = Duration::from_millis(20);
/// The share of the time left that a hop keeps back, as a divisor.
const HOP_SHARE: u32 = 10;

/// Time left until `deadline`.
pub fn remaining(deadline: Instant, now: Instant) -> Duration {
    deadline.saturating_duration_since(now)
}

/// The time to give the next hop, so that it gives up first and its more
/// exact answer still arrives in time.
pub fn for_next_hop(remaining: Duration) -> Duration {
    remaining - (remaining / HOP_SHARE).min(MAX_HOP_ALLOWANCE)
}

/// How long work may go on at an upstream that does not check fences before
/// the lease is looked at again; none when it must end now.
///
/// Only its being cut off at the lease's end keeps such work from running
/// beside the next owner's.
pub fn time_until_lease_check(
    deadline: Instant,
    lease_end: Option<Instant>,
    now: Instant,
) -> Option<Duration> {
    let until = lease_end?.min(deadline);
    let left = remaining(until, now);
    (!left.is_zero()).then_some(left)
}
