//! Generic cell rate algorithm: spaces the starts of requests so that their rate
//! stays within a limit, with a small burst after an idle time.

use std::time::{Duration, Instant};

/// Time for which unused starts are saved up. Two requests that arrive together
/// need not wait for each other, and a window of a few seconds gets at most a few
/// per cent more than the limit.
const MAX_BURST: Duration = Duration::from_millis(250);
/// Lowest rate, in requests a second. An upstream whose limit is 0 gets a request
/// now and then, whose answer shows whether the limit still stands.
const MIN_RATE: f64 = 0.25;

/// Spaces the starts of requests.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: f64,
    /// When the next request would start if they started at equal intervals.
    next_start: Instant,
}

impl Pacer {
    /// Creates a pacer for a rate in requests a second.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            next_start: now,
        }
    }

    /// Changes the rate. What started before still counts.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(MIN_RATE);
    }

    /// Returns the rate, in requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time until a request may start; zero when one may start now.
    pub fn delay(&self, now: Instant) -> Duration {
        self.next_start.saturating_duration_since(now + MAX_BURST)
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        let interval = Duration::from_secs_f64(1.0 / self.rate);
        self.next_start = self.next_start.max(now) + interval;
    }
}
