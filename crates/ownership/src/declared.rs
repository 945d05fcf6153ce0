//! Losses that an operator declares.
//!
//! Where a node and too many of its witnesses are lost together, nobody is left
//! to seal it. The operator, who knows that an instance is gone, lists it in the
//! inventory. Its row is then retired once it has been silent for
//! [`SILENT_LEASES`] leases, with witnesses that are themselves declared or
//! retired, and as silent, counting as if they had sealed. What follows is the
//! same as for any loss (invariant 7). The operator answers for a declared
//! instance that runs on where nobody can reach it.

use crate::evidence::Evidence;
use crate::settle::{Cause, Settled};
use crate::{MoveHooks, Ownership, lock};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation, NodeState};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Heartbeat, Request, Response};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Leases for which a declared node must have been silent.
const SILENT_LEASES: u32 = 2;

/// Since when each node has not answered.
type Silent = BTreeMap<Incarnation, Instant>;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Takes the names of the instances that the operator declares lost, in
    /// place of those told before.
    pub fn declare_lost(&self, instances: impl IntoIterator<Item = String>) {
        *lock(&self.inner.declared) = instances.into_iter().collect();
    }

    /// Retires the rows of declared losses until the task is dropped.
    pub(crate) async fn watch_declared(self) {
        let mut silent = Silent::new();
        loop {
            let pause = self.jittered(self.inner.settings.lease);
            self.inner.clock.sleep(pause).await;
            for ward in self.declared_nodes() {
                self.look_after_declared(ward, &mut silent).await;
            }
        }
    }

    /// Rows of declared instances of this node's service, retired ones left
    /// out.
    fn declared_nodes(&self) -> Vec<Incarnation> {
        let names = lock(&self.inner.declared).clone();
        let own = self.row();
        let map = self.inner.replica.map();
        let nodes = map.live_nodes().map(|node| &node.row);
        nodes
            .filter(|row| names.contains(&row.name) && !self.was_me(row.incarnation))
            .filter(|row| row.service().is_none() || row.service() == own.service())
            .map(|row| row.incarnation)
            .collect()
    }

    async fn look_after_declared(&self, ward: Incarnation, silent: &mut Silent) {
        if !self.is_silent(ward, silent).await {
            return;
        }
        let map = self.inner.replica.map();
        let Some(node) = map.node(ward) else {
            return;
        };
        let mut gone = BTreeSet::new();
        for witness in &node.row.witnesses {
            if self.may_be_gone(*witness) && self.is_silent(*witness, silent).await {
                gone.insert(*witness);
            }
        }
        self.gather_seals(ward).await;
        let evidence: Evidence = self.reports().remove(&ward).unwrap_or_default();
        match self.settle(ward, Cause::Declared(&evidence, &gone)).await {
            Ok(Settled::Done) => log::warn!(ward; "retired the row of a declared loss"),
            Ok(settled) => log::info!(ward; "a declared loss waits: {settled:?}"),
            Err(err) => log::warn!(ward; "a declared loss waits: {err}"),
        }
    }

    /// Whether a witness is retired or declared lost.
    fn may_be_gone(&self, witness: Incarnation) -> bool {
        let map = self.inner.replica.map();
        map.node(witness).is_none_or(|node| {
            node.row.state == NodeState::Retired
                || lock(&self.inner.declared).contains(&node.row.name)
        })
    }

    /// Whether an incarnation has not answered for long. Another incarnation
    /// at its address does not answer for it.
    async fn is_silent(&self, node: Incarnation, silent: &mut Silent) -> bool {
        let now = self.inner.clock.now();
        if self.was_me(node) || self.answers(node).await {
            silent.remove(&node);
            return false;
        }
        let since = *silent.entry(node).or_insert(now);
        now.duration_since(since) >= self.inner.settings.lease * SILENT_LEASES
    }

    async fn answers(&self, node: Incarnation) -> bool {
        let Some(addr) = self.addr(node) else {
            return false;
        };
        let question = Heartbeat {
            ward: self.incarnation() as i64,
            witness: node as i64,
            sequence: 0,
            heirs_void: false,
            holding: None,
        };
        let answer = self.call(addr, Request::Heartbeat(question)).await;
        matches!(answer, Some(Response::HeartbeatAck(ack)) if ack.granted)
    }
}
