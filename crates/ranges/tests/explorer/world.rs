//! Nodes with their upstreams, a table, and heartbeats between them.

use crate::endpoint::{Endpoint, Endpoints};
use crate::table::FaultyTable;
use async_task::Task;
use event_listener::Event;
use ibiscove_mesh::{Member, Members, Upstream};
use ibiscove_ranges::{ControllerParts, ControllerSettings, RangeController, RangeMaps};
use ibiscove_sim::{NodeIndex, Sim, SimClock, WORLD};
use ibiscove_types::{Clock, NodeName, ServiceName};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time between two looks of a node at its upstream.
const LOOK: Duration = Duration::from_millis(300);

type SimController = RangeController<FaultyTable, Endpoint, SimClock>;

/// One run of a node's process.
#[derive(Clone)]
struct Process {
    keeper: SimController,
    members: Members,
    maps: RangeMaps,
    incarnation: u64,
    sequence: Arc<Mutex<u64>>,
}

struct Node {
    index: NodeIndex,
    process: Option<(Process, Vec<Task<()>>)>,
    is_cut: bool,
    runs: u64,
}

/// The whole of one run.
pub struct World {
    pub sim: Arc<Sim>,
    pub endpoints: Endpoints,
    pub table: FaultyTable,
    pub settings: ControllerSettings,
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl World {
    pub fn new(seed: u64, count: usize, settings: ControllerSettings) -> Self {
        let sim = Sim::new(seed);
        let endpoints = Endpoints::new(&sim, count);
        let nodes = (0..count).map(|_| Node {
            // Steady clocks of machines run apart by less than one in a hundred.
            index: sim.add_node(sim.draw(|rng| 0.995 + rng.f64() / 100.0)),
            process: None,
            is_cut: false,
            runs: 0,
        });
        let nodes = Arc::new(Mutex::new(nodes.collect()));
        let world = Self {
            table: FaultyTable::new(&sim, count),
            endpoints,
            sim,
            settings,
            nodes,
        };
        (0..count).for_each(|node| world.start(node));
        world
    }

    fn nodes(&self) -> MutexGuard<'_, Vec<Node>> {
        self.nodes
            .lock()
            .expect("no test panics while it holds the nodes")
    }

    pub fn count(&self) -> usize {
        self.nodes().len()
    }

    /// Starts a node's process, which knows nothing of before.
    pub fn start(&self, node: usize) {
        let mut nodes = self.nodes();
        if nodes[node].process.is_some() {
            return;
        }
        nodes[node].runs += 1;
        let (index, incarnation) = (nodes[node].index, nodes[node].runs);
        let clock = SimClock {
            sim: Arc::clone(&self.sim),
            node: index,
        };
        let members = Members::new(HEARTBEAT);
        let maps = RangeMaps::default();
        let keeper = RangeController::new(ControllerParts {
            settings: self.settings,
            service: service(),
            node: name(node),
            incarnation,
            table: self.table.of(node),
            grantee: self.endpoints.endpoint(node),
            clock,
            members: members.clone(),
            maps: maps.clone(),
            push_heartbeat: Arc::new(Event::new()),
        });
        let process = Process {
            keeper: keeper.clone(),
            members,
            maps,
            incarnation,
            sequence: Arc::default(),
        };
        let tasks = vec![
            self.sim.spawn(index, keeper.run()),
            self.sim.spawn(index, self.look(node, process.clone())),
            self.sim
                .spawn(index, self.heartbeats(node, process.clone())),
        ];
        nodes[node].process = Some((process, tasks));
    }

    /// Kills a node's process.
    pub fn kill(&self, node: usize) {
        let process = self.nodes()[node].process.take();
        drop(process);
    }

    /// Cuts a node's heartbeats off, both ways.
    pub fn cut(&self, node: usize, is_cut: bool) {
        self.nodes()[node].is_cut = is_cut;
    }

    pub fn index(&self, node: usize) -> NodeIndex {
        self.nodes()[node].index
    }

    /// Leaves: what a node does at SIGTERM.
    pub fn leave(&self, node: usize) {
        if let Some((process, _)) = &self.nodes()[node].process {
            process.keeper.leave();
        }
    }

    /// Has something done at a time.
    pub fn at(self: &Arc<Self>, at: Duration, act: impl FnOnce(&World) + Send + 'static) {
        let world = Arc::clone(self);
        self.sim
            .spawn(WORLD, async move {
                world.sim.sleep(at.saturating_sub(world.sim.now())).await;
                act(&world);
            })
            .detach();
    }

    /// Ends the run.
    pub fn finish(&self) {
        (0..self.count()).for_each(|node| self.kill(node));
        self.sim.finish();
    }

    /// A node looks at its upstream, as its gate and announcements do.
    fn look(&self, node: usize, process: Process) -> impl Future<Output = ()> + Send + use<> {
        let (sim, endpoints) = (Arc::clone(&self.sim), self.endpoints.clone());
        async move {
            loop {
                match endpoints.present(node) {
                    Some((life, is_draining)) => {
                        process.keeper.record_announcement(&life, is_draining)
                    }
                    None => process.keeper.record_upstream_gone(true),
                }
                sim.sleep(LOOK).await;
            }
        }
    }

    fn heartbeats(&self, node: usize, process: Process) -> impl Future<Output = ()> + Send + use<> {
        let (sim, endpoints) = (Arc::clone(&self.sim), self.endpoints.clone());
        let nodes = Arc::clone(&self.nodes);
        async move {
            loop {
                sim.sleep(HEARTBEAT).await;
                let sequence = {
                    let mut sequence = process.sequence.lock().expect("no holder panics");
                    *sequence += 1;
                    *sequence
                };
                let member = member(node, &process, &endpoints, sequence);
                let map = process.maps.get(&service());
                let nodes = nodes
                    .lock()
                    .expect("no test panics while it holds the nodes");
                if nodes[node].is_cut {
                    continue;
                }
                for other in nodes.iter() {
                    let Some((to, _)) = &other.process else {
                        continue;
                    };
                    if other.is_cut || to.incarnation == 0 || name(node) == name_of(other, &nodes) {
                        continue;
                    }
                    let clock = SimClock {
                        sim: Arc::clone(&sim),
                        node: other.index,
                    };
                    let member = Member {
                        last_heartbeat: clock.now(),
                        ..member.clone()
                    };
                    let (to, map, delay) = (to.clone(), map.clone(), sim.clone());
                    let arrive = async move {
                        delay.sleep(Duration::from_millis(2)).await;
                        to.members.apply_heartbeat(member.clone());
                        to.keeper.observe_lease(&member);
                        if let Some(map) = map {
                            to.maps.accept(&service(), map.version, map.map);
                        }
                    };
                    sim.spawn(other.index, arrive).detach();
                }
            }
        }
    }
}

fn name_of(node: &Node, nodes: &[Node]) -> NodeName {
    let position = nodes.iter().position(|other| other.index == node.index);
    name(position.unwrap_or(usize::MAX))
}

fn member(node: usize, process: &Process, endpoints: &Endpoints, sequence: u64) -> Member {
    let upstream = endpoints
        .present(node)
        .map(|(incarnation, draining)| Upstream {
            incarnation,
            draining,
            slots: 8,
            load: 2,
            service_time: Duration::from_millis(50),
            warm_up_remaining: Duration::ZERO,
        });
    Member {
        name: name(node),
        incarnation: process.incarnation,
        sequence,
        data_centre: "plateau".into(),
        gate: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1),
        service: Some(service()),
        upstream,
        config_version: 1,
        maps: Vec::new(),
        leaving: false,
        lease_version: process.keeper.lease_version(),
        last_heartbeat: std::time::Instant::now(),
    }
}

pub fn service() -> ServiceName {
    "deposits".into()
}

fn name(node: usize) -> NodeName {
    format!("node-{node}").into()
}
