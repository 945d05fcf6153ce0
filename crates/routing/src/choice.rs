//! Which upstream of a shared service takes a request.
//!
//! [`TwoChoices`] is what nodes use. The others are baselines that it is
//! measured against; all are policies of one kind, so that a tool can run them
//! on the same arrivals.

use crate::health::max_ejected;
use std::cmp::Ordering;

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Identifies it, and stays with it.
    pub id: u64,
    /// Whether it is in the entry's own data centre.
    pub in_own_data_centre: bool,
    /// What one more request costs there, by the entry's own observations.
    pub cost: f64,
    /// What it last reported of its load, however old.
    pub reported_load: f64,
    /// Whether the entry would rather leave it out.
    pub is_ejected: bool,
    /// Whether it has room for one more request of this entry.
    pub has_capacity: bool,
}

/// Chooses an upstream.
pub trait Policy {
    /// The index of the chosen candidate; none when there is none. `key` is
    /// the hash of the request's key.
    fn choose(
        &mut self,
        candidates: &[Candidate],
        key: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize>;
}

/// Power of two choices by own observations, near ones first.
///
/// Near candidates are used while they have room and cost no more than
/// [`TwoChoices::REMOTE_COST_FACTOR`] times a far one; then load spills over.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices {
    /// Whether upstreams of the own data centre go first.
    pub prefer_own_data_centre: bool,
}

impl TwoChoices {
    /// How much dearer a near candidate may be than a far one.
    pub const REMOTE_COST_FACTOR: f64 = 2.0;
}

impl Policy for TwoChoices {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        _key: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let usable = usable(candidates);
        let (near, far): (Vec<_>, Vec<_>) = usable.iter().copied().partition(|index| {
            candidates[*index].in_own_data_centre || !self.prefer_own_data_centre
        });
        let near = cheaper(candidates, &near, rng);
        let far = cheaper(candidates, &far, rng);
        match (near, far) {
            (Some(near), Some(far)) => {
                let (a, b) = (candidates[near], candidates[far]);
                let spill = !a.has_capacity || a.cost > b.cost * Self::REMOTE_COST_FACTOR;
                Some(if spill { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }
}

/// Candidates that are not left out. When more are ejected than the floor
/// allows, the cheapest of the ejected ones stay in use, so that failures
/// that hit all of them alike empty no service.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let (mut ejected, mut kept): (Vec<_>, Vec<_>) =
        (0..candidates.len()).partition(|index| candidates[*index].is_ejected);
    let back = ejected.len().saturating_sub(max_ejected(candidates.len()));
    ejected.sort_by(|a, b| by_cost(candidates, *a, *b));
    kept.extend(ejected.into_iter().take(back));
    kept
}

/// The better of two taken by chance: one with room, and the cheaper one.
fn cheaper(candidates: &[Candidate], among: &[usize], rng: &mut fastrand::Rng) -> Option<usize> {
    let first = *rng.choice(among)?;
    let others: Vec<_> = among.iter().copied().filter(|n| *n != first).collect();
    let Some(second) = rng.choice(others) else {
        return Some(first);
    };
    let (a, b) = (&candidates[first], &candidates[second]);
    let better = b.has_capacity.cmp(&a.has_capacity);
    let better = better.then(by_cost(candidates, first, second));
    Some(if better == Ordering::Greater {
        second
    } else {
        first
    })
}

fn by_cost(candidates: &[Candidate], a: usize, b: usize) -> Ordering {
    candidates[a].cost.total_cmp(&candidates[b].cost)
}

/// Baseline: any of them, by chance.
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

/// Baseline: one after the other.
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

/// Baseline: the one with the least load by its own last report.
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

/// Baseline: rendezvous hashing, which moves no key for its load.
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

/// The rank of a node for a key: the highest wins.
pub fn rendezvous_hash(node: u64, key: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&node.to_be_bytes());
    bytes[8..].copy_from_slice(&key.to_be_bytes());
    ibiscove_types::hash::checksum(&bytes)
}
