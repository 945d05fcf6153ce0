//! Which upstream of a shared service gets a request.
//!
//! The least expected completion wins: the way there, the wait behind what
//! runs and waits there, and the usual time at its speed. An upstream that
//! fails part of its requests counts as that much slower, so that it keeps a
//! trickle by which its recovery is seen.

use std::time::Duration;

/// Weight of a new result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Most of the load that a failing upstream is spared, as a failure rate.
const MAX_FAILURE_RATE: f64 = 0.95;
/// Cost of a cold upstream's time against its usual one.
const COLD_FACTOR: f64 = 2.0;
/// Share by which costs are varied, so that entries with the same view do not
/// all choose alike.
const JITTER: f64 = 0.15;

/// An upstream that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Time to its node and back.
    pub round_trip: Duration,
    /// Requests that run or wait there, as far as known.
    pub load: f64,
    /// Requests that it works on at a time.
    pub slots: f64,
    /// Usual time of a request there.
    pub service_time: Duration,
    /// Share of recent requests that failed there.
    pub failure_rate: f64,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Whether the request has been there already.
    pub was_tried: bool,
}

/// Expected time until a request there is answered, in seconds.
pub fn cost(candidate: &Candidate) -> f64 {
    let slots = candidate.slots.max(1.0);
    let mut time = candidate.service_time.as_secs_f64().max(1e-3);
    if candidate.is_cold {
        time *= COLD_FACTOR;
    }
    let excess = (candidate.load + 1.0 - slots).max(0.0);
    // Below saturation an upstream still slows as it fills.
    let wait = time * (excess / slots + 0.15 * (candidate.load / slots).min(1.0));
    let failure_rate = candidate.failure_rate.clamp(0.0, MAX_FAILURE_RATE);
    (candidate.round_trip.as_secs_f64() + time + wait) / (1.0 - failure_rate).powi(2)
}

/// Chooses among candidates; one that was tried only when there is no other.
pub fn choose(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<usize> {
    let any_untried = candidates.iter().any(|candidate| !candidate.was_tried);
    (0..candidates.len())
        .filter(|i| !(any_untried && candidates[*i].was_tried))
        .map(|i| (i, cost(&candidates[i]) * (1.0 + JITTER * rng.f64())))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}

/// Share of recent requests that failed, newest weighing most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// A request ended.
    pub fn note(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * FAILURE_WEIGHT;
    }

    /// The rate, 0 to 1.
    pub fn get(&self) -> f64 {
        self.0
    }
}
