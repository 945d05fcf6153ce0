//! The transaction that retires a lost node's row and gives its slots away.
//!
//! Invariant 7: who gets a slot, and under which fence, follows from the rows
//! alone. Each slot goes to its heir with the next fence; when the heir's own
//! row is retired, to the first heir of that row which is not, one fence higher
//! for each step. So it does not matter who settles, or how often it is tried.

use crate::evidence::Evidence;
use crate::lease::majority;
use crate::store::{Committed, to_body};
use crate::{MoveHooks, Ownership, OwnershipError};
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::{Vacancy, node_key, service_key};
use ibiscove_types::{
    Acquisition, Clock, Fence, Incarnation, NodeRow, NodeState, RowVersion, ServiceRow, SlotGrant,
};
use ibiscove_wire::Peers;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// What came of an attempt to settle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Settled {
    /// The row is retired.
    Done,
    /// The seals known here are no majority of the witnesses that the row names.
    NotSealed,
    /// Rows changed meanwhile: look again.
    Changed,
}

/// Why a row may be retired.
pub(crate) enum Cause<'a> {
    /// A majority of its witnesses has sealed it.
    Sealed(&'a Evidence),
    /// The operator declares it lost: witnesses that have sealed count, and
    /// those that are gone themselves.
    Declared(&'a Evidence, &'a BTreeSet<Incarnation>),
    /// Its own node says so, having stopped to serve.
    Own,
}

impl Cause<'_> {
    /// Whether a row that names these witnesses may be retired.
    fn permits(&self, witnesses: &[Incarnation]) -> bool {
        match self {
            Cause::Sealed(evidence) => evidence.is_majority_of(witnesses),
            Cause::Declared(evidence, gone) => {
                let counts = |w: &&Incarnation| evidence.has(**w) || gone.contains(*w);
                let count = witnesses.iter().filter(counts).count();
                witnesses.is_empty() || count >= majority(witnesses.len())
            }
            Cause::Own => true,
        }
    }
}

/// Node rows as the table has them, read once each.
#[derive(Default)]
struct Rows(BTreeMap<Incarnation, Option<(RowVersion, NodeRow)>>);

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Tries once to retire a node's row and give its slots away.
    pub(crate) async fn settle(
        &self,
        ward: Incarnation,
        cause: Cause<'_>,
    ) -> Result<Settled, OwnershipError> {
        let key = node_key(ward);
        let Some((version, mut row)) = self.read_and_keep::<NodeRow>(&key).await? else {
            return Ok(Settled::Done);
        };
        if row.state == NodeState::Retired {
            return Ok(Settled::Done);
        }
        // The seals must be of the witnesses that this very version names: a
        // conflict on it sends the caller back here (invariant 5).
        if !cause.permits(&row.witnesses) {
            return Ok(Settled::NotSealed);
        }
        let grants = std::mem::take(&mut row.grants);
        row.state = NodeState::Retired;
        let mut txn = Transaction::default();
        txn.replace(&key, Some(version), to_body(&key, &row)?);
        self.give_away(&row, &grants, &mut txn).await?;
        match self.commit(txn).await? {
            Committed::Done => {
                log::info!(ward, slots = grants.len(); "retired the row of a lost node");
                metrics::counter!("ibiscove_ownership_settled_total").increment(1);
                Ok(Settled::Done)
            }
            Committed::Changed => Ok(Settled::Changed),
        }
    }

    /// Adds to the transaction what heirs and the service's row gain.
    async fn give_away(
        &self,
        ward: &NodeRow,
        grants: &[SlotGrant],
        txn: &mut Transaction,
    ) -> Result<(), OwnershipError> {
        let mut rows = Rows::default();
        let mut receivers = BTreeSet::new();
        let mut vacant = Vec::new();
        for grant in grants {
            match self.successor(&mut rows, ward, grant).await? {
                (Some(heir), fence) => {
                    receivers.insert(heir);
                    rows.add(heir, ward.incarnation, grant, fence);
                }
                (None, next_fence) => vacant.push(Vacancy {
                    slot: grant.slot,
                    next_fence,
                    acquired: Acquisition::Takeover,
                }),
            }
        }
        for heir in receivers {
            if let Some(Some((version, row))) = rows.0.get(&heir) {
                let key = node_key(heir);
                txn.replace(&key, Some(*version), to_body(&key, row)?);
            }
        }
        self.add_vacancies(ward, vacant, txn).await
    }

    async fn add_vacancies(
        &self,
        ward: &NodeRow,
        vacant: Vec<Vacancy>,
        txn: &mut Transaction,
    ) -> Result<(), OwnershipError> {
        let Some(service) = ward.service().filter(|_| !vacant.is_empty()) else {
            return Ok(());
        };
        let key = service_key(service);
        if let Some((version, mut row)) = self.read::<ServiceRow>(&key).await? {
            row.vacant.extend(vacant);
            txn.replace(&key, Some(version), to_body(&key, &row)?);
        }
        Ok(())
    }

    /// Who gets a slot of a lost node, and its fence.
    async fn successor(
        &self,
        rows: &mut Rows,
        ward: &NodeRow,
        grant: &SlotGrant,
    ) -> Result<(Option<Incarnation>, Fence), OwnershipError> {
        let mut fence = grant.fence + 1;
        let mut passed = vec![ward.incarnation];
        let named = grant.heir.and_then(|i| ward.heirs.get(usize::from(i)));
        let mut candidate = named.copied();
        while let Some(heir) = candidate.filter(|heir| !passed.contains(heir)) {
            let row = match self.cached(rows, heir).await? {
                Some(row) if row.state != NodeState::Retired => return Ok((Some(heir), fence)),
                Some(row) => row,
                None => break,
            };
            fence += 1;
            passed.push(heir);
            candidate = row.heirs.iter().find(|h| !passed.contains(h)).copied();
        }
        Ok((None, fence))
    }

    async fn cached<'a>(
        &self,
        rows: &'a mut Rows,
        node: Incarnation,
    ) -> Result<Option<&'a NodeRow>, OwnershipError> {
        let row = match rows.0.entry(node) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(unread) => unread.insert(self.read(&node_key(node)).await?),
        };
        Ok(row.as_ref().map(|(_, row)| row))
    }
}

impl Rows {
    /// Adds a lost node's slot to an heir's row. Others only ever add to a row
    /// (invariant 6).
    fn add(&mut self, heir: Incarnation, ward: Incarnation, grant: &SlotGrant, fence: Fence) {
        let Some(Some((_, row))) = self.0.get_mut(&heir) else {
            return;
        };
        if !row.absorbed.contains(&ward) {
            row.absorbed.push(ward);
        }
        row.grants.push(SlotGrant {
            slot: grant.slot,
            fence,
            heir: heir_for(row, grant.slot, ward),
            acquired: Acquisition::Takeover,
        });
    }
}

/// Which of a row's heirs stands in for a slot that is added to it.
pub(crate) fn heir_for(row: &NodeRow, slot: u32, lost: Incarnation) -> Option<u8> {
    let candidates: Vec<u8> = (0..row.heirs.len())
        .filter(|index| row.heirs[*index] != lost)
        .filter_map(|index| u8::try_from(index).ok())
        .collect();
    let index = (slot as usize).checked_rem(candidates.len())?;
    Some(candidates[index])
}
