//! Pacing of writes to the range map that many owners change at the same time.
//!
//! After a loss of power all owners assign their ranges to the new incarnations of
//! their upstreams at once, and the ranges of each lie in most sections of the map. A
//! transaction that loses against another one is repeated after a random delay. The
//! window of that delay doubles with each loss until it has a slot for each owner, so
//! that few owners lose little time and many do not keep defeating one another.

use std::time::Duration;

/// Time from a read of the map to the end of the transaction that is computed from it.
const SLOT: Duration = Duration::from_millis(15);

/// Returns the longest delay before an update of the map is repeated that has lost
/// against others `conflicts` times, with `owners` that may write to the map.
pub fn backoff_window(conflicts: usize, owners: usize) -> Duration {
    let doublings = u32::try_from(conflicts).unwrap_or(u32::MAX);
    let slots = 1_usize.checked_shl(doublings).unwrap_or(usize::MAX);
    SLOT * u32::try_from(slots.min(owners)).unwrap_or(u32::MAX)
}
