//! Seals of a lost node, and what they permit.

use crate::lease::majority;
use ibiscove_types::{Acquisition, Fence, Incarnation, Slot, SlotGrant};
use ibiscove_wire::messages::{Holding, Seal};
use std::collections::BTreeMap;

/// The seals of one node, by witness. Seals are for ever, so they only add up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    seals: BTreeMap<Incarnation, Seal>,
}

impl Evidence {
    /// Takes a witness's answer, if it is a seal.
    pub(crate) fn add(&mut self, witness: Incarnation, seal: Seal) {
        if seal.sealed {
            self.seals.insert(witness, seal);
        }
    }

    /// Whether a witness has sealed.
    pub(crate) fn has(&self, witness: Incarnation) -> bool {
        self.seals.contains_key(&witness)
    }

    /// The first witness that has sealed and that `is` asks for.
    pub(crate) fn witness(&self, is: impl Fn(Incarnation) -> bool) -> Option<Incarnation> {
        self.seals.keys().copied().find(|witness| is(*witness))
    }

    /// Whether a majority of these witnesses has sealed (invariant 5). A node
    /// without witnesses cannot be sealed.
    pub(crate) fn is_majority_of(&self, witnesses: &[Incarnation]) -> bool {
        let count = witnesses.iter().filter(|w| self.has(**w)).count();
        !witnesses.is_empty() && count >= majority(witnesses.len())
    }

    /// What the lost node last told its witnesses, void or not.
    pub(crate) fn newest(&self) -> Option<&Holding> {
        let newest = self.seals.values().max_by_key(|seal| seal.sequence)?;
        newest.holding.as_ref()
    }

    /// The holding that heirs may act on without the table.
    ///
    /// Invariant 6: it is the newest among the seals, it is not void, and a
    /// majority of the witnesses that it names has sealed.
    pub(crate) fn valid_holding(&self) -> Option<&Holding> {
        let newest = self.seals.values().map(|seal| seal.sequence).max()?;
        let mut seals = self.seals.values().filter(|s| s.sequence == newest);
        if seals.any(|seal| seal.heirs_void) {
            return None;
        }
        let holding = self.newest()?;
        self.is_majority_of(&witnesses(holding)).then_some(holding)
    }
}

/// The witnesses that a holding names.
pub(crate) fn witnesses(holding: &Holding) -> Vec<Incarnation> {
    holding
        .witnesses
        .iter()
        .map(|w| *w as Incarnation)
        .collect()
}

/// The grants that an heir takes over by a holding.
///
/// Invariant 7: the transaction that settles the takeover gives the same slots
/// to the same heir under the same fences.
pub(crate) fn grants_of(holding: &Holding, heir: Incarnation) -> Vec<SlotGrant> {
    let named = |index: i16| {
        let index = usize::try_from(index).ok()?;
        holding.heirs.get(index).map(|heir| *heir as Incarnation)
    };
    let grants = holding.grants.iter();
    grants
        .filter(|grant| named(grant.heir) == Some(heir))
        .map(|grant| SlotGrant {
            slot: grant.slot as Slot,
            fence: grant.fence as Fence + 1,
            heir: None,
            acquired: Acquisition::Takeover,
        })
        .collect()
}
