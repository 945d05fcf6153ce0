//! Finds the other nodes through the directory.

use crate::Router;
use ibiscove_mesh::directory::{self, NodeAddress};
use ibiscove_ranges::Grantee;
use ibiscove_store::{Table, TableError};
use ibiscove_types::{BootClock, Clock};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Pause after a failed call, half of it drawn by chance.
const RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Time for which addresses from the directory are sent heartbeats although
/// nothing was heard from them.
const INTRODUCE_FOR: Duration = Duration::from_secs(10);

/// Addresses from the directory. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Known(Arc<Mutex<Vec<IpAddr>>>);

impl Known {
    pub(crate) fn addresses(&self) -> Vec<IpAddr> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn set(&self, addresses: Vec<IpAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}

impl<T: Table, G: Grantee, C: Clock + BootClock> Router<T, G, C> {
    /// Registers this node, reads the directory and introduces itself to all.
    ///
    /// Of two nodes that start at once, the one that registers later reads the
    /// other's row, and each answers the other's heartbeats.
    pub(crate) async fn join(self, known: Known) {
        let clock = &self.inner.clock;
        let nodes = loop {
            match self.register().await {
                Ok(nodes) => break nodes,
                Err(err) => {
                    log::warn!("cannot join yet: {err}");
                    clock
                        .sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64() / 2.0))
                        .await;
                }
            }
        };
        log::info!(nodes = nodes.len(); "joined");
        let own = self.inner.settings.addrs.peers.ip();
        let others = nodes.iter().map(|node| node.ip).filter(|ip| *ip != own);
        known.set(others.collect());
        self.inner.pushed.notify(usize::MAX);
        clock.sleep(INTRODUCE_FOR).await;
        known.set(Vec::new());
        self.remove_lost(&nodes).await;
    }

    async fn register(&self) -> Result<Vec<NodeAddress>, TableError> {
        let own = NodeAddress {
            name: self.inner.settings.node.to_string(),
            ip: self.inner.settings.addrs.peers.ip(),
        };
        directory::register(&self.inner.table, &own).await?;
        directory::read(&self.inner.table).await
    }

    /// Removes rows of nodes that never answered. A node that was only cut off
    /// hears from the others, who know its address from its heartbeats.
    async fn remove_lost(&self, nodes: &[NodeAddress]) {
        let own = &*self.inner.settings.node;
        let members = &self.inner.members;
        let lost = |node: &&NodeAddress| node.name != own && members.get(&node.name).is_none();
        for node in nodes.iter().filter(lost) {
            if let Err(err) = directory::remove(&self.inner.table, &node.name).await {
                log::warn!(node = &*node.name; "a lost node's row stays: {err}");
            }
        }
    }
}
