//! Heartbeats to this node's witnesses, one task for each.
//!
//! A witness that acknowledges a heartbeat extends this node's lease.

use crate::{MoveHooks, Ownership};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Request, Response};

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Sends heartbeats to a witness until the task is dropped.
    pub(crate) async fn send_heartbeats(self, witness: Incarnation) {
        loop {
            let changed = self.inner.lease.changed.listen();
            let has_responded = self.send_heartbeat(witness).await;
            let delay = self
                .inner
                .clock
                .sleep(self.inner.settings.heartbeat_interval);
            if !has_responded {
                delay.await;
                continue;
            }
            let change_pending = async {
                changed.await;
                self.await_unacknowledged_change(witness).await;
            };
            smol::future::or(delay, change_pending).await;
        }
    }

    /// Sends one heartbeat; returns whether the witness responded.
    async fn send_heartbeat(&self, witness: Incarnation) -> bool {
        let Some(addr) = self.peer_addr(witness) else {
            self.inner.lease.record_failure(witness);
            return false;
        };
        let heartbeat = self.inner.lease.next_heartbeat(self.incarnation(), witness);
        // Invariant 2: the lease counts from before the heartbeat is sent.
        let sent = self.inner.clock.now();
        let call = self.call_peer(addr, Request::Heartbeat(heartbeat));
        match call.await {
            Some(Response::HeartbeatAck(ack)) => {
                self.inner.lease.record_ack(witness, sent, &ack);
                true
            }
            _ => {
                self.inner.lease.record_failure(witness);
                false
            }
        }
    }

    /// Completes once a change is pending that the witness has not
    /// acknowledged.
    async fn await_unacknowledged_change(&self, witness: Incarnation) {
        loop {
            let changed = self.inner.lease.changed.listen();
            if self.inner.lease.lacks_latest_sequence(witness)
                && !self.inner.lease.has_lost_witness(witness)
            {
                return;
            }
            changed.await;
        }
    }
}
