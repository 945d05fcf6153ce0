//! When ranges of a silent node may be taken over.

use crate::lease::LeaseSettings;
use ibiscove_types::{NodeName, RowVersion, SinceBoot};
use std::collections::BTreeMap;

/// Since when this node has known each version of the others' lease rows.
///
/// Invariant 2: a renewal that gave a row its version was sent before anybody
/// could know that version. Whoever has known it for a whole term, and finds
/// it unchanged in the transaction that takes over, acts after the lease's end.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    known: BTreeMap<NodeName, (RowVersion, SinceBoot)>,
}

impl Watch {
    /// This node heard of or read a version at `now`.
    pub fn note(&mut self, node: &NodeName, version: RowVersion, now: SinceBoot) {
        match self.known.get_mut(node) {
            Some(known) if known.0 >= version => {}
            Some(known) => *known = (version, now),
            None => {
                self.known.insert(NodeName::clone(node), (version, now));
            }
        }
    }

    /// Whether the lease that a row of this version stands for has ended.
    pub fn has_ended(
        &self,
        node: &str,
        version: RowVersion,
        settings: &LeaseSettings,
        now: SinceBoot,
    ) -> bool {
        self.known.get(node).is_some_and(|(known, since)| {
            *known == version && now.saturating_sub(*since) >= settings.term + settings.margin
        })
    }
}
