//! Removal of instances that an operator declares lost.
//!
//! When a node and a majority of its witnesses are lost together, too few are
//! left to seal it. The operator, who knows that an instance is gone, lists it
//! in the inventory. Its row is then retired once it has not responded for
//! [`UNRESPONSIVE_LEASES`] leases. Witnesses that are themselves declared lost
//! or retired, and unresponsive for as long, count as if they had sealed it.
//! The slots are reassigned as after any loss (invariant 7). The operator
//! must make sure that a declared instance does not keep running where no node
//! can reach it.

use crate::reassign::{ReassignOutcome, RetireReason};
use crate::seals::SealSet;
use crate::{MoveHooks, Ownership, lock};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation, NodeState};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Heartbeat, Request, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Time, in leases, for which a declared node must have been unresponsive.
const UNRESPONSIVE_LEASES: u32 = 2;

/// When each node was first found unresponsive.
type UnresponsiveSince = BTreeMap<Incarnation, Instant>;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Replaces the set of instances that the operator declares lost, by name.
    pub fn declare_lost(&self, instances: impl IntoIterator<Item = String>) {
        *lock(&self.inner.declared_lost) = instances.into_iter().collect();
    }

    /// Retires the rows of declared losses until the task is dropped.
    pub(crate) async fn retire_declared_losses(self) {
        let mut unresponsive = UnresponsiveSince::new();
        loop {
            let delay = self.jittered(self.inner.settings.lease);
            self.inner.clock.sleep(delay).await;
            for lost in self.declared_nodes() {
                self.check_declared_loss(lost, &mut unresponsive).await;
            }
        }
    }

    /// Returns the declared instances of this node's service whose rows are not
    /// retired.
    fn declared_nodes(&self) -> Vec<Incarnation> {
        let names = lock(&self.inner.declared_lost).clone();
        let own = self.row();
        let map = self.inner.replica.map();
        let nodes = map.live_nodes().map(|node| &node.row);
        nodes
            .filter(|row| names.contains(&row.name) && !self.is_own_incarnation(row.incarnation))
            .filter(|row| row.service().is_none() || row.service() == own.service())
            .map(|row| row.incarnation)
            .collect()
    }

    async fn check_declared_loss(&self, lost: Incarnation, unresponsive: &mut UnresponsiveSince) {
        if !self.is_unresponsive(lost, unresponsive).await {
            return;
        }
        let map = self.inner.replica.map();
        let Some(node) = map.node(lost) else {
            return;
        };
        let mut lost_witnesses = BTreeSet::new();
        for witness in &node.row.witnesses {
            if self.is_retired_or_declared(*witness)
                && self.is_unresponsive(*witness, unresponsive).await
            {
                lost_witnesses.insert(*witness);
            }
        }
        self.collect_seals(lost).await;
        let seals: SealSet = self.suspects().remove(&lost).unwrap_or_default();
        match self
            .retire_and_reassign(lost, RetireReason::Declared(&seals, &lost_witnesses))
            .await
        {
            Ok(ReassignOutcome::Done) => log::warn!(
                ward = lost;
                "retired the row of an instance declared lost"
            ),
            Ok(outcome) => log::info!(
                ward = lost;
                "instance declared lost is not retired yet: {outcome:?}"
            ),
            Err(err) => log::warn!(
                ward = lost;
                "instance declared lost cannot be retired, retrying: {err}"
            ),
        }
    }

    /// Returns whether a witness is retired or declared lost.
    fn is_retired_or_declared(&self, witness: Incarnation) -> bool {
        let map = self.inner.replica.map();
        map.node(witness).is_none_or(|node| {
            node.row.state == NodeState::Retired
                || lock(&self.inner.declared_lost).contains(&node.row.name)
        })
    }

    /// Returns whether an incarnation has been unresponsive for long enough.
    /// Another incarnation at the same address does not respond for it.
    async fn is_unresponsive(
        &self,
        node: Incarnation,
        unresponsive: &mut UnresponsiveSince,
    ) -> bool {
        let now = self.inner.clock.now();
        if self.is_own_incarnation(node) || self.responds(node).await {
            unresponsive.remove(&node);
            return false;
        }
        let since = *unresponsive.entry(node).or_insert(now);
        now.duration_since(since) >= self.inner.settings.lease * UNRESPONSIVE_LEASES
    }

    async fn responds(&self, node: Incarnation) -> bool {
        let Some(addr) = self.peer_addr(node) else {
            return false;
        };
        let probe = Heartbeat {
            ward: self.incarnation() as i64,
            witness: node as i64,
            sequence: 0,
            heirs_void: false,
            holding: None,
        };
        let response = self.call_peer(addr, Request::Heartbeat(probe)).await;
        matches!(response, Some(Response::HeartbeatAck(ack)) if ack.granted)
    }
}
