//! Reconciliation of this node's row: selects witnesses and successors,
//! registers the local upstream, and rejoins as another incarnation when this
//! one was sealed or retired.

use crate::pacing::RepairPacer;
use crate::reassign::{ReassignOutcome, RetireReason};
use crate::store::Backoff;
use crate::{MoveHooks, OwnRow, Ownership, OwnershipError, lock, selection};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation, NodeRow, NodeState};
use ibiscove_wire::Peers;
use std::time::Instant;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Reconciles this node's row until the task is dropped.
    pub(crate) async fn reconcile_row(self) {
        let mut lease_missing_since = None;
        let mut pacer = RepairPacer::default();
        loop {
            if let Err(err) = self
                .reconcile_once(&mut lease_missing_since, &mut pacer)
                .await
            {
                metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                log::warn!("this node's row cannot be updated, retrying at the next check: {err}");
            }
            let delay = self.jittered(self.inner.settings.review_interval);
            let timer = self.inner.clock.sleep(delay);
            smol::future::or(timer, self.inner.row_check_requested.listen()).await;
        }
    }

    async fn reconcile_once(
        &self,
        lease_missing_since: &mut Option<Instant>,
        pacer: &mut RepairPacer,
    ) -> Result<(), OwnershipError> {
        let now = self.inner.clock.now();
        if self.has_retired() {
            return Ok(());
        }
        if self.own_row().version.is_none() {
            // The first incarnation is registered by the code that starts the
            // node.
            let is_first = lock(&self.inner.former_incarnations).is_empty();
            return if is_first {
                Ok(())
            } else {
                self.register().await
            };
        }
        if self.own_row().row.state == NodeState::Retired {
            self.rejoin().await?;
        }
        if self.has_lease(now) {
            *lease_missing_since = None;
        } else if self.is_lease_unrecoverable(*lease_missing_since.get_or_insert(now)) {
            self.rejoin().await?;
            *lease_missing_since = None;
        }
        match self.update_selection(pacer).await {
            Err(OwnershipError::Retired) => self.rejoin().await,
            other => other,
        }
    }

    /// Returns whether no lease can be granted any more, or this node has been
    /// without one for longer than the setting `rejoin_after`.
    fn is_lease_unrecoverable(&self, since: Instant) -> bool {
        let waited = self.inner.clock.now().duration_since(since);
        let own = self.own_row();
        own.row.state == NodeState::Retired
            || self.inner.lease.is_sealed()
            || waited > self.inner.settings.rejoin_after
    }

    /// Updates the witnesses and successors in this node's row, and the
    /// upstream that has announced itself.
    async fn update_selection(&self, pacer: &mut RepairPacer) -> Result<(), OwnershipError> {
        let map = self.inner.replica.map();
        let announced_upstream = self.announced_upstream().clone();
        if !self.has_lease(self.inner.clock.now()) {
            // Without a majority of the witnesses no change is permitted.
            return Err(OwnershipError::TooFewWitnesses);
        }
        let own = self.own_row().row.clone();
        let (witnesses, successors) =
            selection::select(&own, &map, |node| self.inner.lease.has_lost_witness(node));
        let names_replaced = |named: &[Incarnation], selected: &[Incarnation]| {
            named.iter().any(|node| !selected.contains(node))
        };
        let repair_needed =
            names_replaced(&own.witnesses, &witnesses) || names_replaced(&own.heirs, &successors);
        let may_repair = {
            let retired = map.nodes().filter(|n| n.row.state == NodeState::Retired);
            let (retired, now) = (retired.count(), self.inner.clock.now());
            pacer.may_repair(repair_needed, retired, now, &mut self.rng())
        };
        self.update_own_row(|row| {
            if announced_upstream.is_some() {
                row.upstream.clone_from(&announced_upstream);
            }
            if may_repair || !repair_needed {
                row.witnesses.clone_from(&witnesses);
                assign_successors(row, &successors);
            }
        })
        .await
    }

    /// Retires this incarnation's row and registers as another one, with no
    /// grants. Its slots go to their successors (invariant 7), as if its
    /// witnesses had sealed it.
    async fn rejoin(&self) -> Result<(), OwnershipError> {
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        let lost = self.incarnation();
        self.retire_own_row().await?;
        if self.is_leaving() {
            return Ok(());
        }
        let incarnation: Incarnation = self.rng().u64(1..=i64::MAX as u64);
        let row = NodeRow {
            incarnation,
            state: NodeState::Live,
            witnesses: Vec::new(),
            heirs: Vec::new(),
            grants: Vec::new(),
            absorbed: Vec::new(),
            ..self.own_row().row.clone()
        };
        log::warn!(
            lost, incarnation;
            "this node was sealed, retired or too long without a lease; \
             rejoining as another incarnation"
        );
        metrics::counter!("ibiscove_ownership_rejoined_total").increment(1);
        lock(&self.inner.former_incarnations).push(lost);
        *self.own_row() = OwnRow { row, version: None };
        self.refresh_held_slots();
        self.inner.lease.reset();
        drop(_own_row_guard);
        self.register().await
    }

    /// Stops serving and reassigns the slots to their successors. The lease
    /// must have ended, or no request may have been admitted for the length of
    /// a lease. The caller holds `own_row_lock`.
    pub(crate) async fn retire_own_row(&self) -> Result<(), OwnershipError> {
        let before = self.own_row().clone();
        // Late acknowledgements must not restore the slots while the row is
        // being retired.
        self.inner.lease.set_renounced(true);
        self.stop_serving();
        let mut backoff = Backoff::default();
        loop {
            match self
                .retire_and_reassign(before.row.incarnation, RetireReason::Own)
                .await
            {
                Ok(ReassignOutcome::Done) => return Ok(()),
                Ok(_) => self.back_off(&mut backoff).await,
                Err(err) => {
                    // The row is unchanged, so the lease may still be regained.
                    *self.own_row() = before;
                    self.inner.lease.set_renounced(false);
                    self.refresh_held_slots();
                    return Err(err);
                }
            }
        }
    }
}

/// Sets the row's successors, and distributes the grants evenly among them.
fn assign_successors(row: &mut NodeRow, successors: &[Incarnation]) {
    let has_successors = row.grants.iter().all(|grant| grant.heir.is_some());
    if row.heirs == successors && (has_successors || successors.is_empty()) {
        return;
    }
    row.heirs = successors.to_vec();
    for (index, grant) in row.grants.iter_mut().enumerate() {
        let successor = index.checked_rem(successors.len());
        grant.heir = successor.and_then(|i| u8::try_from(i).ok());
    }
}
