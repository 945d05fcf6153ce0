//! How many bytes of log lines a process may write.
//!
//! Disks and collectors are sized for a rate. Refusals come by the thousand when
//! something is wrong, which is when warnings matter most, so a part of the
//! budget is kept for those.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Bytes that a process may write in a second: some 200 lines.
pub const BYTES_PER_SECOND: f64 = 65_536.0;
/// Share that only warnings and errors may use.
const RESERVED_SHARE: f64 = 0.25;

/// A budget that fills up evenly, to at most one second's worth.
#[derive(Debug)]
pub struct ByteBudget {
    bytes: f64,
    filled: Instant,
}

impl ByteBudget {
    /// A full budget.
    pub fn new(now: Instant) -> Self {
        Self {
            bytes: BYTES_PER_SECOND,
            filled: now,
        }
    }

    /// Whether a line of `len` bytes may be written; if so it is paid for.
    pub fn take(&mut self, len: usize, is_urgent: bool, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.bytes = (self.bytes + passed * BYTES_PER_SECOND).min(BYTES_PER_SECOND);
        self.filled = now;
        let reserved = match is_urgent {
            true => 0.0,
            false => BYTES_PER_SECOND * RESERVED_SHARE,
        };
        let len = len as f64;
        let is_enough = self.bytes - len >= reserved;
        if is_enough {
            self.bytes -= len;
        }
        is_enough
    }
}

pub(crate) fn lock(budget: &Mutex<ByteBudget>) -> MutexGuard<'_, ByteBudget> {
    // A panic elsewhere must not silence the log.
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}
