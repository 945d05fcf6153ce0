//! The nodes, upstreams and platform that a trace is replayed on.

use crate::format::{Announce, Node as NodeLine};
use crate::history::{Execution, FinalSlot, VersionSample};
use crate::player::ReplayError;
use ibiscove_config::change::ConfigKind;
use ibiscove_node::{Node, NodeAddrs, NodeSettings, ServiceDefaults, StartError};
use ibiscove_standin::{FaultyPlatform, Upstream, UpstreamSettings};
use ibiscove_store::MemoryPlatform;
use ibiscove_types::{ClusterMap, ServiceKind, SystemClock};
use ibiscove_wire::SharedKey;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The operator token of replayed nodes.
pub(crate) const OPERATOR_TOKEN: &str = "a token for replays";
/// Slots of each service; few, so that all of them are checked quickly.
const SLOT_COUNT: u32 = 64;

pub(crate) type Platform = FaultyPlatform<MemoryPlatform>;
pub(crate) type ReplayedNode = Node<Platform, SystemClock>;

/// The live nodes, and every upstream and the platform of a replay.
pub(crate) struct Cluster {
    pub(crate) platform: Platform,
    nodes: BTreeMap<String, LiveNode>,
    /// Each upstream with its service, by node name. Entries outlive their nodes,
    /// so that their execution records remain.
    upstreams: BTreeMap<String, (String, Upstream)>,
}

struct LiveNode {
    data_centre: String,
    node: ReplayedNode,
}

/// Starts a node of a trace.
pub(crate) async fn start_node(
    line: &NodeLine,
    platform: Platform,
) -> Result<ReplayedNode, StartError> {
    let settings = NodeSettings {
        name: line.name.clone(),
        region: line.region.as_str().into(),
        data_centre: line.data_centre.as_str().into(),
        operator_token: Some(SharedKey::new(OPERATOR_TOKEN)),
        service_defaults: ServiceDefaults {
            kind: ServiceKind::Divided,
            slot_count: SLOT_COUNT,
        },
        ..Default::default()
    };
    Node::start(settings, platform, SystemClock).await
}

impl Cluster {
    pub(crate) fn new() -> Self {
        Self {
            platform: FaultyPlatform::new(MemoryPlatform::default()),
            nodes: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, line: &NodeLine, node: ReplayedNode) {
        let live_node = LiveNode {
            data_centre: line.data_centre.clone(),
            node,
        };
        self.nodes.insert(line.name.clone(), live_node);
    }

    /// Starts the upstream of a node; the caller announces it.
    pub(crate) fn start_upstream(&mut self, line: &Announce) -> Result<Upstream, ReplayError> {
        let upstream = Upstream::start(UpstreamSettings {
            name: line.node.clone(),
            service: line.service.as_str().into(),
            concurrency: line.concurrency,
            checks_fences: line.checks_fences,
            ..Default::default()
        })?;
        let entry = (line.service.clone(), upstream.clone());
        self.upstreams.insert(line.node.clone(), entry);
        Ok(upstream)
    }

    pub(crate) fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name).map(|(_, upstream)| upstream)
    }

    /// Removes and returns a node, to be killed or drained.
    pub(crate) fn remove(&mut self, name: &str) -> Option<ReplayedNode> {
        self.nodes.remove(name).map(|live_node| live_node.node)
    }

    pub(crate) fn nodes_in(&self, data_centre: &str) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|(_, live_node)| live_node.data_centre == data_centre)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the node that a caller sends an attempt to: the named node first,
    /// and for each further attempt, or if that node is gone, the next by name.
    pub(crate) fn node_for_attempt(
        &self,
        name: &str,
        attempt: usize,
    ) -> Option<(String, NodeAddrs)> {
        let after = self.nodes.range(name.to_owned()..);
        let before = self.nodes.range(..name.to_owned());
        let (name, live_node) = after
            .chain(before)
            .cycle()
            .nth(attempt % self.nodes.len().max(1))?;
        Some((name.clone(), live_node.node.addrs()))
    }

    pub(crate) fn addrs(&self, name: &str) -> Option<NodeAddrs> {
        self.nodes.get(name).map(|live_node| live_node.node.addrs())
    }

    fn maps(&self) -> impl Iterator<Item = (&String, Arc<ClusterMap>)> {
        self.nodes
            .iter()
            .map(|(name, live_node)| (name, live_node.node.map()))
    }

    /// Returns whether every live node knows a live owner of every slot of every
    /// announced service.
    pub(crate) fn has_all_owners(&self) -> bool {
        let services = self.upstreams.values().map(|(service, _)| service);
        let services: Vec<&String> = services.collect();
        self.maps().all(|(_, map)| {
            let has_services = services
                .iter()
                .all(|service| map.service(service).is_some());
            has_services && self.slots(&map).all(|(_, _, owner)| owner.is_some())
        })
    }

    /// Returns the slots of a map with the fences of live owners.
    fn slots<'a>(&'a self, map: &'a ClusterMap) -> impl Iterator<Item = FinalSlot> + 'a {
        let divided = map
            .services()
            .filter(|service| service.row.kind == ServiceKind::Divided);
        divided.flat_map(move |service| {
            (0..service.row.slot_count).map(move |slot| {
                let owner = map.owner(&service.row.name, slot);
                let live = owner.filter(|owner| {
                    let mut nodes = self.nodes.values();
                    nodes.any(|live_node| live_node.node.incarnation() == owner.incarnation)
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

    pub(crate) fn samples(&self) -> Vec<VersionSample> {
        let version = |map: &ClusterMap, kind: ConfigKind| {
            map.config(kind.as_str())
                .map_or(0, |config| config.row.version)
        };
        let samples = self.maps().map(|(name, map)| VersionSample {
            node: name.clone(),
            inventory: version(&map, ConfigKind::Inventory),
            rules: version(&map, ConfigKind::Rules),
        });
        samples.collect()
    }

    pub(crate) fn runs(&self) -> Vec<Execution> {
        let mut runs = Vec::new();
        for (service, upstream) in self.upstreams.values() {
            runs.extend(
                upstream
                    .executions()
                    .into_iter()
                    .map(|execution| Execution {
                        upstream: execution.upstream,
                        service: service.clone(),
                        request_id: execution.request_id,
                        target: execution.target,
                        slot: execution.slot.zip(execution.fence),
                        started: execution.started_at,
                    }),
            );
        }
        runs
    }

    /// Stops every upstream and kills every node.
    pub(crate) async fn stop(self) {
        for (_, upstream) in self.upstreams.values() {
            upstream.stop();
        }
        for live_node in self.nodes.into_values() {
            live_node.node.kill().await;
        }
    }
}
