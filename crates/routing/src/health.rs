//! Outlier ejection and cost estimation: the health of each upstream of a shared
//! service as observed by one entry, the node that takes callers' requests.
//!
//! The entry's own observations come first: its requests in flight, their
//! latencies and failures. Reports from an upstream or its node decay with age and
//! only break ties, since health and load endpoints lag or mislead. However many
//! upstreams of a service fail, only a limited share of them is ejected.

use std::time::{Duration, Instant};

/// Consecutive failures after which an upstream is ejected.
const EJECT_AFTER_FAILURES: u32 = 5;
/// Duration of the first ejection; it doubles with each consecutive one.
const INITIAL_EJECTION: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Largest share of a service's upstreams that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time after which a new upstream gets its full share of requests.
const SLOW_START: Duration = Duration::from_secs(10);
/// Initial share of a new upstream.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Age at which a report has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Age at which a report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving average of latencies.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.1;
/// Weight of a new report relative to the entry's own observations.
const REPORT_WEIGHT: f64 = 0.5;

/// Load of an upstream as reported by its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Running and queued requests over the upstream's concurrency.
    pub load: f64,
    /// Arrival time of the report.
    pub at: Instant,
}

/// Health of one upstream as observed by one entry.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    first_seen: Instant,
    in_flight: u32,
    /// Mean response time in seconds; none before the first response.
    latency_s: Option<f64>,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Instant>,
    report: Option<LoadReport>,
}

impl UpstreamHealth {
    /// Creates the state of an upstream first seen at `now`; `is_warm` skips
    /// slow start, for upstreams in use before this entry started.
    pub fn new(now: Instant, is_warm: bool) -> Self {
        let first_seen = if is_warm {
            now.checked_sub(SLOW_START)
        } else {
            None
        };
        Self {
            first_seen: first_seen.unwrap_or(now),
            in_flight: 0,
            latency_s: None,
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            report: None,
        }
    }

    /// Records that a request is sent to it.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a request; `took` is none if it failed.
    pub fn end(&mut self, took: Option<Duration>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match took {
            Some(took) => self.record_response(took),
            None => self.record_failure(now),
        }
    }

    /// Records that a request was cancelled, which says nothing about its health.
    pub fn abandon(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a report of its node.
    pub fn record_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    /// Returns the number of this entry's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether it is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the cost of one more request there; lower is better.
    pub fn cost(&self, now: Instant) -> f64 {
        let queue_length = f64::from(self.in_flight) + 1.0;
        let reported_load = self.decayed_load(now) * REPORT_WEIGHT;
        let latency_s = self.latency_s.unwrap_or(0.0).max(1e-6);
        (queue_length + reported_load) * latency_s / self.slow_start_share(now)
    }

    /// Returns the reported load, decayed by the age of the report.
    fn decayed_load(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(report.at);
        if age >= REPORT_MAX_AGE {
            return 0.0;
        }
        let half_lives = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        report.load * 0.5_f64.powf(half_lives)
    }

    /// Returns the share of requests that slow start allows it.
    fn slow_start_share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.first_seen);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    fn record_response(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.latency_s.unwrap_or(took);
        self.latency_s = Some(mean + (took - mean) * LATENCY_SAMPLE_WEIGHT);
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
    }

    fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            self.consecutive_failures = 0;
            let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = Some(now + INITIAL_EJECTION * (1 << doublings));
            self.consecutive_ejections += 1;
        }
    }
}

/// Returns how many of `count` upstreams may be ejected at a time.
pub fn max_ejected(count: usize) -> usize {
    (count as f64 * MAX_EJECTED_SHARE) as usize
}
