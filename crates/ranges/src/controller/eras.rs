//! Ownership across eras of the table, which begin when it returns from an earlier
//! copy and has lost what was written since.
//!
//! The rows of an era say nothing about the next one, whose map starts without any
//! owner. Nodes whose lease of the earlier era still runs go on granting what their
//! upstreams hold, and claim it in their first lease row of the new era; the
//! coordinator writes the claims into the map. What nobody claims may still be held
//! under a lease of the earlier era, so it is assigned only after every such lease
//! has ended. See invariant 7 in `docs/ranges.md`.

use super::{RangeController, State};
use crate::grants::{Grantee, Grants};
use crate::map::{Assignment, Claim, Owner, RangeMap};
use crate::rows;
use ibiscove_store::era::Era;
use ibiscove_store::{Commit, RawRow, Table, TableError, Transaction};
use ibiscove_types::{BootClock, Clock, SinceBoot, UpstreamIncarnation};

/// An era, and when this node learned of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeenEra {
    pub(super) era: Era,
    pub(super) since: SinceBoot,
    /// Whether it is the first era that this process has seen.
    is_first: bool,
}

impl<T: Table, G: Grantee, C: Clock + BootClock> RangeController<T, G, C> {
    /// Returns the newest era, if any answer of the table has shown one.
    pub(super) fn observe_era(&self) -> Option<Era> {
        let era = self.inner.deps.table.era()?;
        let since = self.inner.deps.clock.since_boot();
        let mut state = self.state();
        let earlier = state.era.map(|seen| seen.era);
        if earlier != Some(era) {
            let is_first = earlier.is_none();
            state.era = Some(SeenEra {
                era,
                since,
                is_first,
            });
            let held = state.grants.held().count();
            drop(state);
            if let Some(earlier) = earlier {
                log::warn!(service = &*self.inner.deps.service, era, earlier, held;
                    "the range map of the earlier era is lost, ranges held here are claimed anew");
            }
            self.inner.state_changed.notify(usize::MAX);
        }
        Some(era)
    }

    /// Returns the newest era, from an answer of the table if there was none yet.
    pub(super) async fn known_era(&self) -> Result<Era, TableError> {
        if let Some(era) = self.observe_era() {
            return Ok(era);
        }
        let prefix = rows::prefix(&self.inner.deps.service, 0);
        self.inner.deps.table.scan(&prefix).await?;
        self.observe_era()
            .ok_or_else(|| TableError::Unavailable("the era of the table is unknown".to_owned()))
    }

    /// Reads all rows of the service in an era.
    pub(super) async fn scan_in(&self, era: Era) -> Result<Vec<(String, RawRow)>, TableError> {
        let prefix = rows::prefix(&self.inner.deps.service, era);
        let rows = self.inner.deps.table.scan(&prefix).await?;
        self.check_era(era).map(|()| rows)
    }

    /// Reads one row of an era.
    pub(super) async fn get_in(&self, era: Era, key: &str) -> Result<Option<RawRow>, TableError> {
        let row = self.inner.deps.table.get(key).await?;
        self.check_era(era).map(|()| row)
    }

    /// Commits a transaction on rows of an era.
    pub(super) async fn commit_in(&self, era: Era, txn: Transaction) -> Result<Commit, TableError> {
        let commit = self.inner.deps.table.commit(txn).await?;
        self.check_era(era).map(|()| commit)
    }

    /// Rejects an answer about rows of an era that has ended before the call was
    /// sent.
    fn check_era(&self, era: Era) -> Result<(), TableError> {
        match self.observe_era() {
            Some(newest) if newest == era => Ok(()),
            _ => Err(TableError::Unanswered(
                "the table has returned from an earlier copy".to_owned(),
            )),
        }
    }

    /// Returns whether keys that were not assigned in the present era may be: when no
    /// lease of an earlier era can still run, or there was none, as in era 0. Every such lease was
    /// confirmed, so it was sent, before this node could learn of the era.
    pub(super) fn may_assign_unclaimed(&self) -> bool {
        let now = self.inner.deps.clock.since_boot();
        let settings = &self.inner.deps.settings;
        let Some(seen) = self.state().era else {
            return false;
        };
        let wait = settings.lease.term + settings.lease.takeover_margin;
        let is_new = settings.is_first_start || seen.era == 0;
        (seen.is_first && is_new) || now.saturating_sub(seen.since) >= wait
    }
}

/// Updates the grants to match the map of an era. Grants of keys that were not
/// assigned in this era stay as they are, those that are being given away too, since
/// they were issued under an earlier one; the map of an earlier era gives no new ones.
pub(super) fn sync_grants(grants: &mut Grants, map: &RangeMap, era: Era, owner: &Owner) {
    let map = map.in_era(era);
    let held = unassigned_parts(grants.tracked(), &map);
    let held = held.iter().map(|claim| Assignment {
        range: claim.range,
        owner: Some(owner.clone()),
        fence: claim.fence,
        handover: None,
    });
    let owned: Vec<Assignment> = map.owned_by(owner).cloned().chain(held).collect();
    grants.sync_with(&owned);
}

/// Returns the parts of claims that the map has not assigned to anyone in its era.
fn unassigned_parts(claims: impl Iterator<Item = Claim>, map: &RangeMap) -> Vec<Claim> {
    let unassigned = map.assignments().filter(|a| a.is_unassigned());
    let unassigned: Vec<_> = unassigned.map(|a| a.range).collect();
    if unassigned.is_empty() {
        return Vec::new();
    }
    let parts = |claim: Claim| {
        let common = unassigned
            .iter()
            .filter_map(move |range| range.intersection(&claim.range));
        common.map(move |range| Claim { range, ..claim })
    };
    claims.flat_map(parts).collect()
}

/// Claims that an earlier process of this node has made in an era, beside the same
/// incarnation of the upstream.
#[derive(Clone, Debug)]
pub(super) struct InheritedClaims {
    pub(super) era: Era,
    pub(super) incarnation: UpstreamIncarnation,
    pub(super) claims: Vec<Claim>,
}

impl State {
    /// Returns what this node claims in an era: what its upstream holds and the map of
    /// the era has not assigned to anyone.
    pub(super) fn claims(&self, map: &RangeMap, era: Era) -> Vec<Claim> {
        unassigned_parts(self.grants.held(), &map.in_era(era))
    }

    /// Returns what an earlier process has claimed in an era and the map has not
    /// assigned to anyone yet.
    pub(super) fn inherited_claims(&self, map: &RangeMap, era: Era) -> Vec<Claim> {
        match &self.inherited_claims {
            Some(inherited)
                if inherited.era == era
                    && self.incarnation.as_ref() == Some(&inherited.incarnation) =>
            {
                unassigned_parts(inherited.claims.iter().copied(), &map.in_era(era))
            }
            _ => Vec::new(),
        }
    }
}
