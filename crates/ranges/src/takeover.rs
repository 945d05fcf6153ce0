//! Lease expiry as other nodes observe it, which permits a takeover of ranges.

use crate::lease::LeaseSettings;
use ibiscove_types::{NodeName, RowVersion, SinceBoot};
use std::collections::BTreeMap;

/// When this node first observed the current version of each lease row.
///
/// Invariant 2: the renewal that produced a row version was sent before any
/// node could observe that version. A node that has observed it for a whole
/// term, and finds it unchanged in the transaction that takes the ranges over,
/// acts after the lease's end.
#[derive(Clone, Debug, Default)]
pub struct LeaseObservations {
    observed: BTreeMap<NodeName, (RowVersion, SinceBoot)>,
}

impl LeaseObservations {
    /// Records a version that a heartbeat or a read showed at `now`.
    pub fn observe(&mut self, node: &NodeName, version: RowVersion, now: SinceBoot) {
        match self.observed.get_mut(node) {
            Some(latest) if latest.0 >= version => {}
            Some(latest) => *latest = (version, now),
            None => {
                self.observed.insert(NodeName::clone(node), (version, now));
            }
        }
    }

    /// Returns whether the lease whose row has this version has expired.
    pub fn has_expired(
        &self,
        node: &str,
        version: RowVersion,
        settings: &LeaseSettings,
        now: SinceBoot,
    ) -> bool {
        self.observed.get(node).is_some_and(|(latest, since)| {
            *latest == version
                && now.saturating_sub(*since) >= settings.term + settings.takeover_margin
        })
    }
}
