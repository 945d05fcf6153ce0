//! The mesh of the demonstration: nodes and their upstreams.

use crate::cli::CliError;
use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind};
use ibiscove_config::store::{ConfigStore, LocalState};
use ibiscove_node::{Node, NodeSettings};
use ibiscove_standin::{Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{Clock, ClusterMap, ServiceKind, SystemClock};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What exists, as an operator would write it.
const INVENTORY: &str = include_str!("dakar.toml");
/// Services and how many upstreams each has.
const SERVICES: &[(&str, usize)] = &[("gallery", 4), ("calendar", 3), ("deposits", 5)];
/// Data centres.
const DATA_CENTRES: &[&str] = &["plateau", "medina", "almadies"];
/// Longest wait for every slot to have an owner.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at whether it has.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);

struct Pair {
    name: String,
    node: Node<MemoryPlatform, SystemClock>,
    upstream: Upstream,
}

/// Nodes and their upstreams, those lost kept apart.
pub(super) struct Mesh {
    pairs: Vec<Pair>,
    lost: Vec<Upstream>,
}

impl Mesh {
    /// Puts the inventory in force and starts every pair.
    pub(super) async fn start() -> Result<Self, CliError> {
        let platform = MemoryPlatform::default();
        put_inventory(&platform).await?;
        let mut pairs = Vec::new();
        for (service, count) in SERVICES {
            for number in 0..*count {
                let data_centre = DATA_CENTRES[pairs.len() % DATA_CENTRES.len()];
                let name = format!("{service}-{number}");
                pairs.push(Pair::start(&platform, name, service, data_centre).await?);
            }
        }
        Ok(Self {
            pairs,
            lost: Vec::new(),
        })
    }

    /// Waits until every node knows an owner for every slot.
    pub(super) async fn wait_for_owners(&self, clock: &impl Clock) -> Result<(), CliError> {
        let began = clock.now();
        while !self.pairs.iter().all(|pair| is_owned(&pair.node.map())) {
            if clock.now().saturating_duration_since(began) > SETTLE_LIMIT {
                return Err(CliError::failed("some slots found no owner"));
            }
            clock.sleep(SETTLE_INTERVAL).await;
        }
        Ok(())
    }

    /// Prints each node with its share, as the map has it.
    pub(super) fn print_owners(&self) {
        let map = self.map();
        println!("{:12} {:10} owns", "node", "in");
        for pair in &self.pairs {
            let row = pair.node.row();
            let service = row.service().and_then(|name| map.service(name));
            let owns = match service.map(|service| &service.row) {
                Some(service) if service.kind == ServiceKind::Divided => {
                    let slots = 0..service.slot_count;
                    let owned = slots.filter(|slot| {
                        let owner = map.owner(&service.name, *slot);
                        owner.is_some_and(|owner| owner.incarnation == row.incarnation)
                    });
                    format!("{} of {} slots", owned.count(), service.slot_count)
                }
                _ => "no slots: its service is shared".to_owned(),
            };
            println!("{:12} {:10} {owns}", pair.name, row.data_centre);
        }
    }

    /// Name of the node that owns a key.
    pub(super) fn owner_of(&self, service: &str, key: &str) -> Result<String, CliError> {
        let map = self.map();
        let owner = map.locate(service, key).and_then(|(_, owner)| owner);
        owner
            .and_then(|owner| map.node(owner.incarnation))
            .map(|node| node.row.name.clone())
            .ok_or_else(|| CliError::Failed(format!("{service} {key} has no owner")))
    }

    /// Kills a node and its upstream.
    pub(super) async fn lose(&mut self, name: &str) {
        if let Some(index) = self.pairs.iter().position(|pair| pair.name == name) {
            let pair = self.pairs.remove(index);
            pair.upstream.stop();
            pair.node.kill().await;
            self.lost.push(pair.upstream);
        }
    }

    /// Caller address of some node and the node's name, another each time.
    pub(super) fn entry(&self, turn: usize) -> (&str, SocketAddr) {
        let pair = &self.pairs[turn % self.pairs.len()];
        (&pair.name, pair.node.addrs().caller)
    }

    /// Runs of one idempotency key beyond the first, over all upstreams, those
    /// lost included.
    pub(super) fn double_runs(&self) -> usize {
        let upstreams = self.pairs.iter().map(|pair| &pair.upstream);
        let mut runs: HashMap<String, usize> = HashMap::new();
        for upstream in upstreams.chain(&self.lost) {
            for execution in upstream.executions() {
                *runs.entry(execution.idempotency_key).or_default() += 1;
            }
        }
        let keyed = runs.iter().filter(|(key, _)| !key.is_empty());
        keyed.map(|(_, runs)| runs - 1).sum()
    }

    /// Stops every node, one after the other.
    pub(super) async fn drain(self) -> Result<(), CliError> {
        for pair in self.pairs {
            if let Err(err) = pair.node.drain().await {
                // The last nodes have no witnesses left to ask.
                log::warn!(node = pair.name.as_str(); "drained without giving its slots away: {err}");
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
        let announced = upstream.announce(node.addrs().upstream).await;
        announced.map_err(CliError::failed)?;
        Ok(Self {
            name,
            node,
            upstream,
        })
    }
}

/// Whether every service is there and every slot has an owner.
fn is_owned(map: &ClusterMap) -> bool {
    SERVICES.iter().all(|(name, count)| {
        let Some(service) = map.service(name) else {
            return false;
        };
        match service.row.kind {
            ServiceKind::Shared => map.members(name).len() == *count,
            ServiceKind::Divided => {
                let mut slots = 0..service.row.slot_count;
                slots.all(|slot| map.owner(name, slot).is_some())
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
    let answered = store.change(ConfigKind::Inventory, &request, &known).await;
    match answered.map_err(CliError::failed)? {
        (ChangeResponse::Accepted { .. }, _) => Ok(()),
        (answer, _) => Err(CliError::Failed(format!("inventory refused: {answer:?}"))),
    }
}
