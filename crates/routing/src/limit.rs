//! Adaptive concurrency limit of one upstream (additive increase, multiplicative
//! decrease).
//!
//! The concurrency that the upstream announces is the ceiling. The limit decreases
//! when the upstream sheds load, fails or responds far slower than typical, and
//! increases with each good response. A cold upstream starts low, and its limit
//! doubles with each round of good responses (slow start).

use std::time::{Duration, Instant};

/// Factor by which the limit decreases.
const BACKOFF_FACTOR: f64 = 0.8;
/// Minimum time between two decreases, so that a burst of bad responses counts
/// once.
const MIN_BACKOFF_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the ceiling below which slow responses do not decrease the limit: a
/// lower limit does not help an upstream that is slow at low load.
const SLOW_FLOOR_SHARE: f64 = 0.5;
/// Initial limit of a cold upstream as a share of the ceiling.
const COLD_START_SHARE: f64 = 0.125;
/// A response is slow when it takes more than this many times the typical latency.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of a new sample in the typical latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.02;

/// How a request at the upstream completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The upstream responded.
    Responded,
    /// The upstream shed the request.
    Overloaded,
    /// The connection broke or could not be opened.
    Failed,
    /// No response within the caller's timeout. It counts only if the timeout was
    /// long enough: callers with too short timeouts must not throttle the others.
    TimedOut,
}

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    ceiling: f64,
    limit: f64,
    /// Whether slow start is in progress; it ends at the ceiling or at the first
    /// decrease.
    is_warming: bool,
    /// Moving average of response times.
    typical_latency_s: Option<f64>,
    last_backoff: Option<Instant>,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream that runs at most `ceiling` requests at a
    /// time; `is_cold` if its caches are cold.
    pub fn new(ceiling: u32, is_cold: bool) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        let initial = if is_cold {
            ceiling * COLD_START_SHARE
        } else {
            ceiling
        };
        Self {
            ceiling,
            limit: initial.max(1.0),
            is_warming: is_cold,
            typical_latency_s: None,
            last_backoff: None,
        }
    }

    /// Returns the number of requests allowed at a time, at least one.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Returns whether the slow start of a cold upstream is in progress.
    pub fn is_warming(&self) -> bool {
        self.is_warming
    }

    /// Returns the typical response time; none before the first response.
    pub fn typical_latency(&self) -> Option<Duration> {
        self.typical_latency_s.map(Duration::from_secs_f64)
    }

    /// Adjusts the limit to the completion of a request that took `took`.
    pub fn record(&mut self, completion: Completion, took: Duration, now: Instant) {
        let took = took.as_secs_f64();
        let typical_latency_s = *self.typical_latency_s.get_or_insert(took);
        let is_slow = took > typical_latency_s * SLOW_FACTOR;
        match completion {
            Completion::Responded if is_slow => self.back_off(self.ceiling * SLOW_FLOOR_SHARE, now),
            Completion::Responded => self.increase(),
            Completion::TimedOut if !is_slow => {}
            Completion::Overloaded | Completion::Failed | Completion::TimedOut => {
                self.back_off(1.0, now)
            }
        }
        if completion == Completion::Responded {
            // The typical latency adapts slowly, so that an upstream that stays
            // slow is throttled for a while but not for ever.
            self.typical_latency_s =
                Some(typical_latency_s + (took - typical_latency_s) * LATENCY_SAMPLE_WEIGHT);
        }
    }

    fn back_off(&mut self, floor: f64, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_BACKOFF_INTERVAL;
        if self.last_backoff.is_some_and(is_recent) {
            return;
        }
        self.last_backoff = Some(now);
        self.is_warming = false;
        self.limit = (self.limit * BACKOFF_FACTOR)
            .max(floor.min(self.limit))
            .max(1.0);
    }

    fn increase(&mut self) {
        let step = if self.is_warming {
            1.0
        } else {
            1.0 / self.limit
        };
        self.limit = (self.limit + step).min(self.ceiling);
        if self.limit >= self.ceiling {
            self.is_warming = false;
        }
    }
}
