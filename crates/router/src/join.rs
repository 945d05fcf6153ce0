//! Joins the mesh: registers this node in the directory, a table that all nodes
//! share, and sends heartbeats to the nodes listed there.

use crate::Router;
use ibiscove_mesh::directory::{self, Introductions, NodeAddress};
use ibiscove_ranges::Grantee;
use ibiscove_store::{Table, TableError};
use ibiscove_types::{BootClock, Clock};
use std::time::{Duration, Instant};

/// Delay after a failed call, half of it random jitter.
const RETRY_BACKOFF: Duration = Duration::from_millis(600);
/// Time for which heartbeats are sent to addresses from the directory that have
/// not responded.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(10);

/// Longest delay before a node registers again in a new era of the table, so that
/// not all nodes do so at once.
const MAX_REJOIN_DELAY: Duration = Duration::from_millis(1_000);
/// Interval between two checks for a new era, which make no calls.
const ERA_POLL_INTERVAL: Duration = Duration::from_millis(500);

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Registers this node, reads the directory and sends heartbeats to all nodes.
    ///
    /// Of two nodes that start at the same time, the one that registers later
    /// reads the other's row, and each responds to the other's heartbeats. After the
    /// table has returned from an earlier copy, which may lack rows, nodes register
    /// again.
    pub(crate) async fn join(self, addresses: Introductions) {
        let clock = &self.inner.clock;
        let mut joined_in = None;
        let mut introduction: Option<(Instant, Vec<NodeAddress>)> = None;
        loop {
            if joined_in.is_none() || self.inner.table.era() != joined_in {
                if joined_in.is_some() {
                    self.inner.local_upstream.withdrawals().mark_lost();
                    clock.sleep(MAX_REJOIN_DELAY.mul_f64(fastrand::f64())).await;
                }
                let nodes = self.register_and_greet(&addresses).await;
                joined_in = self.inner.table.era();
                introduction = Some((clock.now() + INTRODUCTION_PERIOD, nodes));
            }
            if let Some((_, nodes)) = introduction.take_if(|(ends_at, _)| clock.now() >= *ends_at) {
                addresses.set(Vec::new());
                self.remove_unresponsive(&nodes).await;
            }
            clock.sleep(ERA_POLL_INTERVAL).await;
        }
    }

    /// Registers this node and sends heartbeats to all nodes of the directory, which
    /// it returns.
    async fn register_and_greet(&self, addresses: &Introductions) -> Vec<NodeAddress> {
        let clock = &self.inner.clock;
        let nodes = loop {
            match self.register().await {
                Ok(nodes) => break nodes,
                Err(err) => {
                    log::warn!("cannot join yet: {err}");
                    clock
                        .sleep(RETRY_BACKOFF.mul_f64(0.5 + fastrand::f64() / 2.0))
                        .await;
                }
            }
        };
        log::info!(nodes = nodes.len(); "joined");
        let own = self.inner.settings.addrs.peers.ip();
        let others = nodes.iter().map(|node| node.ip).filter(|ip| *ip != own);
        addresses.set(others);
        self.inner.heartbeat_due.notify(usize::MAX);
        nodes
    }

    async fn register(&self) -> Result<Vec<NodeAddress>, TableError> {
        let own = NodeAddress {
            name: self.inner.settings.node.to_string(),
            ip: self.inner.settings.addrs.peers.ip(),
        };
        directory::register(&self.inner.table, &own).await?;
        directory::read(&self.inner.table).await
    }

    /// Removes the directory rows of nodes that never responded. A node that was
    /// only partitioned needs no row: other nodes know its address from its
    /// earlier heartbeats and send it theirs.
    async fn remove_unresponsive(&self, nodes: &[NodeAddress]) {
        let own = &*self.inner.settings.node;
        let members = &self.inner.members;
        let is_unresponsive =
            |node: &&NodeAddress| node.name != own && members.get(&node.name).is_none();
        let names = nodes.iter().filter(is_unresponsive).map(|node| &*node.name);
        directory::remove_all(&self.inner.table, names).await;
    }
}
