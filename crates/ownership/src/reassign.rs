//! Retirement of a lost node's row and reassignment of its slots, in one
//! transaction.
//!
//! Invariant 7: the new owner of a slot and its fence follow from the rows
//! alone. Each slot goes to its successor (`heir` in the row) with the next
//! fence. When that one's own row is retired too, the first successor named
//! there that was not visited yet is next, one fence higher for each step. So the
//! result does not depend on which node commits it, or on the number of
//! attempts.

use crate::lease::majority;
use crate::seals::SealSet;
use crate::store::{CommitOutcome, encode_row};
use crate::{MoveHooks, Ownership, OwnershipError};
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::{Vacancy, node_key, service_key};
use ibiscove_types::{
    Acquisition, Clock, Fence, Incarnation, NodeRow, NodeState, RowVersion, ServiceRow, SlotGrant,
};
use ibiscove_wire::Peers;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// Outcome of an attempt to reassign a node's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReassignOutcome {
    /// The row is retired.
    Done,
    /// The seals received so far are no majority of the witnesses that the row
    /// names.
    NotSealed,
    /// Rows changed concurrently: read them again.
    Changed,
}

/// Justification for retiring a row.
pub(crate) enum RetireReason<'a> {
    /// A majority of its witnesses has sealed it.
    Sealed(&'a SealSet),
    /// The operator declares it lost: witnesses that have sealed it count, and
    /// those that are lost themselves.
    Declared(&'a SealSet, &'a BTreeSet<Incarnation>),
    /// Its own node requests it, having stopped serving.
    Own,
}

impl RetireReason<'_> {
    /// Returns whether a row that names these witnesses may be retired.
    fn permits(&self, witnesses: &[Incarnation]) -> bool {
        match self {
            RetireReason::Sealed(seals) => seals.has_majority_of(witnesses),
            RetireReason::Declared(seals, lost_witnesses) => {
                let counts = |w: &&Incarnation| seals.contains(**w) || lost_witnesses.contains(*w);
                let count = witnesses.iter().filter(counts).count();
                witnesses.is_empty() || count >= majority(witnesses.len())
            }
            RetireReason::Own => true,
        }
    }
}

/// Node rows as the table has them, read once each.
#[derive(Default)]
struct RowCache(BTreeMap<Incarnation, Option<(RowVersion, NodeRow)>>);

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Attempts once to retire a node's row and reassign its slots.
    pub(crate) async fn retire_and_reassign(
        &self,
        lost: Incarnation,
        reason: RetireReason<'_>,
    ) -> Result<ReassignOutcome, OwnershipError> {
        let key = node_key(lost);
        let Some((version, mut row)) = self.read_into_replica::<NodeRow>(&key).await? else {
            return Ok(ReassignOutcome::Done);
        };
        if row.state == NodeState::Retired {
            return Ok(ReassignOutcome::Done);
        }
        // The seals must be of the witnesses that this version of the row
        // names: a conflict on it sends the caller back here (invariant 5).
        if !reason.permits(&row.witnesses) {
            return Ok(ReassignOutcome::NotSealed);
        }
        let grants = std::mem::take(&mut row.grants);
        row.state = NodeState::Retired;
        let mut txn = Transaction::default();
        txn.replace(&key, Some(version), encode_row(&key, &row)?);
        self.reassign_grants(&row, &grants, &mut txn).await?;
        match self.commit(txn).await? {
            CommitOutcome::Done => {
                log::info!(
                    ward = lost, slots = grants.len();
                    "retired a node's row and reassigned its slots"
                );
                metrics::counter!("ibiscove_ownership_settled_total").increment(1);
                Ok(ReassignOutcome::Done)
            }
            CommitOutcome::Changed => Ok(ReassignOutcome::Changed),
        }
    }

    /// Adds to the transaction the grants that successors receive and the slots
    /// that become vacant.
    async fn reassign_grants(
        &self,
        lost: &NodeRow,
        grants: &[SlotGrant],
        txn: &mut Transaction,
    ) -> Result<(), OwnershipError> {
        let mut cache = RowCache::default();
        let mut receivers = BTreeSet::new();
        let mut vacant = Vec::new();
        for grant in grants {
            match self.next_owner(&mut cache, lost, grant).await? {
                (Some(successor), fence) => {
                    receivers.insert(successor);
                    cache.add_grant(successor, lost.incarnation, grant, fence);
                }
                (None, next_fence) => vacant.push(Vacancy {
                    slot: grant.slot,
                    next_fence,
                    acquired: Acquisition::Takeover,
                }),
            }
        }
        for successor in receivers {
            if let Some(Some((version, row))) = cache.0.get(&successor) {
                let key = node_key(successor);
                txn.replace(&key, Some(*version), encode_row(&key, row)?);
            }
        }
        self.add_vacancies(lost, vacant, txn).await
    }

    async fn add_vacancies(
        &self,
        lost: &NodeRow,
        vacant: Vec<Vacancy>,
        txn: &mut Transaction,
    ) -> Result<(), OwnershipError> {
        let Some(service) = lost.service().filter(|_| !vacant.is_empty()) else {
            return Ok(());
        };
        let key = service_key(service);
        if let Some((version, mut row)) = self.read_row::<ServiceRow>(&key).await? {
            row.vacant.extend(vacant);
            txn.replace(&key, Some(version), encode_row(&key, &row)?);
        }
        Ok(())
    }

    /// Returns the next owner of a lost node's slot, if any, and its fence.
    async fn next_owner(
        &self,
        cache: &mut RowCache,
        lost: &NodeRow,
        grant: &SlotGrant,
    ) -> Result<(Option<Incarnation>, Fence), OwnershipError> {
        let mut fence = grant.fence + 1;
        let mut visited = vec![lost.incarnation];
        let named = grant.heir.and_then(|i| lost.heirs.get(usize::from(i)));
        let mut candidate = named.copied();
        while let Some(next) = candidate.filter(|next| !visited.contains(next)) {
            let row = match self.cached_row(cache, next).await? {
                Some(row) if row.state != NodeState::Retired => return Ok((Some(next), fence)),
                Some(row) => row,
                None => break,
            };
            fence += 1;
            visited.push(next);
            candidate = row.heirs.iter().find(|h| !visited.contains(h)).copied();
        }
        Ok((None, fence))
    }

    async fn cached_row<'a>(
        &self,
        cache: &'a mut RowCache,
        node: Incarnation,
    ) -> Result<Option<&'a NodeRow>, OwnershipError> {
        let row = match cache.0.entry(node) {
            Entry::Occupied(cached) => cached.into_mut(),
            Entry::Vacant(unread) => unread.insert(self.read_row(&node_key(node)).await?),
        };
        Ok(row.as_ref().map(|(_, row)| row))
    }
}

impl RowCache {
    /// Adds a lost node's slot to a successor's row. Other nodes only ever add
    /// to a row (invariant 6).
    fn add_grant(
        &mut self,
        successor: Incarnation,
        lost: Incarnation,
        grant: &SlotGrant,
        fence: Fence,
    ) {
        let Some(Some((_, row))) = self.0.get_mut(&successor) else {
            return;
        };
        if !row.absorbed.contains(&lost) {
            row.absorbed.push(lost);
        }
        row.grants.push(SlotGrant {
            slot: grant.slot,
            fence,
            heir: successor_index(row, grant.slot, lost),
            acquired: Acquisition::Takeover,
        });
    }
}

/// Returns the index of the successor for a slot that is added to a row.
pub(crate) fn successor_index(row: &NodeRow, slot: u32, lost: Incarnation) -> Option<u8> {
    let candidates: Vec<u8> = (0..row.heirs.len())
        .filter(|index| row.heirs[*index] != lost)
        .filter_map(|index| u8::try_from(index).ok())
        .collect();
    let index = (slot as usize).checked_rem(candidates.len())?;
    Some(candidates[index])
}
