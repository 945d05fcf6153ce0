//! Which upstream of a shared service gets a request.
//!
//! What an entry knows of the load is as old as a request is long, and others
//! know the same, so the best upstream by that knowledge is soon the worst. Two
//! are drawn, by the room that they have at their speed and how near they are,
//! and the one with the least expected completion of the two gets the request.
//! An upstream that fails part of its requests counts as that much slower, so
//! that it keeps a trickle by which its recovery is seen.

use std::time::Duration;

/// Weight of a new result in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Most of the load that a failing upstream is spared, as a failure rate.
const MAX_FAILURE_RATE: f64 = 0.95;
/// Cost of a cold upstream's time against its usual one.
const COLD_FACTOR: f64 = 2.0;
/// How much more often an upstream of the same data centre is drawn while it
/// has room.
const NEAR_WEIGHT: f64 = 4.0;
/// The same for the upstream beside the entry.
const BESIDE_WEIGHT: f64 = 6.0;
/// Utilisation up to which an upstream counts as having room.
const ROOMY: f64 = 0.7;
/// Least room that an upstream is drawn by, as a share of its slots.
const MIN_ROOM: f64 = 0.05;

/// How far an upstream is from the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// On the same machine.
    Local,
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre.
    OtherDataCentre,
}

/// An upstream that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Where it is.
    pub distance: Distance,
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
    pub was_attempted: bool,
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

/// How often an upstream is drawn against others.
pub fn weight(candidate: &Candidate) -> f64 {
    let slots = candidate.slots.max(1.0);
    let utilisation = candidate.load / slots;
    let room = (1.0 - utilisation).max(MIN_ROOM);
    let mut time = candidate.service_time.as_secs_f64().max(1e-3);
    if candidate.is_cold {
        time *= COLD_FACTOR;
    }
    let nearness = match candidate.distance {
        Distance::Local if utilisation < ROOMY => BESIDE_WEIGHT,
        Distance::SameDataCentre if utilisation < ROOMY => NEAR_WEIGHT,
        _ => 1.0,
    };
    let failure_rate = candidate.failure_rate.clamp(0.0, MAX_FAILURE_RATE);
    nearness * room * (slots / time) * (1.0 - failure_rate).powi(2)
}

/// Chooses among candidates; one that was tried only when there is no other.
pub fn choose(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<usize> {
    let any_untried = candidates.iter().any(|candidate| !candidate.was_attempted);
    let weights: Vec<f64> = candidates
        .iter()
        .map(|candidate| match any_untried && candidate.was_attempted {
            true => 0.0,
            false => weight(candidate),
        })
        .collect();
    let first = draw(&weights, rng)?;
    let second = draw(&weights, rng)?;
    match cost(&candidates[second]) < cost(&candidates[first]) {
        true => Some(second),
        false => Some(first),
    }
}

fn draw(weights: &[f64], rng: &mut fastrand::Rng) -> Option<usize> {
    let total: f64 = weights.iter().sum();
    let mut point = rng.f64() * total;
    for (i, weight) in weights.iter().enumerate() {
        if point < *weight {
            return Some(i);
        }
        point -= weight;
    }
    // Rounding may leave the point just past the last weight.
    weights.iter().rposition(|weight| *weight > 0.0)
}

/// Share of recent requests that failed, newest weighing most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// A request ended.
    pub fn record(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.0 += (sample - self.0) * FAILURE_WEIGHT;
    }

    /// The rate, 0 to 1.
    pub fn get(&self) -> f64 {
        self.0
    }
}
