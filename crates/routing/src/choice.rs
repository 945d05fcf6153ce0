//! Load-balancing policies: choose the upstream of a shared service, any of whose
//! upstreams may run any request.
//!
//! The node crate uses [`TwoChoices`]; the proxy crate uses [`crate::placement`].
//! The other policies are baselines for comparison and implement the same trait, so
//! that a tool can run all on the same arrivals.

use crate::health::max_ejected;
use std::cmp::Ordering;

/// An upstream that may be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Stable id of the upstream.
    pub id: u64,
    /// Whether it is in the data centre of the entry, the node that takes the
    /// caller's request.
    pub in_own_data_centre: bool,
    /// Cost of one more request there, from the entry's own observations.
    pub cost: f64,
    /// Load that it last reported, whatever the age of the report.
    pub reported_load: f64,
    /// Whether it is ejected after failures.
    pub is_ejected: bool,
    /// Whether it has free capacity for one more request of this entry.
    pub has_capacity: bool,
}

/// A load-balancing policy.
pub trait Policy {
    /// Returns the index of the chosen candidate; none if there are no candidates.
    /// `key` is the hash of the request's key.
    fn choose(
        &mut self,
        candidates: &[Candidate],
        key: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize>;
}

/// Power of two choices on the entry's own observations, own data centre first.
///
/// Candidates of the own data centre are used while they have free capacity and
/// cost at most [`TwoChoices::MAX_OWN_COST_FACTOR`] times as much as one of another
/// data centre; otherwise load spills over.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    /// Whether upstreams of the own data centre are preferred.
    pub prefer_own_data_centre: bool,
}

impl TwoChoices {
    /// Maximum cost of a candidate of the own data centre, as a multiple of the cost
    /// of one in another data centre.
    pub const MAX_OWN_COST_FACTOR: f64 = 2.0;
}

impl Policy for TwoChoices {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        _key: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let non_ejected = non_ejected(candidates);
        let (own, remote): (Vec<_>, Vec<_>) = non_ejected.iter().copied().partition(|index| {
            candidates[*index].in_own_data_centre || !self.prefer_own_data_centre
        });
        let own = cheaper_of_two(candidates, &own, rng);
        let remote = cheaper_of_two(candidates, &remote, rng);
        match (own, remote) {
            (Some(own), Some(remote)) => {
                let (a, b) = (candidates[own], candidates[remote]);
                let spills_over = !a.has_capacity || a.cost > b.cost * Self::MAX_OWN_COST_FACTOR;
                Some(if spills_over { remote } else { own })
            }
            (own, remote) => own.or(remote),
        }
    }
}

/// Returns the candidates in use. When more are ejected than [`max_ejected`]
/// allows, the cheapest ejected ones stay in use, so that failures common to all
/// upstreams do not leave a service without any.
fn non_ejected(candidates: &[Candidate]) -> Vec<usize> {
    let (mut ejected, mut non_ejected): (Vec<_>, Vec<_>) =
        (0..candidates.len()).partition(|index| candidates[*index].is_ejected);
    let reinstated = ejected.len().saturating_sub(max_ejected(candidates.len()));
    ejected.sort_by(|a, b| by_cost(candidates, *a, *b));
    non_ejected.extend(ejected.into_iter().take(reinstated));
    non_ejected
}

/// Draws two candidates at random and returns the one with free capacity, or the
/// cheaper one if both or neither have it.
fn cheaper_of_two(
    candidates: &[Candidate],
    indices: &[usize],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let first = *rng.choice(indices)?;
    let remaining: Vec<_> = indices.iter().copied().filter(|n| *n != first).collect();
    let Some(second) = rng.choice(remaining) else {
        return Some(first);
    };
    let (a, b) = (&candidates[first], &candidates[second]);
    let ordering = b.has_capacity.cmp(&a.has_capacity);
    let ordering = ordering.then(by_cost(candidates, first, second));
    Some(if ordering == Ordering::Greater {
        second
    } else {
        first
    })
}

fn by_cost(candidates: &[Candidate], a: usize, b: usize) -> Ordering {
    candidates[a].cost.total_cmp(&candidates[b].cost)
}

/// Baseline: uniformly random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Policy for Random {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        _key: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        (!candidates.is_empty()).then(|| rng.usize(..candidates.len()))
    }
}

/// Baseline: round robin.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        _key: u64,
        _rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let count = candidates.len();
        let index = self.next.checked_rem(count)?;
        self.next = index + 1;
        Some(index)
    }
}

/// Baseline: the candidate whose last report has the least load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Policy for LeastReported {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        _key: u64,
        _rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let by_report = |a: &usize, b: &usize| {
            candidates[*a]
                .reported_load
                .total_cmp(&candidates[*b].reported_load)
        };
        (0..candidates.len()).min_by(by_report)
    }
}

/// Baseline: rendezvous hashing, which ignores load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rendezvous;

impl Policy for Rendezvous {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        key: u64,
        _rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        (0..candidates.len()).max_by_key(|index| rendezvous_hash(candidates[*index].id, key))
    }
}

/// Returns the weight of a node for a key; the node with the highest weight wins.
pub fn rendezvous_hash(node: u64, key: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&node.to_be_bytes());
    bytes[8..].copy_from_slice(&key.to_be_bytes());
    ibiscove_types::hash::checksum(&bytes)
}
