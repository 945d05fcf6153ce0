//! Latency estimate of one route at one upstream: mean and mean deviation, as in
//! Jacobson's estimator of round-trip times.

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples are capped at this many times the mean, so that a single outlier does
/// not dominate it.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
/// Mean deviations between the mean and the upper estimate, half of what TCP uses
/// for its retransmission timeout (RFC 6298).
const UPPER_ESTIMATE_DEVIATIONS: f64 = 2.0;

/// Exponential moving averages of the latency and of its mean deviation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    mean_s: f64,
    deviation_s: f64,
}

impl LatencyEstimate {
    /// Creates an estimate without samples whose mean is `initial`.
    pub fn with_initial(initial: Duration) -> Self {
        Self {
            mean_s: initial.as_secs_f64(),
            deviation_s: 0.0,
        }
    }

    /// Records the latency of a request.
    pub fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().min(self.mean_s * MAX_SAMPLE_FACTOR);
        let error = sample - self.mean_s;
        self.mean_s += error * SAMPLE_WEIGHT;
        self.deviation_s += (error.abs() - self.deviation_s) * SAMPLE_WEIGHT;
    }

    /// Returns the estimate for an upstream on which work takes `factor` times as long.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            mean_s: self.mean_s * factor,
            deviation_s: self.deviation_s * factor,
        }
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s.max(0.0))
    }

    /// Returns a latency that most requests stay within.
    pub fn upper_estimate(&self) -> Duration {
        let upper_s = self.mean_s + self.deviation_s * UPPER_ESTIMATE_DEVIATIONS;
        Duration::from_secs_f64(upper_s.max(0.0))
    }
}
