//! Background tasks of slot ownership, and calls to peers.

use crate::{MoveHooks, Ownership, OwnershipError};
use futures_util::future::join_all;
use ibiscove_spread::{ReplicatedRow, SpreadSettings};
use ibiscove_store::Table;
use ibiscove_types::rows::{node_key, service_key};
use ibiscove_types::{Clock, Incarnation, NodeRow, ServiceRow};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Push, Request, Response};
use smol::{Executor, Task};
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Runs all background tasks until this future is dropped; they end with
    /// it.
    pub async fn run(self) {
        let executor = Executor::new();
        let tasks = [
            executor.spawn(self.clone().monitor_nodes()),
            executor.spawn(self.clone().reconcile_row()),
            executor.spawn(self.clone().claim_slots()),
            executor.spawn(self.clone().watch_own_row()),
            executor.spawn(self.clone().refresh_rows()),
            executor.spawn(self.clone().run_proposed_moves()),
            executor.spawn(self.clone().retire_declared_losses()),
        ];
        let supervisors = smol::future::zip(
            smol::future::zip(
                self.supervise_heartbeats(&executor),
                self.supervise_takeovers(&executor),
            ),
            self.push_outbox(&executor),
        );
        executor.run(supervisors).await;
        drop(tasks);
    }

    /// Maintains one heartbeat task for each witness.
    async fn supervise_heartbeats(&self, executor: &Executor<'_>) {
        let mut tasks: BTreeMap<Incarnation, Task<()>> = BTreeMap::new();
        loop {
            let changed = self.inner.lease.changed.listen();
            let witnesses = self.inner.lease.witnesses();
            tasks.retain(|witness, _| witnesses.contains(witness));
            for witness in witnesses {
                let task = || executor.spawn(self.clone().send_heartbeats(witness));
                tasks.entry(witness).or_insert_with(task);
            }
            changed.await;
        }
    }

    /// Maintains one takeover task for each suspect.
    async fn supervise_takeovers(&self, executor: &Executor<'_>) {
        let mut tasks: BTreeMap<Incarnation, Task<()>> = BTreeMap::new();
        loop {
            let suspects_changed = self.inner.suspects_changed.listen();
            tasks.retain(|_, task| !task.is_finished());
            let suspects: Vec<Incarnation> = self.suspects().keys().copied().collect();
            for suspect in suspects {
                let task = || executor.spawn(self.clone().take_over(suspect));
                tasks.entry(suspect).or_insert_with(task);
            }
            suspects_changed.await;
        }
    }

    /// Applies what other nodes write into this node's row.
    async fn watch_own_row(self) {
        loop {
            let replica_changed = self.inner.replica_changed.listen();
            if let Err(err) = self.adopt_own_row().await {
                log::warn!("this node's row from a peer is not applied: {err}");
            }
            let timer = self.inner.clock.sleep(self.inner.settings.review_interval);
            smol::future::or(timer, replica_changed).await;
        }
    }

    /// Reads this node's row and its service's row from the table periodically:
    /// the peer that wrote one may have been lost before it could push it.
    async fn refresh_rows(self) {
        loop {
            let delay = self.jittered(self.inner.settings.refresh_interval);
            self.inner.clock.sleep(delay).await;
            if let Err(err) = self.refresh().await {
                log::debug!("rows are not refreshed, the replica stays as it is: {err}");
            }
        }
    }

    async fn refresh(&self) -> Result<(), OwnershipError> {
        let row = self.row();
        self.read_into_replica::<NodeRow>(&node_key(row.incarnation))
            .await?;
        if let Some(service) = row.service() {
            self.read_into_replica::<ServiceRow>(&service_key(service))
                .await?;
        }
        Ok(())
    }

    /// Pushes queued rows to a few peers. A peer that does not respond delays
    /// no later rows.
    async fn push_outbox(&self, executor: &Executor<'_>) {
        while let Ok(mut entries) = self.inner.outbox.1.recv().await {
            while let Ok(more) = self.inner.outbox.1.try_recv() {
                entries.extend(more);
            }
            let node = self.clone();
            let push = async move { node.push_rows(&entries).await };
            executor.spawn(push).detach();
        }
    }

    /// Pushes the rows that are still queued.
    pub(crate) async fn flush_outbox(&self) {
        while let Ok(entries) = self.inner.outbox.1.try_recv() {
            self.push_rows(&entries).await;
        }
    }

    /// Pushes rows to a few random peers and to the nodes that they belong to.
    async fn push_rows(&self, entries: &[ReplicatedRow]) {
        let map = self.inner.replica.map();
        let own = self.incarnation();
        let others = map.live_nodes().map(|node| &node.row);
        let others = others.filter(|row| row.incarnation != own);
        let fan_out = SpreadSettings::default().fan_out;
        let mut to: Vec<SocketAddr> = {
            let mut rng = self.rng();
            rng.choose_multiple(others.map(|row| row.peer_addr), fan_out)
        };
        for entry in entries {
            let subject = map.nodes().find(|node| {
                node.row.incarnation != own && node_key(node.row.incarnation) == entry.key
            });
            to.extend(subject.map(|node| node.row.peer_addr));
        }
        to.sort_unstable();
        to.dedup();
        let entries: Vec<_> = entries.iter().map(ReplicatedRow::to_message).collect();
        let push = Request::Push(Push { entries });
        join_all(
            to.into_iter()
                .map(|addr| self.call_peer(addr, push.clone())),
        )
        .await;
    }

    /// Returns the address at which a node accepts control messages.
    pub(crate) fn peer_addr(&self, node: Incarnation) -> Option<SocketAddr> {
        let map = self.inner.replica.map();
        map.node(node).map(|node| node.row.peer_addr)
    }

    /// Calls a peer; none when no response arrives within half a lease.
    pub(crate) async fn call_peer(&self, addr: SocketAddr, req: Request) -> Option<Response> {
        let call = async { self.inner.peers.call(addr, req).await.ok() };
        let limit = async {
            self.inner.clock.sleep(self.inner.settings.lease / 2).await;
            None
        };
        smol::future::or(call, limit).await
    }
}
