//! Latencies of the upstream, by which admission expects how long requests take.

use super::{Gate, KeyOwnership};
use crate::forward::RequestMetadata;
use ibiscove_routing::latency_estimate::LatencyEstimate;
use ibiscove_types::Clock;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Latency estimates of the upstream.
#[derive(Default)]
pub(super) struct Latencies {
    by_route: HashMap<Arc<str>, LatencyEstimate>,
    /// Moving average of all routes together.
    pub(super) overall_seconds: Option<f64>,
}

impl<K: KeyOwnership, C: Clock> Gate<K, C> {
    pub(super) fn latency_estimate(&self, metadata: &RequestMetadata) -> LatencyEstimate {
        let recorded = self
            .inner
            .latencies()
            .by_route
            .get(&metadata.route)
            .copied();
        recorded.unwrap_or(LatencyEstimate::with_initial(initial_estimate(metadata)))
    }

    pub(super) fn record_latency(&self, metadata: &RequestMetadata, elapsed: Duration) {
        let mut latencies = self.inner.latencies();
        // A slow first sample must not become the estimate.
        let first = LatencyEstimate::with_initial(elapsed.min(initial_estimate(metadata)));
        let estimate = latencies.by_route.entry(Arc::clone(&metadata.route));
        estimate.or_insert(first).record(elapsed);
        let elapsed = elapsed.as_secs_f64();
        let average = latencies.overall_seconds.get_or_insert(elapsed);
        *average += (elapsed - *average) * self.inner.settings.overall_ewma_weight;
    }
}

/// Target latencies are commonly set at a few times the typical latency.
const LATENCIES_PER_TARGET: u32 = 4;
/// Latency estimate of an upstream before the first sample.
pub(super) const DEFAULT_LATENCY: Duration = Duration::from_millis(50);

/// Returns the latency estimate of a route before the first sample.
fn initial_estimate(metadata: &RequestMetadata) -> Duration {
    metadata.target_latency / LATENCIES_PER_TARGET
}
