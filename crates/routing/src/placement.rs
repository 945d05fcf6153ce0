//! Weighted power of two choices: selects the upstream of a shared service, any of
//! whose upstreams may run any request.
//!
//! An entry, the node that takes a caller's request, sees load that is as old as a
//! request takes, and all entries see the same, so the apparently best upstream
//! would soon be the most loaded. Two upstreams are drawn, weighted by free
//! capacity, speed and distance, and the one with the lower expected completion
//! time is selected. An upstream that fails part of its requests counts as slower
//! in proportion, so that it still gets a few requests that reveal its recovery.

use std::time::Duration;

/// Weight of a new sample in the failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;
/// Failure rate above which an upstream's share of requests is not reduced further.
const MAX_FAILURE_RATE: f64 = 0.95;
/// Service time of a cold upstream relative to a warm one.
const COLD_FACTOR: f64 = 2.0;
/// Draw weight of an upstream in the same data centre while it has free capacity,
/// relative to one in another data centre, if few are in the same one. A larger
/// weight would overload those few.
const MIN_SAME_DATA_CENTRE_WEIGHT: f64 = 4.0;
/// The same if many upstreams are in the same data centre, among which the load
/// evens out. Most requests then stay within it.
const MAX_SAME_DATA_CENTRE_WEIGHT: f64 = 12.0;
/// Least draw weight of the local upstream, on the same machine as the entry.
const LOCAL_WEIGHT: f64 = 6.0;
/// Utilisation below which an upstream counts as having free capacity.
const MAX_PREFERRED_UTILISATION: f64 = 0.7;
/// Minimum free capacity in the draw weight, as a share of its concurrency.
const MIN_FREE_SHARE: f64 = 0.05;

/// Distance of an upstream from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// On the same machine.
    Local,
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre.
    OtherDataCentre,
}

/// An upstream that may be selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Distance from the entry.
    pub distance: Distance,
    /// Round-trip time to its node.
    pub round_trip: Duration,
    /// Requests known to run or wait there.
    pub load: f64,
    /// Number of requests that it runs at a time.
    pub concurrency: f64,
    /// Typical service time of a request there.
    pub service_time: Duration,
    /// Share of recent requests that failed there.
    pub failure_rate: f64,
    /// Whether its caches are still cold after a start.
    pub is_cold: bool,
    /// Whether the request was already sent there.
    pub was_attempted: bool,
}

/// Returns the expected time to a response from the upstream, in seconds, increased
/// by its failure rate.
pub fn cost(candidate: &Candidate) -> f64 {
    let concurrency = candidate.concurrency.max(1.0);
    let mut time = candidate.service_time.as_secs_f64().max(1e-3);
    if candidate.is_cold {
        time *= COLD_FACTOR;
    }
    let excess = (candidate.load + 1.0 - concurrency).max(0.0);
    // Utilisation slows an upstream even below saturation.
    let wait = time * (excess / concurrency + 0.15 * (candidate.load / concurrency).min(1.0));
    let failure_rate = candidate.failure_rate.clamp(0.0, MAX_FAILURE_RATE);
    (candidate.round_trip.as_secs_f64() + time + wait) / (1.0 - failure_rate).powi(2)
}

/// Returns the draw weight of each upstream in the same data centre, relative to
/// one in another data centre, given the number of those in the same one.
fn same_data_centre_weight(count: usize) -> f64 {
    (count as f64).clamp(MIN_SAME_DATA_CENTRE_WEIGHT, MAX_SAME_DATA_CENTRE_WEIGHT)
}

/// Returns the relative probability of drawing an upstream;
/// `same_data_centre_weight` is that of one in the same data centre.
fn weight(candidate: &Candidate, same_data_centre_weight: f64) -> f64 {
    let concurrency = candidate.concurrency.max(1.0);
    let utilisation = candidate.load / concurrency;
    let free_share = (1.0 - utilisation).max(MIN_FREE_SHARE);
    let mut time = candidate.service_time.as_secs_f64().max(1e-3);
    if candidate.is_cold {
        time *= COLD_FACTOR;
    }
    let distance_weight = match candidate.distance {
        Distance::Local if utilisation < MAX_PREFERRED_UTILISATION => {
            same_data_centre_weight.max(LOCAL_WEIGHT)
        }
        Distance::SameDataCentre if utilisation < MAX_PREFERRED_UTILISATION => {
            same_data_centre_weight
        }
        _ => 1.0,
    };
    let failure_rate = candidate.failure_rate.clamp(0.0, MAX_FAILURE_RATE);
    distance_weight * free_share * (concurrency / time) * (1.0 - failure_rate).powi(2)
}

/// Selects a candidate; one that was already attempted only if all were.
pub fn choose(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<usize> {
    let is_same = |c: &&Candidate| c.distance == Distance::SameDataCentre;
    let same_data_centre_weight =
        same_data_centre_weight(candidates.iter().filter(is_same).count());
    let any_unattempted = candidates.iter().any(|candidate| !candidate.was_attempted);
    let weights: Vec<f64> = candidates
        .iter()
        .map(
            |candidate| match any_unattempted && candidate.was_attempted {
                true => 0.0,
                false => weight(candidate, same_data_centre_weight),
            },
        )
        .collect();
    let first = draw_weighted(&weights, rng)?;
    let second = draw_weighted(&weights, rng)?;
    match cost(&candidates[second]) < cost(&candidates[first]) {
        true => Some(second),
        false => Some(first),
    }
}

fn draw_weighted(weights: &[f64], rng: &mut fastrand::Rng) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut remaining = rng.f64() * total;
    for (i, weight) in weights.iter().enumerate() {
        if remaining < *weight {
            return Some(i);
        }
        remaining -= weight;
    }
    // Rounding may leave a remainder past the last weight.
    weights.iter().rposition(|weight| *weight > 0.0)
}

/// Exponential moving average of the share of failed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Records the result of a request.
    pub fn record(&mut self, has_failed: bool) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * FAILURE_SAMPLE_WEIGHT;
    }

    /// Returns the rate, 0 to 1.
    pub fn get(&self) -> f64 {
        self.0
    }
}
