//! The tasks of one node's part in ownership, and its calls to peers.

use crate::{MoveHooks, Ownership, OwnershipError};
use futures_util::future::join_all;
use ibiscove_spread::{Entry, SpreadSettings};
use ibiscove_store::Table;
use ibiscove_types::rows::{node_key, service_key};
use ibiscove_types::{Clock, Incarnation, NodeRow, ServiceRow};
use ibiscove_wire::Peers;
use ibiscove_wire::messages::{Push, Request, Response};
use smol::{Executor, Task};
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl<T: Table, N: Peers, C: Clock, H: MoveHooks> Ownership<T, N, C, H> {
    /// Does what comes up until the task is dropped; every task of this
    /// node's ownership ends with it.
    pub async fn run(self) {
        let executor = Executor::new();
        let tasks = [
            executor.spawn(self.clone().watch_wards()),
            executor.spawn(self.clone().look_after_row()),
            executor.spawn(self.clone().claim()),
            executor.spawn(self.clone().adopt_rows()),
            executor.spawn(self.clone().refresh_rows()),
            executor.spawn(self.clone().make_moves()),
            executor.spawn(self.clone().watch_declared()),
        ];
        let dynamic = smol::future::zip(
            smol::future::zip(
                self.keep_heartbeats(&executor),
                self.keep_takeovers(&executor),
            ),
            self.send_rows(&executor),
        );
        executor.run(dynamic).await;
        drop(tasks);
    }

    /// Keeps one task for each witness.
    async fn keep_heartbeats(&self, executor: &Executor<'_>) {
        let mut tasks: BTreeMap<Incarnation, Task<()>> = BTreeMap::new();
        loop {
            let changed = self.inner.lease.changed.listen();
            let witnesses = self.inner.lease.witnesses();
            tasks.retain(|witness, _| witnesses.contains(witness));
            for witness in witnesses {
                let task = || executor.spawn(self.clone().heartbeats_to(witness));
                tasks.entry(witness).or_insert_with(task);
            }
            changed.await;
        }
    }

    /// Keeps one task for each node that may be lost.
    async fn keep_takeovers(&self, executor: &Executor<'_>) {
        let mut tasks: BTreeMap<Incarnation, Task<()>> = BTreeMap::new();
        loop {
            let reported = self.inner.reported.listen();
            tasks.retain(|_, task| !task.is_finished());
            let suspects: Vec<Incarnation> = self.reports().keys().copied().collect();
            for ward in suspects {
                let task = || executor.spawn(self.clone().take_over(ward));
                tasks.entry(ward).or_insert_with(task);
            }
            reported.await;
        }
    }

    /// Takes what others write into this node's row.
    async fn adopt_rows(self) {
        loop {
            let rows = self.inner.rows.listen();
            if let Err(err) = self.adopt().await {
                log::warn!("taking the own row from peers: {err}");
            }
            let timer = self.inner.clock.sleep(self.inner.settings.review_interval);
            smol::future::or(timer, rows).await;
        }
    }

    /// Reads the rows that matter most here from the table now and then: the
    /// peer that wrote one may have been lost before it told anyone.
    async fn refresh_rows(self) {
        loop {
            let pause = self.jittered(self.inner.settings.refresh_interval);
            self.inner.clock.sleep(pause).await;
            if let Err(err) = self.refresh().await {
                log::debug!("reading rows again: {err}");
            }
        }
    }

    async fn refresh(&self) -> Result<(), OwnershipError> {
        let row = self.row();
        self.read_and_keep::<NodeRow>(&node_key(row.incarnation))
            .await?;
        if let Some(service) = row.service() {
            self.read_and_keep::<ServiceRow>(&service_key(service))
                .await?;
        }
        Ok(())
    }

    /// Sends rows out to a few peers. A peer that does not answer holds up no
    /// later rows.
    async fn send_rows(&self, executor: &Executor<'_>) {
        while let Ok(mut entries) = self.inner.outbox.1.recv().await {
            while let Ok(more) = self.inner.outbox.1.try_recv() {
                entries.extend(more);
            }
            let node = self.clone();
            let push = async move { node.push(&entries).await };
            executor.spawn(push).detach();
        }
    }

    /// Sends out what waits to be sent.
    pub(crate) async fn flush(&self) {
        while let Ok(entries) = self.inner.outbox.1.try_recv() {
            self.push(&entries).await;
        }
    }

    /// Pushes rows to a few random peers and to the nodes whose rows they are.
    async fn push(&self, entries: &[Entry]) {
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
            let about = map.nodes().find(|node| {
                node.row.incarnation != own && node_key(node.row.incarnation) == entry.key
            });
            to.extend(about.map(|node| node.row.peer_addr));
        }
        to.sort_unstable();
        to.dedup();
        let entries: Vec<_> = entries.iter().map(Entry::to_message).collect();
        let push = Request::Push(Push { entries });
        join_all(to.into_iter().map(|addr| self.call(addr, push.clone()))).await;
    }

    /// Where a node takes control messages.
    pub(crate) fn addr(&self, node: Incarnation) -> Option<SocketAddr> {
        let map = self.inner.replica.map();
        map.node(node).map(|node| node.row.peer_addr)
    }

    /// Calls a peer; none when no answer comes within half a lease.
    pub(crate) async fn call(&self, addr: SocketAddr, req: Request) -> Option<Response> {
        let call = async { self.inner.peers.call(addr, req).await.ok() };
        let limit = async {
            self.inner.clock.sleep(self.inner.settings.lease / 2).await;
            None
        };
        smol::future::or(call, limit).await
    }
}
