//! Limits on transfers by their progress, whatever their size.

use std::time::{Duration, Instant};

/// Limits on a transfer whose size is known only at its end, if at all.
///
/// A limit on the whole time would fail every transfer above some size, and each retry
/// would send again what had arrived. These limits end one whose sender has gone silent,
/// and one that trickles without an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimits {
    /// Longest time in which nothing arrives.
    pub silence: Duration,
    /// Lowest mean rate, in bytes per second, which counts once `silence` has passed.
    pub min_rate: u32,
}

impl TransferLimits {
    /// Returns the longest time that a transfer of `bytes` can take.
    pub fn longest(&self, bytes: usize) -> Duration {
        self.silence + Duration::from_secs_f64(bytes as f64 / f64::from(self.min_rate.max(1)))
    }
}

/// A transfer under [`TransferLimits`].
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    limits: TransferLimits,
    started: Instant,
    last_arrival: Instant,
    bytes: usize,
}

impl Transfer {
    /// Starts a transfer.
    pub fn new(limits: TransferLimits, now: Instant) -> Self {
        Self {
            limits,
            started: now,
            last_arrival: now,
            bytes: 0,
        }
    }

    /// Records that `bytes` more have arrived.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.bytes = self.bytes.saturating_add(bytes);
        self.last_arrival = now;
    }

    /// Returns the time at which the transfer has failed unless more arrives before.
    pub fn deadline(&self) -> Instant {
        let latest = self.started + self.limits.longest(self.bytes);
        latest.min(self.last_arrival + self.limits.silence)
    }
}
