//! Heartbeats to the witnesses, one task for each.

use crate::{MoveHooks, Ownership};
use ibiscove_store::Table;
use ibiscove_types::{Clock, Incarnation};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Request, Response};

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Sends heartbeats to a witness until the task is dropped.
    pub(crate) async fn heartbeats_to(self, witness: Incarnation) {
        loop {
            let changed = self.inner.lease.changed.listen();
            let answered = self.heartbeat(witness).await;
            let pause = self
                .inner
                .clock
                .sleep(self.inner.settings.heartbeat_interval);
            if !answered {
                pause.await;
                continue;
            }
            let news = async {
                changed.await;
                self.news_for(witness).await;
            };
            smol::future::or(pause, news).await;
        }
    }

    /// Sends one heartbeat; gives whether the witness answered.
    async fn heartbeat(&self, witness: Incarnation) -> bool {
        let Some(addr) = self.addr(witness) else {
            self.inner.lease.unanswered(witness);
            return false;
        };
        let heartbeat = self.inner.lease.heartbeat(self.incarnation(), witness);
        // Invariant 2: the lease counts from before the heartbeat leaves.
        let sent = self.inner.clock.now();
        let call = self.call(addr, Request::Heartbeat(heartbeat));
        match call.await {
            Some(Response::HeartbeatAck(ack)) => {
                self.inner.lease.answered(witness, sent, &ack);
                true
            }
            _ => {
                self.inner.lease.unanswered(witness);
                false
            }
        }
    }

    /// Completes once the witness has yet to be told of a change.
    async fn news_for(&self, witness: Incarnation) {
        loop {
            let changed = self.inner.lease.changed.listen();
            if self.inner.lease.is_behind(witness) && !self.inner.lease.has_lost(witness) {
                return;
            }
            changed.await;
        }
    }
}
