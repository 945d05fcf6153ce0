//! Nodes with upstreams, in this process.

use crate::BenchError;
use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind};
use ibiscove_config::store::{ConfigStore, LocalState};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::{Objects, Table};
use ibiscove_types::{NodeState, ServiceKind, SystemClock};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium_client::Client;

/// Longest wait for a state that must come.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at an awaited state.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// A node and the upstream beside it.
pub struct Pair<P> {
    /// The node.
    pub node: Node<P, SystemClock>,
    /// Its upstream.
    pub upstream: Upstream,
}

/// Nodes that share a platform.
pub struct Cluster<P> {
    /// The platform.
    pub platform: P,
    /// The nodes, in order of their start.
    pub pairs: Vec<Pair<P>>,
    /// For calls to the nodes.
    pub client: Client,
}

/// An HTTP client with kept connections.
pub fn http_client() -> Client {
    let connector = trillium_smol::ClientConfig::default().with_nodelay(true);
    Client::new(connector).with_default_pool()
}

impl<P: Table + Objects> Cluster<P> {
    /// A cluster without nodes.
    pub fn new(platform: P) -> Self {
        Self {
            platform,
            pairs: Vec::new(),
            client: http_client(),
        }
    }

    /// Puts an inventory in force that lists one divided service, so that the
    /// nodes, which start one after the other, share its slots evenly.
    pub async fn expect(&self, service: &str, upstreams: usize) -> Result<(), BenchError> {
        let request = ChangeRequest {
            expect: 0,
            author: "bench".to_owned(),
            body: format!(
                "[[service]]\nname = \"{service}\"\nkind = \"divided\"\n\
                 checks_fences = true\nupstreams = {upstreams}\n"
            ),
            force: false,
            dry_run: false,
        };
        let store = ConfigStore::new(self.platform.clone(), SystemClock);
        let known = LocalState::default();
        let answered = store.change(ConfigKind::Inventory, &request, &known).await;
        match answered.map_err(|err| BenchError::Inventory(err.to_string()))? {
            (ChangeResponse::Accepted { .. }, _) => Ok(()),
            (answer, _) => Err(BenchError::Inventory(format!("{answer:?}"))),
        }
    }

    /// Starts a node and its upstream, and announces the upstream.
    pub async fn start(
        &mut self,
        node: NodeSettings,
        upstream: UpstreamSettings,
    ) -> Result<&Pair<P>, BenchError> {
        let upstream = Upstream::start(upstream)?;
        let node = Node::start(node, self.platform.clone(), SystemClock).await?;
        let to = node.addrs().upstream;
        announce(&upstream, to).await?;
        self.pairs.push(Pair { node, upstream });
        Ok(&self.pairs[self.pairs.len() - 1])
    }

    /// Waits until every node knows an owner for every slot.
    pub async fn settle(&self) -> Result<(), BenchError> {
        self.wait("an owner for every slot", |cluster| {
            cluster.pairs.iter().all(|pair| knows_all_owners(pair))
        })
        .await
    }

    /// Waits until something holds for the cluster.
    pub async fn wait(
        &self,
        what: &str,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Result<(), BenchError> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > PATIENCE {
                return Err(BenchError::Late {
                    what: what.to_owned(),
                    patience: PATIENCE,
                });
            }
            smol::Timer::after(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    /// Ends every node at once.
    pub async fn stop(self) {
        for pair in self.pairs {
            pair.upstream.stop();
            pair.node.kill().await;
        }
    }
}

fn knows_all_owners<P: Table + Objects>(pair: &Pair<P>) -> bool {
    let map = pair.node.map();
    let own = map.node(pair.node.incarnation());
    let live = own.is_some_and(|own| own.row.state == NodeState::Live);
    let owned = |service: &ibiscove_types::ServiceRow| {
        service.kind == ServiceKind::Shared
            || (0..service.slot_count).all(|slot| map.owner(&service.name, slot).is_some())
    };
    live && map.services().all(|service| owned(&service.row))
}

/// Announces an upstream, again and again as a real one does: a node that is
/// busy joining may refuse the first ones.
async fn announce(upstream: &Upstream, to: SocketAddr) -> Result<(), BenchError> {
    let began = Instant::now();
    while let Err(err) = upstream.announce(to).await {
        if began.elapsed() > PATIENCE {
            return Err(err.into());
        }
        smol::Timer::after(LOOK_INTERVAL).await;
    }
    Ok(())
}
