//! Claims of vacant slots, and the release of held ones as vacant.
//!
//! A slot that no node holds is listed as vacant in its service's row. Each
//! member claims up to its even share by a conditional transaction on that row
//! and its own.

use crate::MoveHooks;
use crate::reassign::successor_index;
use crate::store::{CommitOutcome, MAX_ATTEMPTS, encode_row};
use crate::{Ownership, OwnershipError, lock};
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::{Vacancy, node_key, service_key};
use ibiscove_types::{Acquisition, Clock, NodeState, ServiceRow, SlotGrant};
use ibiscove_wire::Peers;

/// Consecutive checks without another node in sight after which a node may
/// claim as the only one.
const MIN_CHECKS_ALONE: u32 = 4;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Claims vacant slots periodically until the task is dropped.
    pub(crate) async fn claim_slots(self) {
        let mut checks_alone = 0;
        loop {
            // Delay the first claim, so that nodes that start together discover
            // each other before one of them claims every slot.
            let delay = self.jittered(self.inner.settings.claim_interval);
            self.inner.clock.sleep(delay).await;
            checks_alone = match self.sees_no_other_node() {
                true => checks_alone + 1,
                false => 0,
            };
            match self.claim_after_discovery(checks_alone).await {
                Ok(()) | Err(OwnershipError::Retired) => {}
                Err(err) => {
                    metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                    log::warn!("vacant slots cannot be claimed, retrying at the next check: {err}");
                }
            }
        }
    }

    /// Claims slots, unless this node sees no other one: it then reads the
    /// table, and claims only after [`MIN_CHECKS_ALONE`] such checks.
    async fn claim_after_discovery(&self, checks_alone: u32) -> Result<(), OwnershipError> {
        if checks_alone > 0 {
            self.load_table().await?;
        }
        if (1..MIN_CHECKS_ALONE).contains(&checks_alone) {
            return Ok(());
        }
        self.claim_vacancies().await
    }

    /// Claims vacant slots up to this node's even share.
    async fn claim_vacancies(&self) -> Result<(), OwnershipError> {
        let claimable_slots = self.claimable_slots();
        if claimable_slots == 0 {
            return Ok(());
        }
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        let own = self.own_row().clone();
        let Some(service) = own.row.service().cloned() else {
            return Ok(());
        };
        let key = service_key(&service);
        let Some((version, mut service)) = self.read_into_replica::<ServiceRow>(&key).await? else {
            return Ok(());
        };
        if service.vacant.is_empty() {
            return Ok(());
        }
        let claimed = service
            .vacant
            .split_off(service.vacant.len().saturating_sub(claimable_slots));
        let mut row = own.row.clone();
        for vacancy in claimed {
            row.grants.push(SlotGrant {
                slot: vacancy.slot,
                fence: vacancy.next_fence,
                heir: successor_index(&row, vacancy.slot, row.incarnation),
                acquired: vacancy.acquired,
            });
        }
        let own_key = node_key(row.incarnation);
        let mut txn = Transaction::default();
        txn.replace(&key, Some(version), encode_row(&key, &service)?);
        txn.replace(&own_key, own.version, encode_row(&own_key, &row)?);
        // After a conflict the next check retries with fresh rows.
        self.commit_own_row(&own.row, &row, txn).await.map(drop)
    }

    /// Returns how many members the inventory lists while they may still be
    /// starting, so that the first one does not claim their share; 0 once
    /// the setting `expected_members_timeout` has passed.
    fn expected_member_count(&self) -> usize {
        let Some((expected_members, since)) = *lock(&self.inner.expected_members) else {
            return 0;
        };
        let waited = self.inner.clock.now().saturating_duration_since(since);
        match waited < self.inner.settings.expected_members_timeout {
            true => expected_members as usize,
            false => 0,
        }
    }

    /// Returns whether the replica has no other live node.
    fn sees_no_other_node(&self) -> bool {
        self.inner.replica.map().live_nodes().count() <= 1
    }

    /// Returns how many vacant slots this node may claim now. A node that others
    /// could monitor, and that names no witness yet, claims none: it could not
    /// be sealed, so its slots could not be taken over.
    fn claimable_slots(&self) -> usize {
        let own = self.own_row().row.clone();
        let Some(service) = own.service() else {
            return 0;
        };
        let map = self.inner.replica.map();
        let Some(cached) = map.service(service) else {
            return 0;
        };
        let has_lease = self.has_lease(self.inner.clock.now());
        if self.is_leaving()
            || own.state != NodeState::Live
            || cached.row.vacant.is_empty()
            || !has_lease
            || (own.witnesses.is_empty() && !self.sees_no_other_node())
        {
            return 0;
        }
        let members = map
            .members(service)
            .len()
            .max(self.expected_member_count())
            .max(1);
        let slots = cached.row.slot_count as usize + cached.row.splits.len();
        slots.div_ceil(members).saturating_sub(own.grants.len())
    }

    /// Makes every held slot vacant and retires this node's row.
    pub(crate) async fn vacate_slots(&self) -> Result<(), OwnershipError> {
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            let own = self.own_row().clone();
            if own.row.state == NodeState::Retired {
                return self.retire_own_row().await;
            }
            let key = node_key(own.row.incarnation);
            let mut row = own.row.clone();
            let vacated = std::mem::take(&mut row.grants);
            row.state = NodeState::Retired;
            let mut txn = Transaction::default();
            txn.replace(&key, own.version, encode_row(&key, &row)?);
            if let Some(service) = row.service().filter(|_| !vacated.is_empty()) {
                let key = service_key(service);
                if let Some((version, mut service)) = self.read_row::<ServiceRow>(&key).await? {
                    // Invariant 1: each change of owner raises the slot's
                    // fence.
                    service.vacant.extend(vacated.iter().map(|grant| Vacancy {
                        slot: grant.slot,
                        next_fence: grant.fence + 1,
                        acquired: Acquisition::Takeover,
                    }));
                    txn.replace(&key, Some(version), encode_row(&key, &service)?);
                }
            }
            match self.commit_own_row(&own.row, &row, txn).await {
                Ok(CommitOutcome::Done) | Err(OwnershipError::Retired) => return Ok(()),
                Ok(CommitOutcome::Changed) => {}
                Err(err) => return Err(err),
            }
        }
        Err(OwnershipError::Contended {
            key: node_key(self.incarnation()),
            attempts: MAX_ATTEMPTS,
        })
    }
}
