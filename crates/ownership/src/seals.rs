//! Seals of a lost node, and the takeover that they permit.
//!
//! A seal is a witness's statement that it will never acknowledge the node
//! again. It carries the holding, the newest copy of the node's grants and
//! successors (`heirs` on the wire) that the witness received.

use crate::lease::majority;
use ibiscove_types::{Acquisition, Fence, Incarnation, Slot, SlotGrant};
use ibiscove_wire::messages::{Holding, Seal};
use std::collections::BTreeMap;

/// The seals of one node, by witness. Seals are permanent, so the set only
/// grows.
#[derive(Clone, Debug, Default)]
pub(crate) struct SealSet {
    seals: BTreeMap<Incarnation, Seal>,
}

impl SealSet {
    /// Records a witness's response, if it is a seal.
    pub(crate) fn record(&mut self, witness: Incarnation, seal: Seal) {
        if seal.sealed {
            self.seals.insert(witness, seal);
        }
    }

    /// Returns whether a witness has sealed.
    pub(crate) fn contains(&self, witness: Incarnation) -> bool {
        self.seals.contains_key(&witness)
    }

    /// Returns the first witness that has sealed and satisfies the predicate.
    pub(crate) fn find_witness(
        &self,
        predicate: impl Fn(Incarnation) -> bool,
    ) -> Option<Incarnation> {
        self.seals
            .keys()
            .copied()
            .find(|witness| predicate(*witness))
    }

    /// Returns whether a majority of these witnesses has sealed (invariant 5).
    /// A node without witnesses cannot be sealed.
    pub(crate) fn has_majority_of(&self, witnesses: &[Incarnation]) -> bool {
        let count = witnesses.iter().filter(|w| self.contains(**w)).count();
        !witnesses.is_empty() && count >= majority(witnesses.len())
    }

    /// Returns the newest holding among the seals, void or not.
    pub(crate) fn newest_holding(&self) -> Option<&Holding> {
        let newest = self.seals.values().max_by_key(|seal| seal.sequence)?;
        newest.holding.as_ref()
    }

    /// Returns the holding that successors may act on without the table.
    ///
    /// Invariant 6: it is the newest among the seals, it is not void, and a
    /// majority of the witnesses that it names has sealed.
    pub(crate) fn valid_holding(&self) -> Option<&Holding> {
        let newest = self.seals.values().map(|seal| seal.sequence).max()?;
        let mut seals = self.seals.values().filter(|s| s.sequence == newest);
        if seals.any(|seal| seal.heirs_void) {
            return None;
        }
        let holding = self.newest_holding()?;
        self.has_majority_of(&witnesses_of(holding))
            .then_some(holding)
    }
}

/// Returns the witnesses that a holding names.
pub(crate) fn witnesses_of(holding: &Holding) -> Vec<Incarnation> {
    holding
        .witnesses
        .iter()
        .map(|w| *w as Incarnation)
        .collect()
}

/// Returns the grants that a successor takes over under a holding.
///
/// Invariant 7: the transaction that retires the lost node's row assigns the
/// same slots to the same successor under the same fences.
pub(crate) fn grants_for_successor(holding: &Holding, successor: Incarnation) -> Vec<SlotGrant> {
    let successor_at = |index: i16| {
        let index = usize::try_from(index).ok()?;
        holding
            .heirs
            .get(index)
            .map(|successor| *successor as Incarnation)
    };
    let grants = holding.grants.iter();
    grants
        .filter(|grant| successor_at(grant.heir) == Some(successor))
        .map(|grant| SlotGrant {
            slot: grant.slot as Slot,
            fence: grant.fence as Fence + 1,
            heir: None,
            acquired: Acquisition::Takeover,
        })
        .collect()
}
