//! Token bucket that limits the bytes of log lines a process writes.
//!
//! Disks and collectors are sized for a rate. During a fault, refusals are
//! logged by the thousand, which is when warnings matter most, so a part of the
//! bucket is reserved for those.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Bytes that a process may write per second: about 200 lines.
pub const BYTES_PER_SECOND: f64 = 65_536.0;
/// Fraction reserved for warnings and errors.
const RESERVED_FRACTION: f64 = 0.25;

/// A token bucket of bytes that refills continuously, to at most one second's
/// rate.
#[derive(Debug)]
pub struct ByteBudget {
    available_bytes: f64,
    refilled_at: Instant,
}

impl ByteBudget {
    /// Returns a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            available_bytes: BYTES_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Consumes `len` bytes for a line; returns false, and consumes nothing, if
    /// the line must not be written.
    pub fn try_take(&mut self, len: usize, is_warning: bool, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.available_bytes =
            (self.available_bytes + elapsed * BYTES_PER_SECOND).min(BYTES_PER_SECOND);
        self.refilled_at = now;
        let reserved = match is_warning {
            true => 0.0,
            false => BYTES_PER_SECOND * RESERVED_FRACTION,
        };
        let len = len as f64;
        let is_granted = self.available_bytes - len >= reserved;
        if is_granted {
            self.available_bytes -= len;
        }
        is_granted
    }
}

pub(crate) fn lock(budget: &Mutex<ByteBudget>) -> MutexGuard<'_, ByteBudget> {
    // A panic elsewhere must not disable logging.
    budget.lock().unwrap_or_else(PoisonError::into_inner)
}
