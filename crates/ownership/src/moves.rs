//! Planned moves of slots to other nodes.
//!
//! The owner stops to admit, lets work in flight end, hands the deduplication
//! windows over, and only then moves the grants in one transaction. Until that
//! has been read back neither node serves the slots (invariant 9). A move that
//! cannot be made is given up, and the owner serves on.

use crate::settle::heir_for;
use crate::store::{Committed, MAX_ATTEMPTS, to_body};
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

/// Time between two looks at whether work on a leaving node's slots has ended.
const IDLE_LOOK: Duration = Duration::from_millis(50);

/// Slots by the node that is to own them.
pub(crate) type Moves = BTreeMap<Incarnation, Vec<Slot>>;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Makes the moves that a planner proposes, as far as they concern slots
    /// of this node. Splits and merges of keys are not made.
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

    /// Makes proposed moves until the task is dropped.
    pub(crate) async fn make_moves(self) {
        while let Ok(proposal) = self.inner.proposals.1.recv().await {
            if let Err(err) = self.apply_proposal(&proposal).await {
                metrics::counter!("ibiscove_ownership_moves_given_up_total").increment(1);
                log::warn!("a planned move was given up: {err}");
            }
        }
    }

    /// Hands every slot to the least loaded members of the service, and
    /// retires this node's row with the same transaction.
    pub(crate) async fn hand_over_all(&self) -> Result<(), OwnershipError> {
        let moves = self.moves_away(|_| true)?;
        self.move_slots(&moves, true).await
    }

    /// Hands over each slot once no request runs on it any more, so that a long
    /// request holds up no other key than its own. Begins no move after `until`.
    pub(crate) async fn hand_over_as_work_ends(
        &self,
        until: Instant,
    ) -> Result<(), OwnershipError> {
        while !self.own().row.grants.is_empty() && self.inner.clock.now() < until {
            let moves = self.moves_away(|slot| !self.inner.held.is_busy(Some(&[slot])))?;
            if moves.is_empty() {
                self.inner.clock.sleep(IDLE_LOOK).await;
            }
            self.move_slots(&moves, false).await?;
        }
        Ok(())
    }

    /// Moves of those of this node's slots that are `chosen` to the least
    /// loaded members of the service.
    fn moves_away(&self, chosen: impl Fn(Slot) -> bool) -> Result<Moves, OwnershipError> {
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
        for grant in row.grants.iter().filter(|grant| chosen(grant.slot)) {
            let least = load.iter_mut().min_by_key(|(_, load)| **load);
            let (to, load) = least.ok_or(OwnershipError::NoReceiver)?;
            *load += 1;
            moves.entry(*to).or_default().push(grant.slot);
        }
        Ok(moves)
    }

    /// Moves slots, and retires this node's row when `retire` says so.
    async fn move_slots(&self, moves: &Moves, retire: bool) -> Result<(), OwnershipError> {
        let slots: Vec<Slot> = moves.values().flatten().copied().collect();
        if slots.is_empty() && !retire {
            return Ok(());
        }
        self.inner.held.hold(&slots);
        let moved = self.move_held_slots(moves, &slots, retire).await;
        self.inner.held.release(&slots);
        if moved.is_ok() {
            metrics::counter!("ibiscove_ownership_moved_total").increment(slots.len() as u64);
        }
        moved
    }

    async fn move_held_slots(
        &self,
        moves: &Moves,
        slots: &[Slot],
        retire: bool,
    ) -> Result<(), OwnershipError> {
        let idle = async {
            self.inner.held.idle(Some(slots)).await;
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
        self.hand_over_windows(moves).await?;
        let _one_at_a_time = self.inner.changing.lock().await;
        for _ in 0..MAX_ATTEMPTS {
            match self.commit_moves(moves, retire).await {
                Ok(Committed::Done) => return Ok(()),
                // The row says what came of it.
                Ok(Committed::Changed) if !self.holds_any(slots) && !retire => return Ok(()),
                Ok(Committed::Changed) => {}
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
        let own = self.own();
        own.row
            .grants
            .iter()
            .any(|grant| slots.contains(&grant.slot))
    }

    /// Gives each receiver the deduplication windows of its slots.
    async fn hand_over_windows(&self, moves: &Moves) -> Result<(), OwnershipError> {
        let row = self.row();
        let Some(service) = row.service() else {
            return Ok(());
        };
        for (to, slots) in moves {
            let addr = self.addr(*to).ok_or(OwnershipError::NoReceiver)?;
            let calls = slots.iter().map(|slot| {
                let handover = self.handover(service, &row, *slot);
                self.call(addr, Request::Handover(handover))
            });
            let taken = join_all(calls).await;
            let is_taken = |answer: &Option<Response>| matches!(answer, Some(Response::Done(_)));
            if !taken.iter().all(is_taken) {
                return Err(OwnershipError::NoReceiver);
            }
        }
        Ok(())
    }

    fn handover(&self, service: &ServiceName, row: &NodeRow, slot: Slot) -> Handover {
        let grant = row.grants.iter().find(|grant| grant.slot == slot);
        Handover {
            service_name: service.to_string(),
            slot: slot as i32,
            fence: grant.map_or(0, |grant| grant.fence as i64 + 1),
            entries: self.inner.hooks.export_dedup_window(service, slot),
        }
    }

    /// Tries once to move the grants in the table. The caller holds `changing`.
    async fn commit_moves(&self, moves: &Moves, retire: bool) -> Result<Committed, OwnershipError> {
        let own = self.own().clone();
        if own.row.state == NodeState::Retired {
            return Err(OwnershipError::Retired);
        }
        let mut row = own.row.clone();
        let mut txn = Transaction::default();
        for (to, slots) in moves {
            let key = node_key(*to);
            let receiver = self.read::<NodeRow>(&key).await?;
            let (version, mut receiver) = receiver.ok_or(OwnershipError::NoReceiver)?;
            if receiver.state != NodeState::Live || receiver.service() != row.service() {
                return Err(OwnershipError::NoReceiver);
            }
            for grant in own.row.grants.iter().filter(|g| slots.contains(&g.slot)) {
                // Invariant 1: the fence rises with the owner.
                receiver.grants.push(SlotGrant {
                    slot: grant.slot,
                    fence: grant.fence + 1,
                    heir: heir_for(&receiver, grant.slot, row.incarnation),
                    acquired: Acquisition::Moved,
                });
            }
            row.grants.retain(|grant| !slots.contains(&grant.slot));
            txn.replace(&key, Some(version), to_body(&key, &receiver)?);
        }
        if retire {
            if !row.grants.is_empty() {
                // A slot was added meanwhile: let the caller plan again.
                return Err(OwnershipError::RequestsInFlight);
            }
            row.state = NodeState::Retired;
        }
        let key = node_key(row.incarnation);
        txn.replace(&key, own.version, to_body(&key, &row)?);
        self.commit_own(&own.row, &row, txn).await
    }
}
