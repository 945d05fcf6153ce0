//! Updates of this node's own row.
//!
//! Invariant 6: before a change that removes a grant, or that names other
//! successors or witnesses, a majority of the witnesses must hold that the
//! successors (`heirs` in the row) are void. Only this node makes such changes,
//! one at a time; other nodes only add grants, or retire the row.

use crate::store::{CommitOutcome, MAX_ATTEMPTS, encode_row};
use crate::{MoveHooks, OwnRow, Ownership, OwnershipError};
use ibiscove_spread::ReplicatedRow;
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::node_key;
use ibiscove_types::{Clock, NodeRow, NodeState, RowVersion};
use ibiscove_wire::Peers;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Applies `edit` to this node's row in the table. The edit must be
    /// idempotent: it is reapplied after a conflict.
    pub(crate) async fn update_own_row(
        &self,
        edit: impl Fn(&mut NodeRow) + Send,
    ) -> Result<(), OwnershipError> {
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            let own = self.own_row().clone();
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
            txn.replace(&key, own.version, encode_row(&key, &row)?);
            if self.commit_own_row(&own.row, &row, txn).await? == CommitOutcome::Done {
                return Ok(());
            }
        }
        Err(OwnershipError::Contended {
            key: node_key(self.incarnation()),
            attempts: MAX_ATTEMPTS,
        })
    }

    /// Commits a transaction that changes this node's row, and informs the
    /// witnesses before and after. The caller holds `own_row_lock`.
    pub(crate) async fn commit_own_row(
        &self,
        before: &NodeRow,
        after: &NodeRow,
        txn: Transaction,
    ) -> Result<CommitOutcome, OwnershipError> {
        if invalidates_successors(before, after) {
            // Check the table first: while it is unavailable the change cannot
            // be made, and the successors must stay valid.
            self.inner.table.get(&node_key(before.incarnation)).await?;
            self.void_successors().await?;
        }
        if before.witnesses != after.witnesses {
            // Invariant 4: both sets count until the row has been read back.
            self.inner.lease.propose_witnesses(after.witnesses.clone());
        }
        match self.commit(txn).await {
            Ok(outcome) => {
                self.read_own_row_with_retries().await?;
                Ok(outcome)
            }
            Err(err) => {
                // The transaction was not applied, so the row is unchanged.
                self.confirm_own_row();
                Err(err)
            }
        }
    }

    /// Waits until a majority of the witnesses holds that the successors are
    /// void.
    async fn void_successors(&self) -> Result<(), OwnershipError> {
        let sequence = self.inner.lease.void_successors();
        let is_held = async {
            loop {
                let changed = self.inner.lease.changed.listen();
                if self.inner.lease.is_held_by_majority(sequence) {
                    return true;
                }
                changed.await;
            }
        };
        let limit = async {
            self.inner.clock.sleep(self.inner.settings.lease).await;
            false
        };
        if smol::future::or(is_held, limit).await {
            return Ok(());
        }
        self.confirm_own_row();
        Err(OwnershipError::TooFewWitnesses)
    }

    /// Informs the witnesses that the row as last read is valid.
    fn confirm_own_row(&self) {
        let own = self.own_row().clone();
        self.inner
            .lease
            .confirm_row(own.version.unwrap_or_default(), &own.row);
    }

    /// Reads this node's row, retrying until the table responds.
    async fn read_own_row_with_retries(&self) -> Result<(), OwnershipError> {
        let mut backoff = Default::default();
        loop {
            match self.read_own_row().await {
                Err(OwnershipError::Table(err)) => {
                    log::warn!("this node's row cannot be read back, retrying: {err}")
                }
                other => return other,
            }
            self.back_off(&mut backoff).await;
        }
    }

    /// Reads this node's row from the table and applies it.
    pub(crate) async fn read_own_row(&self) -> Result<(), OwnershipError> {
        let key = node_key(self.incarnation());
        match self.read_into_replica::<NodeRow>(&key).await? {
            Some((version, row)) => self.apply_own_row(version, row),
            None => Ok(()),
        }
    }

    /// Applies a newer version of this node's row, whoever wrote it.
    fn apply_own_row(&self, version: RowVersion, row: NodeRow) -> Result<(), OwnershipError> {
        let mut own = self.own_row();
        if row.incarnation != own.row.incarnation || own.version > Some(version) {
            return Ok(());
        }
        *own = OwnRow {
            row: row.clone(),
            version: Some(version),
        };
        drop(own);
        if row.state == NodeState::Retired {
            self.stop_serving();
            return Err(OwnershipError::Retired);
        }
        self.inner.lease.confirm_row(version, &row);
        self.refresh_held_slots();
        Ok(())
    }

    /// Applies what other nodes have added to this node's row, as the replica
    /// has it.
    pub(crate) async fn adopt_own_row(&self) -> Result<(), OwnershipError> {
        let identity = |own: &OwnRow| (own.row.incarnation, own.version);
        let (incarnation, version) = identity(&self.own_row());
        let map = self.inner.replica.map();
        let newer = map
            .node(incarnation)
            .filter(|node| Some(node.version) > version);
        if newer.is_none() {
            return Ok(());
        }
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        let map = self.inner.replica.map();
        match map.node(incarnation) {
            Some(node) => self.apply_own_row(node.version, node.row.clone()),
            None => Ok(()),
        }
    }

    /// Applies written rows to the replica and queues them for pushing to
    /// peers.
    pub(crate) fn publish(&self, entries: Vec<ReplicatedRow>) {
        let newer = self.inner.replica.apply(entries);
        if !newer.is_empty() {
            // Fails only when the node has stopped.
            let _ = self.inner.outbox.0.try_send(newer);
        }
    }
}

/// Returns whether a successor that acts on the row `before` would claim a slot
/// that the row `after` does not assign to it.
fn invalidates_successors(before: &NodeRow, after: &NodeRow) -> bool {
    if before.witnesses.is_empty() {
        return false;
    }
    let is_retained = |grant: &ibiscove_types::SlotGrant| after.grants.contains(grant);
    before.witnesses != after.witnesses
        || before.heirs != after.heirs
        || !before.grants.iter().all(is_retained)
        || after.state == NodeState::Retired
}
