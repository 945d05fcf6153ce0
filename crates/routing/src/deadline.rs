//! Deadline propagation: every hop gives the next one a shorter timeout than its
//! own.

use std::time::{Duration, Instant};

/// Maximum time that a hop reserves for its own response.
const MAX_HOP_RESERVE: Duration = Duration::from_millis(20);
/// Divisor of the remaining time that gives a hop's reserve.
const HOP_RESERVE_DIVISOR: u32 = 10;

/// Returns the time until `deadline`, zero if it has passed.
pub fn remaining(deadline: Instant, now: Instant) -> Duration {
    deadline.saturating_duration_since(now)
}

/// Returns the timeout of the next hop. It is shorter than `remaining`, so that the
/// next hop times out first and its more precise error still arrives in time.
pub fn next_hop_timeout(remaining: Duration) -> Duration {
    remaining - (remaining / HOP_RESERVE_DIVISOR).min(MAX_HOP_RESERVE)
}

/// Returns how long work may continue at an upstream that does not check fences
/// (tokens that tell an owner's requests from those of an earlier owner) until the
/// node's lease on its keys is checked again; none if the work must end now.
///
/// Only cancelling such work at the end of the lease keeps it from running
/// concurrently with that of the next owner.
pub fn time_until_lease_check(
    deadline: Instant,
    lease_end: Option<Instant>,
    now: Instant,
) -> Option<Duration> {
    let end = lease_end?.min(deadline);
    let remaining_time = remaining(end, now);
    (!remaining_time.is_zero()).then_some(remaining_time)
}
