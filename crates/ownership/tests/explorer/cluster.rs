//! Simulated cluster: nodes, the network between them and the table, with
//! injected faults.

use crate::invariants::{Execution, InvariantChecker, Rows};
use async_task::Task;
use ibiscove_ownership::{Admission, NoHooks, Ownership, OwnershipSettings, ServiceSpec};
use ibiscove_sim::{ENVIRONMENT, NodeIndex, Sim, SimClock};
use ibiscove_spread::{Replica, SpreadSettings};
use ibiscove_store::{Commit, MemoryPlatform, RawRow, Table, TableError, Transaction};
use ibiscove_types::{
    DataCentre, Incarnation, NodeRow, NodeState, ServiceKind, Slot, UpstreamSpec,
};
use ibiscove_wire::messages::{Done, Proposal, Request, Response, SlotMove};
use ibiscove_wire::{PeerError, Peers};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The only service of a run.
pub const SERVICE: &str = "deposits";
/// Number of its slots.
pub const SLOTS: u32 = 8;
/// Interval between rounds of requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a call between nodes.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Port of node 0; each node has its own port.
const FIRST_PORT: u16 = 10_000;

pub type NodeOwnership = Ownership<SimTable, SimPeers, SimClock, NoHooks>;

/// Fault injected into one commit of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    #[default]
    None,
    /// The commit takes effect and its response is lost.
    LoseResponse,
    /// The node loses its connection to the table, and the commit takes effect
    /// after this delay.
    DisconnectTable(Duration),
    /// The response is lost, and the commit takes effect after this delay.
    Delay(Duration),
    /// The response is lost, and the commit never takes effect.
    Drop,
}

#[derive(Default)]
struct Faults {
    /// Pairs of nodes that cannot reach each other.
    partitioned: BTreeSet<(NodeIndex, NodeIndex)>,
    /// Nodes that cannot reach the table.
    without_table: BTreeSet<NodeIndex>,
    table_down: bool,
    /// Faults to inject into the next commits, by node.
    commit_faults: BTreeMap<NodeIndex, Vec<CommitFault>>,
    /// Added latency of each call to the table.
    table_delay: Duration,
    /// Fraction of messages lost, from 0 to 1.
    message_loss: f64,
}

pub struct Node {
    pub name: String,
    pub data_centre: DataCentre,
    pub ownership: NodeOwnership,
    pub replica: Replica,
    tasks: Vec<Task<()>>,
    pub alive: bool,
}

struct Inner {
    sim: Arc<Sim>,
    platform: MemoryPlatform,
    faults: Mutex<Faults>,
    nodes: Mutex<BTreeMap<NodeIndex, Node>>,
    checker: Mutex<InvariantChecker>,
    in_flight: Mutex<Vec<(Duration, Admission)>>,
    /// Number of members that the simulated inventory lists.
    expected_members: AtomicU32,
}

/// Simulated cluster of one run. Clones share it.
#[derive(Clone)]
pub struct Cluster(Arc<Inner>);

impl Cluster {
    pub fn new(seed: u64) -> Self {
        // The spread crate uses the thread's random source.
        fastrand::seed(seed);
        Self(Arc::new(Inner {
            sim: Sim::new(seed),
            platform: MemoryPlatform::default(),
            faults: Mutex::default(),
            nodes: Mutex::default(),
            checker: Mutex::default(),
            in_flight: Mutex::default(),
            expected_members: AtomicU32::new(0),
        }))
    }

    /// Sets the number of members that the inventory lists for nodes started
    /// from now on.
    pub fn set_expected_members(&self, members: u32) {
        self.0.expected_members.store(members, Ordering::Relaxed);
    }

    fn expected_members(&self) -> u32 {
        self.0.expected_members.load(Ordering::Relaxed)
    }

    pub fn sim(&self) -> &Arc<Sim> {
        &self.0.sim
    }

    pub fn platform(&self) -> &MemoryPlatform {
        &self.0.platform
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.0
            .faults
            .lock()
            .expect("no thread panicked while holding the lock")
    }

    pub fn nodes(&self) -> MutexGuard<'_, BTreeMap<NodeIndex, Node>> {
        self.0
            .nodes
            .lock()
            .expect("no thread panicked while holding the lock")
    }

    pub fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        self.0
            .checker
            .lock()
            .expect("no thread panicked while holding the lock")
    }

    /// Starts a node process whose clock runs up to 2% fast or slow.
    pub fn start(&self, name: &str, data_centre: &str) -> NodeIndex {
        let rate = self.sim().draw(|rng| 0.98 + rng.f64() * 0.04);
        self.start_with_rate(name, data_centre, rate)
    }

    pub fn start_with_rate(&self, name: &str, data_centre: &str, rate: f64) -> NodeIndex {
        let index = self.sim().add_node(rate);
        let incarnation = self.sim().draw(|rng| rng.u64(1..=i64::MAX as u64));
        let ownership = self.new_ownership(index, name, data_centre, incarnation);
        let (ownership, replica) = ownership;
        let anti_entropy = ibiscove_spread::run(
            replica.clone(),
            self.peers(index),
            self.clock(index),
            SpreadSettings {
                incarnation,
                ..Default::default()
            },
        );
        let tasks = vec![
            self.sim().spawn(
                index,
                register_and_announce(ownership.clone(), self.expected_members()),
            ),
            self.sim().spawn(index, ownership.clone().run()),
            self.sim().spawn(index, anti_entropy),
        ];
        let node = Node {
            name: name.to_owned(),
            data_centre: data_centre.into(),
            ownership,
            replica,
            tasks,
            alive: true,
        };
        self.nodes().insert(index, node);
        index
    }

    fn new_ownership(
        &self,
        index: NodeIndex,
        name: &str,
        data_centre: &str,
        incarnation: Incarnation,
    ) -> (NodeOwnership, Replica) {
        let replica = Replica::default();
        let table = SimTable {
            cluster: self.clone(),
            node: index,
        };
        let settings = OwnershipSettings {
            drain_timeout: Duration::from_secs(4),
            ..Default::default()
        };
        let ownership = Ownership::new(
            settings,
            initial_row(index, name, data_centre, incarnation),
            table,
            replica.clone(),
            self.peers(index),
            self.clock(index),
            NoHooks,
        );
        (ownership, replica)
    }

    fn peers(&self, node: NodeIndex) -> SimPeers {
        SimPeers {
            cluster: self.clone(),
            node,
        }
    }

    fn clock(&self, node: NodeIndex) -> SimClock {
        SimClock {
            sim: Arc::clone(self.sim()),
            node,
        }
    }

    /// Kills a process.
    pub fn kill(&self, node: NodeIndex) {
        let mut nodes = self.nodes();
        let node = nodes.get_mut(&node).expect("a node that was started");
        node.alive = false;
        let tasks = std::mem::take(&mut node.tasks);
        drop(nodes);
        drop(tasks);
    }

    /// Drains a node, then ends its process.
    pub fn drain(&self, index: NodeIndex) {
        let ownership = self.nodes()[&index].ownership.clone();
        let cluster = self.clone();
        let draining = async move {
            while ownership.drain().await.is_err() {
                cluster.sim().sleep(CALL_TIMEOUT).await;
            }
            cluster
                .sim()
                .spawn(ENVIRONMENT, end_process(cluster.clone(), index))
                .detach();
        };
        let task = self.sim().spawn(index, draining);
        self.nodes()
            .get_mut(&index)
            .expect("a known node")
            .tasks
            .push(task);
    }

    /// Proposes to move a slot to another node.
    pub fn propose(&self, slot: Slot, to: NodeIndex) {
        let nodes = self.nodes();
        let to = nodes[&to].ownership.incarnation();
        let proposal = Request::Proposal(Proposal {
            service_name: SERVICE.to_owned(),
            moves: vec![SlotMove {
                slot: slot as i32,
                to: to as i64,
            }],
            splits: Vec::new(),
            merges: Vec::new(),
        });
        for node in nodes.values().filter(|node| node.alive) {
            node.ownership.respond(0, &proposal);
        }
    }

    /// Returns a node's row as the table has it.
    pub fn row(&self, node: NodeIndex) -> NodeRow {
        let incarnation = self.nodes()[&node].ownership.incarnation();
        let rows = Rows::read(self.platform()).nodes.into_iter();
        let mut rows = rows.filter(|row| row.incarnation == incarnation);
        rows.next().expect("a registered node")
    }

    /// Returns the process of an incarnation.
    pub fn node_of(&self, incarnation: Incarnation) -> Option<NodeIndex> {
        let nodes = self.nodes();
        let mut found = nodes
            .iter()
            .filter(|(_, n)| n.ownership.incarnation() == incarnation);
        found.next().map(|(index, _)| *index)
    }

    /// Partitions or reconnects two nodes.
    pub fn set_partitioned(&self, a: NodeIndex, b: NodeIndex, partitioned: bool) {
        let pair = (a.min(b), a.max(b));
        match partitioned {
            true => self.faults().partitioned.insert(pair),
            false => self.faults().partitioned.remove(&pair),
        };
    }

    /// Partitions a set of nodes from all others.
    pub fn isolate(&self, isolated: &[NodeIndex]) {
        let all: Vec<NodeIndex> = self.nodes().keys().copied().collect();
        for a in isolated {
            for b in all.iter().filter(|b| !isolated.contains(b)) {
                self.set_partitioned(*a, *b, true);
            }
        }
    }

    pub fn set_table_reachable(&self, node: Option<NodeIndex>, reachable: bool) {
        let mut faults = self.faults();
        match (node, reachable) {
            (None, _) => faults.table_down = !reachable,
            (Some(node), true) => drop(faults.without_table.remove(&node)),
            (Some(node), false) => drop(faults.without_table.insert(node)),
        }
    }

    pub fn set_table_delay(&self, delay: Duration) {
        self.faults().table_delay = delay;
    }

    pub fn set_message_loss(&self, fraction: f64) {
        self.faults().message_loss = fraction;
    }

    /// Queues faults for the next commits of a node.
    pub fn inject_commit_faults(
        &self,
        node: NodeIndex,
        faults: impl IntoIterator<Item = CommitFault>,
    ) {
        self.faults()
            .commit_faults
            .entry(node)
            .or_default()
            .extend(faults);
    }

    /// Ends every fault except lost processes.
    pub fn heal(&self) {
        *self.faults() = Faults::default();
    }

    /// Advances virtual time by `length`, with requests to every slot at every
    /// node.
    pub fn run_for(&self, length: Duration) {
        let end = self.sim().now() + length;
        while self.sim().now() < end {
            self.sim().run_until(self.sim().now() + REQUEST_INTERVAL);
            self.send_requests();
        }
    }

    fn send_requests(&self) {
        let now = self.sim().now();
        self.in_flight().retain(|(ends, _)| *ends > now);
        let nodes = self.nodes();
        let running = nodes
            .iter()
            .filter(|(index, node)| node.alive && !self.sim().is_frozen(**index));
        for (index, node) in running {
            for slot in 0..SLOTS {
                self.send_request(*index, node, slot, now);
            }
        }
    }

    fn send_request(&self, index: NodeIndex, node: &Node, slot: Slot, now: Duration) {
        let Ok(admission) = node.ownership.admit(Some(slot)) else {
            return;
        };
        let duration = self
            .sim()
            .draw(|rng| Duration::from_millis(rng.u64(0..300)));
        // Work at an upstream that checks no fences is cancelled when the lease
        // ends.
        let ends = (now + duration).min(self.sim().global_time(index, admission.valid_until));
        self.checker().record_execution(Execution {
            slot,
            fence: admission.fence.expect("a slot has a fence"),
            owner: node.ownership.incarnation(),
            started_at: now,
            ends,
        });
        self.in_flight().push((ends, admission));
    }

    fn in_flight(&self) -> MutexGuard<'_, Vec<(Duration, Admission)>> {
        self.0
            .in_flight
            .lock()
            .expect("no thread panicked while holding the lock")
    }

    /// Returns the slots that no node serves now.
    pub fn unserved(&self) -> Vec<Slot> {
        let nodes = self.nodes();
        let running = nodes
            .iter()
            .filter(|(index, node)| node.alive && !self.sim().is_frozen(**index));
        let running: Vec<&Node> = running.map(|(_, node)| node).collect();
        let is_served = |slot: Slot| {
            running
                .iter()
                .any(|node| node.ownership.admit(Some(slot)).is_ok())
        };
        (0..SLOTS).filter(|slot| !is_served(*slot)).collect()
    }

    /// Runs until every slot is served; panics after `limit`.
    pub fn await_served(&self, limit: Duration) -> Duration {
        self.await_condition("every slot is served", limit, |cluster| {
            cluster.unserved().is_empty()
        })
    }

    /// Runs until a condition holds; returns the time that it took.
    pub fn await_condition(
        &self,
        description: &str,
        limit: Duration,
        condition: impl Fn(&Cluster) -> bool,
    ) -> Duration {
        let started_at = self.sim().now();
        while !condition(self) {
            let waited = self.sim().now() - started_at;
            assert!(waited < limit, "not within {limit:?}: {description}");
            self.run_for(REQUEST_INTERVAL);
        }
        self.sim().now() - started_at
    }

    /// Runs until any node could be taken over without the table.
    pub fn await_takeover_ready(&self) {
        self.await_condition(
            "every node is ready for takeover",
            Duration::from_secs(20),
            |cluster| {
                cluster.unserved().is_empty()
                    && cluster
                        .nodes()
                        .values()
                        .filter(|n| n.alive)
                        .all(|n| n.ownership.is_takeover_ready())
            },
        );
    }

    /// Returns the node that serves a slot now.
    pub fn owner(&self, slot: Slot) -> Option<NodeIndex> {
        let nodes = self.nodes();
        let mut alive = nodes.iter().filter(|(_, node)| node.alive);
        let owner = alive.find(|(_, node)| node.ownership.admit(Some(slot)).is_ok());
        owner.map(|(index, _)| *index)
    }

    /// Prints the rows of the table and the state of the nodes.
    pub fn print_state(&self) {
        let now = self.sim().now();
        for row in Rows::read(self.platform()).nodes {
            println!("{now:?} {row:?}");
        }
        println!("{now:?} {:?}", Rows::read(self.platform()).services);
        for (index, node) in self.nodes().iter() {
            let clock = self.clock(*index);
            let lease = node
                .ownership
                .lease_end(ibiscove_types::Clock::now(&clock))
                .is_some();
            println!(
                "node {index} {} alive {} lease {lease} {:x}",
                node.name,
                node.alive,
                node.ownership.incarnation()
            );
        }
    }

    /// Ends the run; returns the invariant violations found.
    pub fn finish(self) -> Vec<String> {
        let tasks: Vec<Task<()>> = self
            .nodes()
            .values_mut()
            .flat_map(|node| std::mem::take(&mut node.tasks))
            .collect();
        drop(tasks);
        self.in_flight().clear();
        self.sim().finish();
        let nodes = std::mem::take(&mut *self.nodes());
        drop(nodes);
        std::mem::take(&mut self.checker().violations)
    }

    fn is_delivered(&self, a: NodeIndex, b: NodeIndex) -> bool {
        let message_loss = self.faults().message_loss;
        let lost = message_loss > 0.0 && self.sim().draw(|rng| rng.f64()) < message_loss;
        !lost && !self.faults().partitioned.contains(&(a.min(b), a.max(b)))
    }

    /// Returns the latency of one message: mostly short, sometimes long.
    fn message_latency(&self) -> Duration {
        self.sim().draw(|rng| match rng.u8(..100) {
            0 => Duration::from_millis(rng.u64(20..400)),
            _ => Duration::from_micros(rng.u64(100..3_000)),
        })
    }
}

async fn end_process(cluster: Cluster, index: NodeIndex) {
    cluster.kill(index);
}

/// Registers a starting process, then announces its upstream.
async fn register_and_announce(ownership: NodeOwnership, expected_members: u32) {
    let service = ServiceSpec {
        kind: ServiceKind::Divided,
        slot_count: SLOTS,
        expected_upstreams: expected_members,
    };
    let spec = UpstreamSpec {
        service: SERVICE.into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        concurrency: 12,
        connections: 130,
        checks_fences: false,
    };
    while ownership.load_table().await.is_err() || ownership.register().await.is_err() {}
    while ownership.announce(spec.clone(), service).await.is_err() {}
}

fn initial_row(
    index: NodeIndex,
    name: &str,
    data_centre: &str,
    incarnation: Incarnation,
) -> NodeRow {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + index as u16));
    NodeRow {
        incarnation,
        name: name.to_owned(),
        region: "dakar".into(),
        data_centre: data_centre.into(),
        peer_addr: addr,
        forward_addr: addr,
        caller_addr: addr,
        state: NodeState::Live,
        upstream: None,
        witnesses: Vec::new(),
        heirs: Vec::new(),
        grants: Vec::new(),
        absorbed: Vec::new(),
    }
}

/// Connection of one node to its peers.
#[derive(Clone)]
pub struct SimPeers {
    cluster: Cluster,
    node: NodeIndex,
}

impl Peers for SimPeers {
    async fn call(&self, addr: SocketAddr, req: Request) -> Result<Response, PeerError> {
        let to = NodeIndex::from(addr.port() - FIRST_PORT);
        let exchange = async {
            self.transmit(to).await;
            let (tx, rx) = smol::channel::bounded(1);
            let serving = serve_call(self.cluster.clone(), to, req, tx);
            if !self.cluster.nodes().get(&to).is_some_and(|node| node.alive) {
                return Err(PeerError::Unreachable {
                    addr,
                    cause: "refused".to_owned(),
                });
            }
            self.cluster.sim().spawn(to, serving).detach();
            let response = rx.recv().await;
            self.transmit(to).await;
            response.map_err(|_| PeerError::Unanswered { addr })
        };
        let limit = async {
            self.cluster.sim().sleep(CALL_TIMEOUT).await;
            Err(PeerError::Unanswered { addr })
        };
        smol::future::or(exchange, limit).await
    }
}

impl SimPeers {
    /// Carries a message one way; never completes when it is lost.
    async fn transmit(&self, to: NodeIndex) {
        let delay = self.cluster.message_latency();
        self.cluster.sim().sleep(delay).await;
        if to != self.node && !self.cluster.is_delivered(self.node, to) {
            std::future::pending::<()>().await;
        }
    }
}

/// Handles a call at the node that it was sent to. Boxed, since handling one
/// call may send others.
fn serve_call(
    cluster: Cluster,
    to: NodeIndex,
    req: Request,
    tx: smol::channel::Sender<Response>,
) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move {
        let target = {
            let nodes = cluster.nodes();
            let node = nodes.get(&to).filter(|node| node.alive);
            node.map(|node| (node.ownership.clone(), node.replica.clone()))
        };
        let Some((ownership, replica)) = target else {
            return;
        };
        if let Some(response) = ownership.respond(0, &req) {
            // A caller that has timed out accepts no response.
            let _ = tx.try_send(response);
            return;
        }
        let served = ibiscove_spread::answer(&replica, req);
        let (response, newer) = served.unwrap_or((Response::Done(Done {}), Vec::new()));
        let _ = tx.try_send(response);
        if newer.is_empty() {
            return;
        }
        ownership.notify_rows_changed();
        let settings = SpreadSettings {
            incarnation: ownership.incarnation(),
            ..Default::default()
        };
        ibiscove_spread::push_rows(&replica, &cluster.peers(to), &settings, &newer).await;
    })
}

/// Connection of one node to the table.
#[derive(Clone)]
pub struct SimTable {
    cluster: Cluster,
    node: NodeIndex,
}

impl SimTable {
    async fn connect(&self) -> Result<(), TableError> {
        let delay = self.cluster.message_latency() + self.cluster.faults().table_delay;
        self.cluster.sim().sleep(delay).await;
        let faults = self.cluster.faults();
        if faults.table_down || faults.without_table.contains(&self.node) {
            return Err(TableError::Unavailable(
                "unreachable by an injected fault".to_owned(),
            ));
        }
        Ok(())
    }

    fn apply_commit(&self, txn: &Transaction) -> Commit {
        let commit = self.cluster.platform().commit_now(txn);
        self.cluster.checker().check_rows(self.cluster.platform());
        commit
    }

    fn apply_later(&self, txn: Transaction, delay: Duration) {
        let table = self.clone();
        let later = async move {
            table.cluster.sim().sleep(delay).await;
            table.apply_commit(&txn);
        };
        self.cluster.sim().spawn(ENVIRONMENT, later).detach();
    }

    fn next_fault(&self) -> CommitFault {
        let mut faults = self.cluster.faults();
        match faults.commit_faults.get_mut(&self.node) {
            Some(next) if !next.is_empty() => next.remove(0),
            _ => CommitFault::None,
        }
    }
}

impl Table for SimTable {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.connect().await?;
        let row = self.cluster.platform().get(key).await;
        self.connect().await?;
        row
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.connect().await?;
        self.cluster.platform().scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.connect().await?;
        let lost = Err(TableError::Unanswered(
            "response lost by an injected fault".to_owned(),
        ));
        match self.next_fault() {
            CommitFault::None => {
                let commit = self.apply_commit(&txn);
                match self.connect().await {
                    Ok(()) => Ok(commit),
                    Err(_) => lost,
                }
            }
            CommitFault::LoseResponse => {
                self.apply_commit(&txn);
                lost
            }
            CommitFault::Drop => lost,
            CommitFault::DisconnectTable(delay) => {
                self.cluster.set_table_reachable(Some(self.node), false);
                self.apply_later(txn, delay);
                lost
            }
            CommitFault::Delay(delay) => {
                self.apply_later(txn, delay);
                lost
            }
        }
    }
}
