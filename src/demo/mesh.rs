//! Mesh of the demo: twelve nodes, each with its local upstream.

use crate::cli::CliError;
use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind};
use ibiscove_config::store::{ConfigStore, LocalState};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{Clock, ClusterMap, Incarnation, ServiceKind, SystemClock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Inventory of the mesh.
const INVENTORY: &str = include_str!("dakar.toml");
/// Each service with its number of upstreams.
const SERVICES: &[(&str, usize)] = &[("gallery", 4), ("calendar", 3), ("deposits", 5)];
/// Data centres, over which the nodes are spread in turn.
const DATA_CENTRES: &[&str] = &["plateau", "medina", "almadies"];
/// Longest wait until every slot has an owner.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the nodes' maps are polled for that.
const OWNERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A node and its local upstream.
struct Pair {
    name: String,
    node: Node<MemoryPlatform, SystemClock>,
    upstream: Upstream,
}

/// Running nodes with their upstreams, and the upstreams of lost nodes.
pub(super) struct Mesh {
    pairs: Vec<Pair>,
    lost_upstreams: Vec<Upstream>,
}

impl Mesh {
    /// Puts the inventory in force and starts all upstreams and nodes.
    pub(super) async fn start() -> Result<Self, CliError> {
        let platform = MemoryPlatform::default();
        put_inventory(&platform).await?;
        let mut pairs = Vec::new();
        for (service, count) in SERVICES {
            for index in 0..*count {
                let data_centre = DATA_CENTRES[pairs.len() % DATA_CENTRES.len()];
                let name = format!("{service}-{index}");
                pairs.push(Pair::start(&platform, name, service, data_centre).await?);
            }
        }
        Ok(Self {
            pairs,
            lost_upstreams: Vec::new(),
        })
    }

    /// Waits until every slot has a running owner in every node's map. A node that has
    /// not heard of a loss yet still names the lost owner.
    pub(super) async fn wait_for_owners(&self, clock: &impl Clock) -> Result<(), CliError> {
        let started = clock.now();
        let rows = self.pairs.iter().map(|pair| pair.node.row().incarnation);
        let running: Vec<Incarnation> = rows.collect();
        let has_owners = |pair: &Pair| is_complete(&pair.node.map(), &running);
        while !self.pairs.iter().all(has_owners) {
            if clock.now().saturating_duration_since(started) > OWNERSHIP_TIMEOUT {
                return Err(CliError::failed("some slots have no owner"));
            }
            clock.sleep(OWNERSHIP_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Prints each node with its data centre and the number of slots it owns.
    pub(super) fn print_owners(&self) {
        let map = self.map();
        println!("{:12} {:10} owns", "node", "in");
        for pair in &self.pairs {
            let row = pair.node.row();
            let service = row.service().and_then(|name| map.service(name));
            let owned = match service.map(|service| &service.row) {
                Some(service) if service.kind == ServiceKind::Divided => {
                    let slots = 0..service.slot_count;
                    let owned_slots = slots.filter(|slot| {
                        let owner = map.owner(&service.name, *slot);
                        owner.is_some_and(|owner| owner.incarnation == row.incarnation)
                    });
                    format!("{} of {} slots", owned_slots.count(), service.slot_count)
                }
                _ => "no slots: its service is shared".to_owned(),
            };
            println!("{:12} {:10} {owned}", pair.name, row.data_centre);
        }
    }

    /// Returns the name of the node that owns a key.
    pub(super) fn owner_of(&self, service: &str, key: &str) -> Result<String, CliError> {
        let map = self.map();
        let owner = map.locate(service, key).and_then(|(_, owner)| owner);
        owner
            .and_then(|owner| map.node(owner.incarnation))
            .map(|node| node.row.name.clone())
            .ok_or_else(|| CliError::Failed(format!("{service} {key} has no owner")))
    }

    /// Kills a node and its upstream without a drain.
    pub(super) async fn lose(&mut self, name: &str) {
        if let Some(index) = self.pairs.iter().position(|pair| pair.name == name) {
            let pair = self.pairs.remove(index);
            pair.upstream.stop();
            pair.node.kill().await;
            self.lost_upstreams.push(pair.upstream);
        }
    }

    /// Returns the name and caller address of the node whose turn it is.
    pub(super) fn entry(&self, turn: usize) -> (&str, SocketAddr) {
        let pair = &self.pairs[turn % self.pairs.len()];
        (&pair.name, pair.node.addrs().caller)
    }

    /// Counts the runs of each idempotency key beyond the first, over all
    /// upstreams including the lost ones.
    pub(super) fn duplicate_runs(&self) -> usize {
        let upstreams = self.pairs.iter().map(|pair| &pair.upstream);
        let mut runs: HashMap<String, usize> = HashMap::new();
        for upstream in upstreams.chain(&self.lost_upstreams) {
            for execution in upstream.executions() {
                *runs.entry(execution.idempotency_key).or_default() += 1;
            }
        }
        let runs_of_keys = runs.iter().filter(|(key, _)| !key.is_empty());
        runs_of_keys.map(|(_, runs)| runs - 1).sum()
    }

    /// Drains all nodes, one after the other.
    pub(super) async fn drain(self) -> Result<(), CliError> {
        for pair in self.pairs {
            if let Err(err) = pair.node.drain().await {
                // The last nodes have no witnesses left.
                log::warn!(node = pair.name.as_str(); "drained, but slots not handed over: {err}");
            }
        }
        Ok(())
    }

    fn map(&self) -> Arc<ClusterMap> {
        self.pairs[0].node.map()
    }
}

impl Pair {
    async fn start(
        platform: &MemoryPlatform,
        name: String,
        service: &str,
        data_centre: &str,
    ) -> Result<Self, CliError> {
        let upstream = UpstreamSettings {
            name: name.clone(),
            service: service.into(),
            ..Default::default()
        };
        let upstream = Upstream::start(upstream).map_err(CliError::failed)?;
        let settings = NodeSettings {
            name: name.clone(),
            region: "dakar".into(),
            data_centre: data_centre.into(),
            ..Default::default()
        };
        let node = Node::start(settings, platform.clone(), SystemClock).await;
        let node = node.map_err(CliError::failed)?;
        let announce_result = upstream.announce(node.addrs().upstream).await;
        announce_result.map_err(CliError::failed)?;
        Ok(Self {
            name,
            node,
            upstream,
        })
    }
}

/// Whether every service has its members and every slot an owner that runs.
fn is_complete(map: &ClusterMap, running: &[Incarnation]) -> bool {
    SERVICES.iter().all(|(name, count)| {
        let Some(service) = map.service(name) else {
            return false;
        };
        match service.row.kind {
            ServiceKind::Shared => map.members(name).len() == *count,
            ServiceKind::Divided => {
                let mut slots = 0..service.row.slot_count;
                slots.all(|slot| {
                    let owner = map.owner(name, slot);
                    owner.is_some_and(|owner| running.contains(&owner.incarnation))
                })
            }
        }
    })
}

async fn put_inventory(platform: &MemoryPlatform) -> Result<(), CliError> {
    let request = ChangeRequest {
        expect: 0,
        author: "demo".to_owned(),
        body: INVENTORY.to_owned(),
        force: false,
        dry_run: false,
    };
    let store = ConfigStore::new(platform.clone(), SystemClock);
    let known = LocalState::default();
    let result = store.change(ConfigKind::Inventory, &request, &known).await;
    match result.map_err(CliError::failed)? {
        (ChangeResponse::Accepted { .. }, _) => Ok(()),
        (response, _) => Err(CliError::Failed(format!("inventory refused: {response:?}"))),
    }
}
