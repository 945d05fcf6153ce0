//! Claiming vacant slots and releasing held ones.

use crate::MoveHooks;
use crate::settle::heir_for;
use crate::store::{Committed, MAX_ATTEMPTS, to_body};
use crate::{Ownership, OwnershipError, lock};
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::{Vacancy, node_key, service_key};
use ibiscove_types::{Acquisition, Clock, NodeState, ServiceRow, SlotGrant};
use ibiscove_wire::Peers;

/// Looks after which a node that sees no other one believes it.
const LOOKS_ALONE: u32 = 4;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Claims vacant slots again and again, until the task is dropped.
    pub(crate) async fn claim(self) {
        let mut looks_alone = 0;
        loop {
            // Nodes that start together learn of each other before one of
            // them takes all there is.
            let pause = self.jittered(self.inner.settings.claim_interval);
            self.inner.clock.sleep(pause).await;
            looks_alone = match self.is_alone() {
                true => looks_alone + 1,
                false => 0,
            };
            match self.claim_unless_new_here(looks_alone).await {
                Ok(()) | Err(OwnershipError::Retired) => {}
                Err(err) => {
                    metrics::counter!("ibiscove_ownership_waiting_total").increment(1);
                    log::warn!("claiming slots waits: {err}");
                }
            }
        }
    }

    /// A node that sees no other one asks the table for others, and believes it
    /// only after some looks.
    async fn claim_unless_new_here(&self, looks_alone: u32) -> Result<(), OwnershipError> {
        if looks_alone > 0 {
            self.load_table().await?;
        }
        if (1..LOOKS_ALONE).contains(&looks_alone) {
            return Ok(());
        }
        self.claim_vacancies().await
    }

    /// Claims vacant slots up to this node's even share.
    async fn claim_vacancies(&self) -> Result<(), OwnershipError> {
        let room = self.room();
        if room == 0 {
            return Ok(());
        }
        let _one_at_a_time = self.inner.changing.lock().await;
        let own = self.own().clone();
        let Some(service) = own.row.service().cloned() else {
            return Ok(());
        };
        let key = service_key(&service);
        let Some((version, mut service)) = self.read_and_keep::<ServiceRow>(&key).await? else {
            return Ok(());
        };
        if service.vacant.is_empty() {
            return Ok(());
        }
        let taken = service
            .vacant
            .split_off(service.vacant.len().saturating_sub(room));
        let mut row = own.row.clone();
        for vacancy in taken {
            row.grants.push(SlotGrant {
                slot: vacancy.slot,
                fence: vacancy.next_fence,
                heir: heir_for(&row, vacancy.slot, row.incarnation),
                acquired: vacancy.acquired,
            });
        }
        let own_key = node_key(row.incarnation);
        let mut txn = Transaction::default();
        txn.replace(&key, Some(version), to_body(&key, &service)?);
        txn.replace(&own_key, own.version, to_body(&own_key, &row)?);
        // After a conflict the next look tries again with fresh rows.
        self.commit_own(&own.row, &row, txn).await.map(drop)
    }

    /// Members that the service is to have while they may still be starting, so
    /// that the first does not take what is to be the others'. A slot waits no
    /// longer for members that do not come.
    fn members_to_come(&self) -> usize {
        let Some((expected, since)) = *lock(&self.inner.expected) else {
            return 0;
        };
        let waited = self.inner.clock.now().saturating_duration_since(since);
        match waited < self.inner.settings.expected_members_timeout {
            true => expected as usize,
            false => 0,
        }
    }

    /// Whether no other node is known. A node that others could witness, and
    /// that names none yet, could not be taken over from, so it claims nothing.
    fn is_alone(&self) -> bool {
        self.inner.replica.map().live_nodes().count() <= 1
    }

    /// How many vacant slots this node may claim now.
    fn room(&self) -> usize {
        let own = self.own().row.clone();
        let Some(service) = own.service() else {
            return 0;
        };
        let map = self.inner.replica.map();
        let Some(known) = map.service(service) else {
            return 0;
        };
        let has_lease = self.has_lease(self.inner.clock.now());
        if self.is_leaving()
            || own.state != NodeState::Live
            || known.row.vacant.is_empty()
            || !has_lease
            || (own.witnesses.is_empty() && !self.is_alone())
        {
            return 0;
        }
        let members = map
            .members(service)
            .len()
            .max(self.members_to_come())
            .max(1);
        let slots = known.row.slot_count as usize + known.row.splits.len();
        slots.div_ceil(members).saturating_sub(own.grants.len())
    }

    /// Makes every held slot vacant and retires this node's row.
    pub(crate) async fn release_slots(&self) -> Result<(), OwnershipError> {
        let _one_at_a_time = self.inner.changing.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            let own = self.own().clone();
            if own.row.state == NodeState::Retired {
                return self.retire_own_row().await;
            }
            let key = node_key(own.row.incarnation);
            let mut row = own.row.clone();
            let vacated = std::mem::take(&mut row.grants);
            row.state = NodeState::Retired;
            let mut txn = Transaction::default();
            txn.replace(&key, own.version, to_body(&key, &row)?);
            if let Some(service) = row.service().filter(|_| !vacated.is_empty()) {
                let key = service_key(service);
                if let Some((version, mut service)) = self.read::<ServiceRow>(&key).await? {
                    // Invariant 1: the fence of each slot rises with its owner.
                    service.vacant.extend(vacated.iter().map(|grant| Vacancy {
                        slot: grant.slot,
                        next_fence: grant.fence + 1,
                        acquired: Acquisition::Takeover,
                    }));
                    txn.replace(&key, Some(version), to_body(&key, &service)?);
                }
            }
            match self.commit_own(&own.row, &row, txn).await {
                Ok(Committed::Done) | Err(OwnershipError::Retired) => return Ok(()),
                Ok(Committed::Changed) => {}
                Err(err) => return Err(err),
            }
        }
        Err(OwnershipError::Contended {
            key: node_key(self.incarnation()),
            attempts: MAX_ATTEMPTS,
        })
    }
}
