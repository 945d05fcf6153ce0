//! Quantiles of recent times, in fixed memory.

use std::time::Duration;

/// Buckets for each doubling of the time.
const PER_DOUBLING: usize = 8;
/// Doublings covered, from one microsecond on.
const DOUBLINGS: usize = 27;
/// Samples after which older ones count half.
const HALF_LIFE: u32 = 1_024;
/// Samples below which no quantile is told.
const ENOUGH: u32 = 64;

/// Recent times.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<u32>,
    total: u32,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0; PER_DOUBLING * DOUBLINGS],
            total: 0,
        }
    }
}

impl LatencyHistogram {
    /// Adds a time.
    pub fn record(&mut self, took: Duration) {
        if self.total >= 2 * HALF_LIFE {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let micros = took.as_micros().max(1) as f64;
        let bucket = (micros.log2() * PER_DOUBLING as f64) as usize;
        self.counts[bucket.min(PER_DOUBLING * DOUBLINGS - 1)] += 1;
        self.total += 1;
    }

    /// The time that a share of `quantile` stays below, up to the width of a
    /// bucket; none while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < ENOUGH {
            return None;
        }
        let wanted = f64::from(self.total) * quantile;
        let mut below = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            below += f64::from(*count);
            if below >= wanted {
                let micros = ((bucket + 1) as f64 / PER_DOUBLING as f64).exp2();
                return Some(Duration::from_secs_f64(micros / 1e6));
            }
        }
        None
    }
}

/// The quantile past which a request counts as late in the tail.
const HEDGE_QUANTILE: f64 = 0.98;
/// Shortest wait before a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// How long to wait for an answer before the request is sent to a second
/// upstream; none when too little is known or no time would be left for it.
pub fn hedge_delay(latencies: &LatencyHistogram, remaining: Duration) -> Option<Duration> {
    let usual = latencies.quantile(0.5)?;
    let delay = latencies.quantile(HEDGE_QUANTILE)?.max(MIN_HEDGE_DELAY);
    (delay + usual < remaining).then_some(delay)
}
