//! What the time that callers are willing to wait tells of their requests.
//!
//! Callers of one route wait equally long at first. One that was refused and
//! came back has less time left, and its answer is judged from its first try. An
//! upstream that calls another while it runs a request has what that request
//! left it, never the full time: the work of the request is spent already, so
//! such calls go before new requests.

use std::time::Duration;

/// Weight of one request in the share of those that bring the full time.
const WEIGHT: f64 = 0.02;
/// Share below which a route is one of calls. Even when every caller is refused
/// and comes back once, half of the requests bring the full time.
const NESTED_BELOW: f64 = 0.2;

/// How long callers of one route are willing to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerTimeouts {
    longest: Duration,
    /// Share of the requests that bring the full time.
    full: f64,
}

impl Default for CallerTimeouts {
    fn default() -> Self {
        Self {
            longest: Duration::ZERO,
            full: 1.0,
        }
    }
}

impl CallerTimeouts {
    /// A caller of the route waits for `wants`.
    pub fn record(&mut self, wants: Duration) {
        let sample = if wants >= self.longest { 1.0 } else { 0.0 };
        self.longest = self.longest.max(wants);
        self.full += (sample - self.full) * WEIGHT;
    }

    /// Whether the route is one of calls that running requests make.
    pub fn is_nested(&self) -> bool {
        self.full < NESTED_BELOW
    }

    /// How long an answer is of full worth to a caller that waits for `wants`.
    pub fn remaining_target(&self, target_latency: Duration, wants: Duration) -> Duration {
        match self.is_nested() {
            // What a running request left its call says nothing of the call's
            // age.
            true => target_latency,
            false => target_latency.saturating_sub(self.longest.saturating_sub(wants)),
        }
    }
}
