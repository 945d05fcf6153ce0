//! Changes of this node's own row.
//!
//! Invariant 6: before a change that removes a grant, or that names other heirs
//! or witnesses, a majority of the witnesses holds that the heirs are void.
//! Only this node makes such changes, one at a time; others only add grants, or
//! retire the row.

use crate::store::{Committed, MAX_ATTEMPTS, to_body};
use crate::{MoveHooks, OwnRow, Ownership, OwnershipError};
use ibiscove_spread::Entry;
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::node_key;
use ibiscove_types::{Clock, NodeRow, NodeState, RowVersion};
use ibiscove_wire::Peers;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Applies `edit` to this node's row in the table. The edit must be
    /// idempotent: it is applied again after a conflict.
    pub(crate) async fn change_own_row(
        &self,
        edit: impl Fn(&mut NodeRow) + Send,
    ) -> Result<(), OwnershipError> {
        let _one_at_a_time = self.inner.changing.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            let own = self.own().clone();
            if own.row.state == NodeState::Retired {
                return Err(OwnershipError::Retired);
            }
            let mut row = own.row.clone();
            edit(&mut row);
            if row == own.row && own.version.is_some() {
                return Ok(());
            }
            let key = node_key(row.incarnation);
            let mut txn = Transaction::default();
            txn.replace(&key, own.version, to_body(&key, &row)?);
            if self.commit_own(&own.row, &row, txn).await? == Committed::Done {
                return Ok(());
            }
        }
        Err(OwnershipError::Contended {
            key: node_key(self.incarnation()),
            attempts: MAX_ATTEMPTS,
        })
    }

    /// Commits a transaction that changes this node's row, with what the
    /// witnesses must know before and after. The caller holds `changing`.
    pub(crate) async fn commit_own(
        &self,
        before: &NodeRow,
        after: &NodeRow,
        txn: Transaction,
    ) -> Result<Committed, OwnershipError> {
        if voids_heirs(before, after) {
            // While the table is away the change cannot be made, and the
            // heirs must stay valid.
            self.inner.table.get(&node_key(before.incarnation)).await?;
            self.void_heirs().await?;
        }
        if before.witnesses != after.witnesses {
            // Invariant 4: both sets count until the row has been read back.
            self.inner.lease.propose(after.witnesses.clone());
        }
        match self.commit(txn).await {
            Ok(committed) => {
                self.read_own_row_patiently().await?;
                Ok(committed)
            }
            Err(err) => {
                // The table had no part in it, so the row is as it was.
                self.confirm_own();
                Err(err)
            }
        }
    }

    /// Returns once a majority of the witnesses holds that the heirs are void.
    async fn void_heirs(&self) -> Result<(), OwnershipError> {
        let sequence = self.inner.lease.void();
        let held = async {
            loop {
                let changed = self.inner.lease.changed.listen();
                if self.inner.lease.is_held(sequence) {
                    return true;
                }
                changed.await;
            }
        };
        let limit = async {
            self.inner.clock.sleep(self.inner.settings.lease).await;
            false
        };
        if smol::future::or(held, limit).await {
            return Ok(());
        }
        self.confirm_own();
        Err(OwnershipError::TooFewWitnesses)
    }

    /// Tells the witnesses that the row as last read holds.
    fn confirm_own(&self) {
        let own = self.own().clone();
        self.inner
            .lease
            .confirm(own.version.unwrap_or_default(), &own.row);
    }

    /// Reads the own row until the table answers.
    async fn read_own_row_patiently(&self) -> Result<(), OwnershipError> {
        let mut backoff = Default::default();
        loop {
            match self.read_own_row().await {
                Err(OwnershipError::Table(err)) => log::warn!("reading the own row: {err}"),
                other => return other,
            }
            self.pause(&mut backoff).await;
        }
    }

    /// Takes this node's row as the table has it.
    pub(crate) async fn read_own_row(&self) -> Result<(), OwnershipError> {
        let key = node_key(self.incarnation());
        match self.read_and_keep::<NodeRow>(&key).await? {
            Some((version, row)) => self.take_own_row(version, row),
            None => Ok(()),
        }
    }

    /// Takes a newer row of this node, whoever wrote it.
    fn take_own_row(&self, version: RowVersion, row: NodeRow) -> Result<(), OwnershipError> {
        let mut own = self.own();
        if row.incarnation != own.row.incarnation || own.version > Some(version) {
            return Ok(());
        }
        *own = OwnRow {
            row: row.clone(),
            version: Some(version),
        };
        drop(own);
        if row.state == NodeState::Retired {
            self.serve_nothing();
            return Err(OwnershipError::Retired);
        }
        self.inner.lease.confirm(version, &row);
        self.refresh_held();
        Ok(())
    }

    /// Takes what others have added to this node's row, as the replica has it.
    pub(crate) async fn adopt(&self) -> Result<(), OwnershipError> {
        let known = |own: &OwnRow| (own.row.incarnation, own.version);
        let (incarnation, version) = known(&self.own());
        let map = self.inner.replica.map();
        let newer = map
            .node(incarnation)
            .filter(|node| Some(node.version) > version);
        if newer.is_none() {
            return Ok(());
        }
        let _one_at_a_time = self.inner.changing.lock().await;
        let map = self.inner.replica.map();
        match map.node(incarnation) {
            Some(node) => self.take_own_row(node.version, node.row.clone()),
            None => Ok(()),
        }
    }

    /// Makes written rows known here and, by a task of their own, to peers.
    pub(crate) fn publish(&self, entries: Vec<Entry>) {
        let newer = self.inner.replica.apply(entries);
        if !newer.is_empty() {
            // Fails only when the node has stopped.
            let _ = self.inner.outbox.0.try_send(newer);
        }
    }
}

/// Whether an heir that acted on the row before would claim what the row after
/// no longer gives it.
fn voids_heirs(before: &NodeRow, after: &NodeRow) -> bool {
    if before.witnesses.is_empty() {
        return false;
    }
    let kept = |grant: &ibiscove_types::SlotGrant| after.grants.contains(grant);
    before.witnesses != after.witnesses
        || before.heirs != after.heirs
        || !before.grants.iter().all(kept)
        || after.state == NodeState::Retired
}
