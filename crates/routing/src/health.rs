//! What an entry has seen of each upstream of a shared service.
//!
//! Own observations weigh first: requests in flight, times and failures of
//! this entry. What an upstream or its node reports is aged and only breaks
//! ties, since health and load endpoints lag or mislead. Ejection has a floor:
//! however many fail, most upstreams of a service stay in use.

use std::time::{Duration, Instant};

/// Failures in a row after which an upstream is left out.
const EJECT_AFTER: u32 = 5;
/// First time for which an upstream is left out; it doubles with each.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings of an ejection at most.
const MAX_DOUBLINGS: u32 = 5;
/// Share of a service's upstreams that may be left out at a time.
const MAX_EJECTED: f64 = 0.34;
/// Time over which a new upstream is brought to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// Least share of a new upstream.
const SLOW_START_SHARE: f64 = 0.1;
/// Age at which a report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Age at which a report counts nothing.
const REPORT_EXPIRY: Duration = Duration::from_secs(5);
/// Weight of a new time in the usual time.
const TIME_WEIGHT: f64 = 0.1;
/// Weight of a fresh report against own observations.
const REPORT_WEIGHT: f64 = 0.5;

/// What an upstream's node reported of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that run or wait there, for each that it can run at a time.
    pub load: f64,
    /// When the report came.
    pub at: Instant,
}

/// What an entry has seen of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    first_seen: Instant,
    in_flight: u32,
    /// Usual time of an answer in seconds; none before the first.
    time: Option<f64>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    report: Option<LoadReport>,
}

impl UpstreamHealth {
    /// An upstream that is seen first at `now`, `warm` when it has been in use
    /// before this entry came.
    pub fn new(now: Instant, warm: bool) -> Self {
        let first_seen = if warm {
            now.checked_sub(SLOW_START)
        } else {
            None
        };
        Self {
            first_seen: first_seen.unwrap_or(now),
            in_flight: 0,
            time: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            report: None,
        }
    }

    /// A request goes to it.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A request to it has ended; `took` is none when it failed.
    pub fn end(&mut self, took: Option<Duration>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match took {
            Some(took) => self.answered(took),
            None => self.failed(now),
        }
    }

    /// A request to it was given up; nothing is learnt of it.
    pub fn abandon(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Its node reported.
    pub fn record_report(&mut self, report: LoadReport) {
        self.report = Some(report);
    }

    /// Requests of this entry that run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it is left out at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// What one more request there costs: the lower, the better.
    pub fn cost(&self, now: Instant) -> f64 {
        let waiting = f64::from(self.in_flight) + 1.0;
        let reported = self.reported(now) * REPORT_WEIGHT;
        let time = self.time.unwrap_or(0.0).max(1e-6);
        (waiting + reported) * time / self.warmth(now)
    }

    /// The report's load by its age.
    fn reported(&self, now: Instant) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(report.at);
        if age >= REPORT_EXPIRY {
            return 0.0;
        }
        let half_lives = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        report.load * 0.5_f64.powf(half_lives)
    }

    /// The share of its capacity that it is given so far.
    fn warmth(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.first_seen);
        (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(SLOW_START_SHARE, 1.0)
    }

    fn answered(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let usual = self.time.unwrap_or(took);
        self.time = Some(usual + (took - usual) * TIME_WEIGHT);
        self.failures = 0;
        self.ejections = 0;
    }

    fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= EJECT_AFTER {
            self.failures = 0;
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * (1 << doublings));
            self.ejections += 1;
        }
    }
}

/// How many of `count` upstreams may be left out at a time.
pub fn max_ejected(count: usize) -> usize {
    (count as f64 * MAX_EJECTED) as usize
}
