//! Quantiles of recent latencies from a logarithmic histogram, and the hedging
//! delay derived from them.

use std::time::Duration;

/// Histogram buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: usize = 8;
/// Doublings covered, starting at one microsecond.
const DOUBLINGS: usize = 27;
/// Number of samples after which older ones have half their weight.
const HALF_LIFE_SAMPLES: u32 = 1_024;
/// Number of samples below which no quantile is reported.
const MIN_SAMPLES: u32 = 64;

/// Histogram of recent latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0; BUCKETS_PER_DOUBLING * DOUBLINGS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Records a sample.
    pub fn record(&mut self, took: Duration) {
        if self.total >= 2 * HALF_LIFE_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let micros = took.as_micros().max(1) as f64;
        let bucket = (micros.log2() * BUCKETS_PER_DOUBLING as f64) as usize;
        self.counts[bucket.min(BUCKETS_PER_DOUBLING * DOUBLINGS - 1)] += 1;
        self.total += 1;
    }

    /// Returns a quantile, accurate to the width of a bucket; none while there are
    /// too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let target_count = f64::from(self.total) * quantile;
        let mut cumulative_count = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative_count += f64::from(*count);
            if cumulative_count >= target_count {
                let micros = ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING as f64).exp2();
                return Some(Duration::from_secs_f64(micros / 1e6));
            }
        }
        None
    }
}

/// Latency quantile after which a request is hedged.
const HEDGE_QUANTILE: f64 = 0.98;
/// Minimum delay before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Returns how long to wait for a response before the request is also sent to a
/// second upstream (hedged); none if there are too few samples or too little time
/// would remain for a median response.
pub fn hedge_delay(latencies: &LatencyHistogram, remaining: Duration) -> Option<Duration> {
    let median = latencies.quantile(0.5)?;
    let delay = latencies.quantile(HEDGE_QUANTILE)?.max(MIN_HEDGE_DELAY);
    (delay + median < remaining).then_some(delay)
}
