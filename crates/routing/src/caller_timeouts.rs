//! Infers retries and nested calls from the timeouts of a route's requests.
//!
//! The first attempts of a route's callers have the same full timeout. A caller
//! that was refused and retries has less time remaining, and its latency target
//! counts from its first attempt. An upstream that calls another one while it runs
//! a request has what remains of that request's timeout, never the full one. Such
//! nested calls take precedence over new requests, since the work of their parent
//! requests is already spent.

use std::time::Duration;

/// Weight of one request in the share of requests with the full timeout.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Share of requests with the full timeout below which a route's requests are
/// nested calls. Even if every caller is refused and retries once, half of the
/// requests have the full timeout.
const MAX_NESTED_FULL_SHARE: f64 = 0.2;

/// Timeouts of one route's requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerTimeouts {
    longest: Duration,
    /// Moving average of the share of requests with the longest timeout.
    full_share: f64,
}

impl Default for CallerTimeouts {
    fn default() -> Self {
        Self {
            longest: Duration::ZERO,
            full_share: 1.0,
        }
    }
}

impl CallerTimeouts {
    /// Records the timeout of a request.
    pub fn record(&mut self, timeout: Duration) {
        let sample = if timeout >= self.longest { 1.0 } else { 0.0 };
        self.longest = self.longest.max(timeout);
        self.full_share += (sample - self.full_share) * SAMPLE_WEIGHT;
    }

    /// Returns whether the route's requests are nested calls.
    pub fn is_nested(&self) -> bool {
        self.full_share < MAX_NESTED_FULL_SHARE
    }

    /// Returns how much of the latency target remains for a request with `timeout`.
    pub fn remaining_target(&self, target_latency: Duration, timeout: Duration) -> Duration {
        match self.is_nested() {
            // The timeout of a nested call says nothing about the call's age.
            true => target_latency,
            false => target_latency.saturating_sub(self.longest.saturating_sub(timeout)),
        }
    }
}
