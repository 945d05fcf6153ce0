//! How long the requests of one route usually take at one upstream.

use std::time::Duration;

/// Weight of a new time.
const WEIGHT: f64 = 0.1;
/// How many times the usual a time counts at most: one in the tail must not
/// pass for the usual.
const MAX_OUTLIER: f64 = 2.0;
/// Mean deviations above the mean within which a request most likely ends, half
/// of what TCP allows for a late acknowledgement (RFC 6298).
const LIKELY_DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of times, newest weighing most (Jacobson's estimator
/// of round-trip times).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Seconds.
    mean: f64,
    /// Seconds.
    deviation: f64,
}

impl LatencyEstimate {
    /// Nothing was seen yet; `guess` stands for the mean.
    pub fn with_initial(guess: Duration) -> Self {
        Self {
            mean: guess.as_secs_f64(),
            deviation: 0.0,
        }
    }

    /// A request took so long.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64().min(self.mean * MAX_OUTLIER);
        let difference = took - self.mean;
        self.mean += difference * WEIGHT;
        self.deviation += (difference.abs() - self.deviation) * WEIGHT;
    }

    /// The mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean.max(0.0))
    }

    /// A time within which most requests end.
    pub fn upper_estimate(&self) -> Duration {
        let likely = self.mean + self.deviation * LIKELY_DEVIATIONS;
        Duration::from_secs_f64(likely.max(0.0))
    }
}
