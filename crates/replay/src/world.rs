//! The nodes, upstreams and platform of a replay.

use crate::format::{Announce, Node as NodeLine};
use crate::history::{FinalSlot, Ran, Sample};
use crate::player::ReplayError;
use ibiscove_config::change::ConfigKind;
use ibiscove_node::{Node, NodeAddrs, NodeSettings, ServiceDefaults, StartError};
use ibiscove_standin::{FaultyPlatform, Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ClusterMap, ServiceKind, SystemClock};
use ibiscove_wire::SharedKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The operators' token of replayed nodes.
pub(crate) const TOKEN: &str = "a token for replays";
/// Slots of each service, few so that every slot is soon looked at.
const SLOTS: u32 = 64;

pub(crate) type Platform = FaultyPlatform<MemoryPlatform>;
pub(crate) type ReplayedNode = Node<Platform, SystemClock>;

/// The nodes, upstreams and platform of a replay.
pub(crate) struct World {
    pub(crate) platform: Platform,
    nodes: BTreeMap<String, Instance>,
    /// Upstreams outlive their nodes here, so that their records stay.
    upstreams: BTreeMap<String, (String, Upstream)>,
}

struct Instance {
    data_centre: String,
    node: ReplayedNode,
}

/// Starts a node of a trace.
pub(crate) async fn start(line: &NodeLine, platform: Platform) -> Result<ReplayedNode, StartError> {
    let settings = NodeSettings {
        name: line.name.clone(),
        region: line.region.as_str().into(),
        data_centre: line.data_centre.as_str().into(),
        operator_token: Some(SharedKey::new(TOKEN)),
        service_defaults: ServiceDefaults {
            kind: ServiceKind::Divided,
            slot_count: SLOTS,
        },
        ..Default::default()
    };
    Node::start(settings, platform, SystemClock).await
}

impl World {
    pub(crate) fn new() -> Self {
        Self {
            platform: FaultyPlatform::new(MemoryPlatform::default()),
            nodes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, line: &NodeLine, node: ReplayedNode) {
        let instance = Instance {
            data_centre: line.data_centre.clone(),
            node,
        };
        self.nodes.insert(line.name.clone(), instance);
    }

    pub(crate) fn announce(&mut self, line: &Announce) -> Result<Upstream, ReplayError> {
        let upstream = Upstream::start(UpstreamSettings {
            name: line.node.clone(),
            service: line.service.as_str().into(),
            concurrency: line.concurrency,
            checks_fences: line.checks_fences,
            ..Default::default()
        })?;
        let known = (line.service.clone(), upstream.clone());
        self.upstreams.insert(line.node.clone(), known);
        Ok(upstream)
    }

    pub(crate) fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name).map(|(_, upstream)| upstream)
    }

    /// Takes a node out, to be killed or drained.
    pub(crate) fn take(&mut self, name: &str) -> Option<ReplayedNode> {
        self.nodes.remove(name).map(|instance| instance.node)
    }

    pub(crate) fn names_in(&self, data_centre: &str) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|(_, instance)| instance.data_centre == data_centre)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The addresses of a live node; of the next one by name when it is gone,
    /// as a caller finds another.
    pub(crate) fn reach(&self, name: &str, attempt: usize) -> Option<(String, NodeAddrs)> {
        let after = self.nodes.range(name.to_owned()..);
        let before = self.nodes.range(..name.to_owned());
        let (name, instance) = after
            .chain(before)
            .cycle()
            .nth(attempt % self.nodes.len().max(1))?;
        Some((name.clone(), instance.node.addrs()))
    }

    pub(crate) fn addrs(&self, name: &str) -> Option<NodeAddrs> {
        self.nodes.get(name).map(|instance| instance.node.addrs())
    }

    fn maps(&self) -> impl Iterator<Item = (&String, Arc<ClusterMap>)> {
        self.nodes
            .iter()
            .map(|(name, instance)| (name, instance.node.map()))
    }

    /// Whether every live node sees a live owner for every slot of every
    /// announced service.
    pub(crate) fn is_settled(&self) -> bool {
        let services = self.upstreams.values().map(|(service, _)| service);
        let services: Vec<&String> = services.collect();
        self.maps().all(|(_, map)| {
            let known = services
                .iter()
                .all(|service| map.service(service).is_some());
            known && self.slots(&map).all(|(_, _, owner)| owner.is_some())
        })
    }

    fn slots<'a>(&'a self, map: &'a ClusterMap) -> impl Iterator<Item = FinalSlot> + 'a {
        let divided = map
            .services()
            .filter(|service| service.row.kind == ServiceKind::Divided);
        divided.flat_map(move |service| {
            (0..service.row.slot_count).map(move |slot| {
                let owner = map.owner(&service.row.name, slot);
                let live = owner.filter(|owner| {
                    let mut nodes = self.nodes.values();
                    nodes.any(|instance| instance.node.incarnation() == owner.incarnation)
                });
                let name = service.row.name.to_string();
                (name, slot, live.map(|owner| owner.fence))
            })
        })
    }

    pub(crate) fn final_slots(&self) -> Vec<FinalSlot> {
        let maps = self.maps();
        maps.flat_map(|(_, map)| self.slots(&map).collect::<Vec<_>>())
            .collect()
    }

    pub(crate) fn samples(&self) -> Vec<Sample> {
        let version = |map: &ClusterMap, kind: ConfigKind| {
            map.config(kind.as_str())
                .map_or(0, |config| config.row.version)
        };
        let samples = self.maps().map(|(name, map)| Sample {
            node: name.clone(),
            inventory: version(&map, ConfigKind::Inventory),
            rules: version(&map, ConfigKind::Rules),
        });
        samples.collect()
    }

    pub(crate) fn runs(&self) -> Vec<Ran> {
        let mut runs = Vec::new();
        for (service, upstream) in self.upstreams.values() {
            runs.extend(upstream.executions().into_iter().map(|execution| Ran {
                upstream: execution.upstream,
                service: service.clone(),
                request_id: execution.request_id,
                target: execution.target,
                slot: execution.slot.zip(execution.fence),
                began: execution.started_at,
            }));
        }
        runs
    }

    pub(crate) async fn stop(self) {
        for (_, upstream) in self.upstreams.values() {
            upstream.stop();
        }
        for instance in self.nodes.into_values() {
            instance.node.kill().await;
        }
    }
}
