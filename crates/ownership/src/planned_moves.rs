//! Planned moves of slots to other nodes.
//!
//! The owner suspends admission, waits for requests in flight, transfers the
//! deduplication windows, and only then moves the grants in one transaction.
//! Until that has been read back neither node serves the slots (invariant 9). A
//! move that fails is abandoned, and the owner continues to serve.

use crate::reassign::successor_index;
use crate::store::{CommitOutcome, MAX_ATTEMPTS, encode_row};
use crate::{MoveHooks, Ownership, OwnershipError};
use futures_util::future::join_all;
use ibiscove_store::{Table, Transaction};
use ibiscove_types::rows::node_key;
use ibiscove_types::{
    Acquisition, Clock, Incarnation, NodeRow, NodeState, ServiceName, Slot, SlotGrant,
};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Handover, Proposal, Request, Response};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between checks whether requests on a leaving node's slots have
/// ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Slots to move, by the node that is to own them.
pub(crate) type Moves = BTreeMap<Incarnation, Vec<Slot>>;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Applies the moves that a planner proposes for slots of this node.
    /// Proposed splits and merges are ignored.
    pub async fn apply_proposal(&self, proposal: &Proposal) -> Result<(), OwnershipError> {
        let row = self.row();
        if row.service().is_none_or(|s| **s != *proposal.service_name) {
            return Ok(());
        }
        let mut moves = Moves::new();
        for step in &proposal.moves {
            let (slot, to) = (step.slot as Slot, step.to as Incarnation);
            let is_held = row.grants.iter().any(|grant| grant.slot == slot);
            if is_held && to != row.incarnation {
                moves.entry(to).or_default().push(slot);
            }
        }
        self.move_slots(&moves, false).await
    }

    /// Applies queued proposals until the task is dropped.
    pub(crate) async fn run_proposed_moves(self) {
        while let Ok(proposal) = self.inner.proposals.1.recv().await {
            if let Err(err) = self.apply_proposal(&proposal).await {
                metrics::counter!("ibiscove_ownership_moves_given_up_total").increment(1);
                log::warn!("proposed moves were abandoned, the slots stay here: {err}");
            }
        }
    }

    /// Moves every slot to the least loaded members of the service, and retires
    /// this node's row in the same transaction.
    pub(crate) async fn move_all_slots(&self) -> Result<(), OwnershipError> {
        let moves = self.plan_moves_away(|_| true)?;
        self.move_slots(&moves, true).await
    }

    /// Moves each slot once no request is in flight on it, so that a long
    /// request delays no other slot. Starts no move after `until`.
    pub(crate) async fn move_idle_slots(&self, until: Instant) -> Result<(), OwnershipError> {
        while !self.own_row().row.grants.is_empty() && self.inner.clock.now() < until {
            let moves =
                self.plan_moves_away(|slot| !self.inner.held_slots.has_in_flight(Some(&[slot])))?;
            if moves.is_empty() {
                self.inner.clock.sleep(IDLE_POLL_INTERVAL).await;
            }
            self.move_slots(&moves, false).await?;
        }
        Ok(())
    }

    /// Plans the move of this node's slots that `is_selected` accepts to the
    /// least loaded members of the service.
    fn plan_moves_away(&self, is_selected: impl Fn(Slot) -> bool) -> Result<Moves, OwnershipError> {
        let row = self.row();
        let map = self.inner.replica.map();
        let members = map.live_nodes().map(|node| &node.row).filter(|node| {
            node.incarnation != row.incarnation
                && node.state == NodeState::Live
                && node.service().is_some()
                && node.service() == row.service()
        });
        let mut load: BTreeMap<Incarnation, usize> = members
            .map(|node| (node.incarnation, node.grants.len()))
            .collect();
        let mut moves = Moves::new();
        for grant in row.grants.iter().filter(|grant| is_selected(grant.slot)) {
            let least_loaded = load.iter_mut().min_by_key(|(_, load)| **load);
            let (to, load) = least_loaded.ok_or(OwnershipError::NoReceiver)?;
            *load += 1;
            moves.entry(*to).or_default().push(grant.slot);
        }
        Ok(moves)
    }

    /// Moves slots, and retires this node's row if `retire` is set.
    async fn move_slots(&self, moves: &Moves, retire: bool) -> Result<(), OwnershipError> {
        let slots: Vec<Slot> = moves.values().flatten().copied().collect();
        if slots.is_empty() && !retire {
            return Ok(());
        }
        self.inner.held_slots.suspend(&slots);
        let moved = self.drain_and_move(moves, &slots, retire).await;
        self.inner.held_slots.resume(&slots);
        if moved.is_ok() {
            metrics::counter!("ibiscove_ownership_moved_total").increment(slots.len() as u64);
        }
        moved
    }

    async fn drain_and_move(
        &self,
        moves: &Moves,
        slots: &[Slot],
        retire: bool,
    ) -> Result<(), OwnershipError> {
        let idle = async {
            self.inner.held_slots.await_idle(Some(slots)).await;
            true
        };
        let limit = async {
            self.inner
                .clock
                .sleep(self.inner.settings.hold_timeout)
                .await;
            false
        };
        if !smol::future::or(idle, limit).await {
            return Err(OwnershipError::RequestsInFlight);
        }
        self.transfer_dedup_windows(moves).await?;
        let _own_row_guard = self.inner.own_row_lock.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            match self.commit_moves(moves, retire).await {
                Ok(CommitOutcome::Done) => return Ok(()),
                // The row just read shows whether the slots have moved.
                Ok(CommitOutcome::Changed) if !self.holds_any(slots) && !retire => return Ok(()),
                Ok(CommitOutcome::Changed) => {}
                Err(OwnershipError::Retired) if retire => return Ok(()),
                Err(err) => return Err(err),
            }
        }
        Err(OwnershipError::Contended {
            key: node_key(self.incarnation()),
            attempts: MAX_ATTEMPTS,
        })
    }

    fn holds_any(&self, slots: &[Slot]) -> bool {
        let own = self.own_row();
        own.row
            .grants
            .iter()
            .any(|grant| slots.contains(&grant.slot))
    }

    /// Sends each receiver the deduplication windows of its slots.
    async fn transfer_dedup_windows(&self, moves: &Moves) -> Result<(), OwnershipError> {
        let row = self.row();
        let Some(service) = row.service() else {
            return Ok(());
        };
        for (to, slots) in moves {
            let addr = self.peer_addr(*to).ok_or(OwnershipError::NoReceiver)?;
            let calls = slots.iter().map(|slot| {
                let handover = self.handover_message(service, &row, *slot);
                self.call_peer(addr, Request::Handover(handover))
            });
            let responses = join_all(calls).await;
            let is_accepted =
                |response: &Option<Response>| matches!(response, Some(Response::Done(_)));
            if !responses.iter().all(is_accepted) {
                return Err(OwnershipError::NoReceiver);
            }
        }
        Ok(())
    }

    fn handover_message(&self, service: &ServiceName, row: &NodeRow, slot: Slot) -> Handover {
        let grant = row.grants.iter().find(|grant| grant.slot == slot);
        Handover {
            service_name: service.to_string(),
            slot: slot as i32,
            fence: grant.map_or(0, |grant| grant.fence as i64 + 1),
            entries: self.inner.hooks.export_dedup_window(service, slot),
        }
    }

    /// Attempts once to move the grants in the table. The caller holds
    /// `own_row_lock`.
    async fn commit_moves(
        &self,
        moves: &Moves,
        retire: bool,
    ) -> Result<CommitOutcome, OwnershipError> {
        let own = self.own_row().clone();
        if own.row.state == NodeState::Retired {
            return Err(OwnershipError::Retired);
        }
        let mut row = own.row.clone();
        let mut txn = Transaction::default();
        for (to, slots) in moves {
            let key = node_key(*to);
            let receiver = self.read_row::<NodeRow>(&key).await?;
            let (version, mut receiver) = receiver.ok_or(OwnershipError::NoReceiver)?;
            if receiver.state != NodeState::Live || receiver.service() != row.service() {
                return Err(OwnershipError::NoReceiver);
            }
            for grant in own.row.grants.iter().filter(|g| slots.contains(&g.slot)) {
                // Invariant 1: the change of owner raises the fence.
                receiver.grants.push(SlotGrant {
                    slot: grant.slot,
                    fence: grant.fence + 1,
                    heir: successor_index(&receiver, grant.slot, row.incarnation),
                    acquired: Acquisition::Moved,
                });
            }
            row.grants.retain(|grant| !slots.contains(&grant.slot));
            txn.replace(&key, Some(version), encode_row(&key, &receiver)?);
        }
        if retire {
            if !row.grants.is_empty() {
                // A slot was added concurrently: the caller must plan again.
                return Err(OwnershipError::RequestsInFlight);
            }
            row.state = NodeState::Retired;
        }
        let key = node_key(row.incarnation);
        txn.replace(&key, own.version, encode_row(&key, &row)?);
        self.commit_own_row(&own.row, &row, txn).await
    }
}
