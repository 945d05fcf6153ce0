//! Failure detector for an upstream that accepts requests but does not respond.
//!
//! A hung upstream holds requests until their deadlines while its health check may
//! still pass. Its slots fill up, and requests that wait for them fail too. A gate,
//! the role of a node that admits requests to its own upstream, therefore sends an
//! unresponsive upstream one request at a time, as a probe, and refuses all others
//! immediately, so that callers can retry elsewhere.

use std::time::{Duration, Instant};

/// Consecutive requests without a response before an upstream counts as
/// unresponsive. A connection reset alone loses a few.
const MIN_REQUESTS_WITHOUT_RESPONSE: u32 = 4;
/// Time since the last response before an upstream counts as unresponsive. Long
/// requests take that long at a healthy upstream, but not several consecutive ones
/// until their deadlines.
const MIN_TIME_WITHOUT_RESPONSE: Duration = Duration::from_millis(500);

/// Tracks which requests to one upstream got a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct HangDetector {
    requests_without_response: u32,
    last_response: Option<Instant>,
}

impl HangDetector {
    /// Records a response.
    pub fn record_response(&mut self, now: Instant) {
        self.requests_without_response = 0;
        self.last_response = Some(now);
    }

    /// Records a request that ended without a response.
    pub fn record_no_response(&mut self) {
        self.requests_without_response = self.requests_without_response.saturating_add(1);
    }

    /// Returns whether the upstream is unresponsive.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let has_recent_response = self
            .last_response
            .is_some_and(|at| now.saturating_duration_since(at) < MIN_TIME_WITHOUT_RESPONSE);
        self.requests_without_response >= MIN_REQUESTS_WITHOUT_RESPONSE && !has_recent_response
    }
}
