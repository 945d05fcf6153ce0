//! Nodes, the network between them and the table, all with faults.

use crate::checker::{Checker, Execution, Rows};
use async_task::Task;
use ibiscove_ownership::{Admission, NoHooks, Ownership, OwnershipSettings, ServiceSpec};
use ibiscove_sim::{NodeIndex, Sim, SimClock, WORLD};
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

/// The one service of a run.
pub const SERVICE: &str = "deposits";
/// Its slots.
pub const SLOTS: u32 = 8;
/// Time between two rounds of requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a lost message is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Port of node 0; each node has a port of its own.
const FIRST_PORT: u16 = 10_000;

pub type Own = Ownership<SimTable, SimPeers, SimClock, NoHooks>;

/// What the table does to one node's commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitFault {
    #[default]
    None,
    /// The commit takes effect and its answer is lost.
    LoseAnswer,
    /// The node can reach the table no more, and the commit takes effect this
    /// much later.
    LoseTable(Duration),
    /// The answer is lost, and the commit takes effect this much later.
    Delay(Duration),
    /// The answer is lost and the commit never takes effect.
    Vanish,
}

#[derive(Default)]
struct Faults {
    /// Pairs of nodes that cannot reach each other.
    cut: BTreeSet<(NodeIndex, NodeIndex)>,
    /// Nodes that cannot reach the table.
    no_table: BTreeSet<NodeIndex>,
    table_down: bool,
    /// Faults of the next commits of a node.
    commits: BTreeMap<NodeIndex, Vec<CommitFault>>,
    /// Time that each call to the table takes.
    table_delay: Duration,
    /// Share of messages lost.
    loss: f64,
}

pub struct Node {
    pub name: String,
    pub data_centre: DataCentre,
    pub own: Own,
    pub replica: Replica,
    tasks: Vec<Task<()>>,
    pub alive: bool,
}

struct Inner {
    sim: Arc<Sim>,
    platform: MemoryPlatform,
    faults: Mutex<Faults>,
    nodes: Mutex<BTreeMap<NodeIndex, Node>>,
    checker: Mutex<Checker>,
    running: Mutex<Vec<(Duration, Admission)>>,
    /// Members that the inventory tells nodes.
    expected: AtomicU32,
}

/// Everything of one run. Clones share it.
#[derive(Clone)]
pub struct World(Arc<Inner>);

impl World {
    pub fn new(seed: u64) -> Self {
        // The spread crate draws from the thread's random source.
        fastrand::seed(seed);
        Self(Arc::new(Inner {
            sim: Sim::new(seed),
            platform: MemoryPlatform::default(),
            faults: Mutex::default(),
            nodes: Mutex::default(),
            checker: Mutex::default(),
            running: Mutex::default(),
            expected: AtomicU32::new(0),
        }))
    }

    /// Members that the inventory tells the nodes started from now on.
    pub fn set_expected(&self, members: u32) {
        self.0.expected.store(members, Ordering::Relaxed);
    }

    fn expected(&self) -> u32 {
        self.0.expected.load(Ordering::Relaxed)
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
            .expect("the run goes on after no panic")
    }

    pub fn nodes(&self) -> MutexGuard<'_, BTreeMap<NodeIndex, Node>> {
        self.0.nodes.lock().expect("the run goes on after no panic")
    }

    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        self.0
            .checker
            .lock()
            .expect("the run goes on after no panic")
    }

    /// Starts a node process; its clock runs up to 2% fast or slow.
    pub fn start(&self, name: &str, data_centre: &str) -> NodeIndex {
        let rate = self.sim().draw(|rng| 0.98 + rng.f64() * 0.04);
        self.start_with_rate(name, data_centre, rate)
    }

    pub fn start_with_rate(&self, name: &str, data_centre: &str, rate: f64) -> NodeIndex {
        let index = self.sim().add_node(rate);
        let incarnation = self.sim().draw(|rng| rng.u64(1..=i64::MAX as u64));
        let own = self.ownership(index, name, data_centre, incarnation);
        let (own, replica) = own;
        let spreading = ibiscove_spread::run(
            replica.clone(),
            self.peers(index),
            self.clock(index),
            SpreadSettings {
                incarnation,
                ..Default::default()
            },
        );
        let tasks = vec![
            self.sim().spawn(index, join(own.clone(), self.expected())),
            self.sim().spawn(index, own.clone().run()),
            self.sim().spawn(index, spreading),
        ];
        let node = Node {
            name: name.to_owned(),
            data_centre: data_centre.into(),
            own,
            replica,
            tasks,
            alive: true,
        };
        self.nodes().insert(index, node);
        index
    }

    fn ownership(
        &self,
        index: NodeIndex,
        name: &str,
        data_centre: &str,
        incarnation: Incarnation,
    ) -> (Own, Replica) {
        let replica = Replica::default();
        let table = SimTable {
            world: self.clone(),
            node: index,
        };
        let settings = OwnershipSettings {
            drain_timeout: Duration::from_secs(4),
            ..Default::default()
        };
        let own = Ownership::new(
            settings,
            row(index, name, data_centre, incarnation),
            table,
            replica.clone(),
            self.peers(index),
            self.clock(index),
            NoHooks,
        );
        (own, replica)
    }

    fn peers(&self, node: NodeIndex) -> SimPeers {
        SimPeers {
            world: self.clone(),
            node,
        }
    }

    fn clock(&self, node: NodeIndex) -> SimClock {
        SimClock {
            sim: Arc::clone(self.sim()),
            node,
        }
    }

    /// Ends a process at once.
    pub fn kill(&self, node: NodeIndex) {
        let mut nodes = self.nodes();
        let node = nodes.get_mut(&node).expect("a node that was started");
        node.alive = false;
        let tasks = std::mem::take(&mut node.tasks);
        drop(nodes);
        drop(tasks);
    }

    /// Lets a node leave, and ends its process after that.
    pub fn drain(&self, index: NodeIndex) {
        let own = self.nodes()[&index].own.clone();
        let world = self.clone();
        let draining = async move {
            while own.drain().await.is_err() {
                world.sim().sleep(CALL_TIMEOUT).await;
            }
            world.sim().spawn(WORLD, end(world.clone(), index)).detach();
        };
        let task = self.sim().spawn(index, draining);
        self.nodes()
            .get_mut(&index)
            .expect("a known node")
            .tasks
            .push(task);
    }

    /// Proposes to the owner of a slot that another node owns it.
    pub fn propose(&self, slot: Slot, to: NodeIndex) {
        let nodes = self.nodes();
        let to = nodes[&to].own.incarnation();
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
            node.own.respond(0, &proposal);
        }
    }

    /// A node's row as the table has it.
    pub fn row(&self, node: NodeIndex) -> NodeRow {
        let incarnation = self.nodes()[&node].own.incarnation();
        let rows = Rows::read(self.platform()).nodes.into_iter();
        let mut rows = rows.filter(|row| row.incarnation == incarnation);
        rows.next().expect("a registered node")
    }

    /// The process of an incarnation.
    pub fn node_of(&self, incarnation: Incarnation) -> Option<NodeIndex> {
        let nodes = self.nodes();
        let mut found = nodes
            .iter()
            .filter(|(_, n)| n.own.incarnation() == incarnation);
        found.next().map(|(index, _)| *index)
    }

    /// Cuts or heals the link between two nodes.
    pub fn set_cut(&self, a: NodeIndex, b: NodeIndex, cut: bool) {
        let pair = (a.min(b), a.max(b));
        match cut {
            true => self.faults().cut.insert(pair),
            false => self.faults().cut.remove(&pair),
        };
    }

    /// Cuts a set of nodes from all others.
    pub fn isolate(&self, apart: &[NodeIndex]) {
        let all: Vec<NodeIndex> = self.nodes().keys().copied().collect();
        for a in apart {
            for b in all.iter().filter(|b| !apart.contains(b)) {
                self.set_cut(*a, *b, true);
            }
        }
    }

    pub fn set_table(&self, node: Option<NodeIndex>, reachable: bool) {
        let mut faults = self.faults();
        match (node, reachable) {
            (None, _) => faults.table_down = !reachable,
            (Some(node), true) => drop(faults.no_table.remove(&node)),
            (Some(node), false) => drop(faults.no_table.insert(node)),
        }
    }

    pub fn set_table_delay(&self, delay: Duration) {
        self.faults().table_delay = delay;
    }

    pub fn set_loss(&self, share: f64) {
        self.faults().loss = share;
    }

    /// What happens to the next commits of a node.
    pub fn fault_commits(&self, node: NodeIndex, faults: impl IntoIterator<Item = CommitFault>) {
        self.faults()
            .commits
            .entry(node)
            .or_default()
            .extend(faults);
    }

    /// Ends every fault but lost processes.
    pub fn heal(&self) {
        *self.faults() = Faults::default();
    }

    /// Lets `length` pass, with requests to every slot at every node.
    pub fn run_for(&self, length: Duration) {
        let end = self.sim().now() + length;
        while self.sim().now() < end {
            self.sim().run_until(self.sim().now() + REQUEST_INTERVAL);
            self.requests();
        }
    }

    fn requests(&self) {
        let now = self.sim().now();
        self.running().retain(|(ends, _)| *ends > now);
        let nodes = self.nodes();
        let awake = nodes
            .iter()
            .filter(|(index, node)| node.alive && !self.sim().is_frozen(**index));
        for (index, node) in awake {
            for slot in 0..SLOTS {
                self.request(*index, node, slot, now);
            }
        }
    }

    fn request(&self, index: NodeIndex, node: &Node, slot: Slot, now: Duration) {
        let Ok(admission) = node.own.admit(Some(slot)) else {
            return;
        };
        let work = self
            .sim()
            .draw(|rng| Duration::from_millis(rng.u64(0..300)));
        // What an upstream that checks no fences runs is cut when the lease ends.
        let ends = (now + work).min(self.sim().real(index, admission.valid_until));
        self.checker().ran(Execution {
            slot,
            fence: admission.fence.expect("a slot has a fence"),
            owner: node.own.incarnation(),
            began: now,
            ends,
        });
        self.running().push((ends, admission));
    }

    fn running(&self) -> MutexGuard<'_, Vec<(Duration, Admission)>> {
        self.0
            .running
            .lock()
            .expect("the run goes on after no panic")
    }

    /// Slots that no node serves now.
    pub fn unserved(&self) -> Vec<Slot> {
        let nodes = self.nodes();
        let awake = nodes
            .iter()
            .filter(|(index, node)| node.alive && !self.sim().is_frozen(**index));
        let awake: Vec<&Node> = awake.map(|(_, node)| node).collect();
        let is_served = |slot: Slot| awake.iter().any(|node| node.own.admit(Some(slot)).is_ok());
        (0..SLOTS).filter(|slot| !is_served(*slot)).collect()
    }

    /// Runs until every slot is served; panics after `limit`.
    pub fn await_served(&self, limit: Duration) -> Duration {
        self.await_that("every slot is served", limit, |world| {
            world.unserved().is_empty()
        })
    }

    /// Runs until something holds; gives how long it took.
    pub fn await_that(
        &self,
        what: &str,
        limit: Duration,
        holds: impl Fn(&World) -> bool,
    ) -> Duration {
        let began = self.sim().now();
        while !holds(self) {
            let waited = self.sim().now() - began;
            assert!(waited < limit, "not within {limit:?}: {what}");
            self.run_for(REQUEST_INTERVAL);
        }
        self.sim().now() - began
    }

    /// Runs until a loss of any node would be covered without the table.
    pub fn await_covered(&self) {
        self.await_that("every node is covered", Duration::from_secs(20), |world| {
            world.unserved().is_empty()
                && world
                    .nodes()
                    .values()
                    .filter(|n| n.alive)
                    .all(|n| n.own.is_takeover_ready())
        });
    }

    /// The node that serves a slot now.
    pub fn owner(&self, slot: Slot) -> Option<NodeIndex> {
        let nodes = self.nodes();
        let mut alive = nodes.iter().filter(|(_, node)| node.alive);
        let owner = alive.find(|(_, node)| node.own.admit(Some(slot)).is_ok());
        owner.map(|(index, _)| *index)
    }

    /// Prints the rows of the table and what the nodes make of them.
    pub fn print(&self) {
        let now = self.sim().now();
        for row in Rows::read(self.platform()).nodes {
            println!("{now:?} {row:?}");
        }
        println!("{now:?} {:?}", Rows::read(self.platform()).services);
        for (index, node) in self.nodes().iter() {
            let clock = self.clock(*index);
            let lease = node
                .own
                .lease_end(ibiscove_types::Clock::now(&clock))
                .is_some();
            println!(
                "node {index} {} alive {} lease {lease} {:x}",
                node.name,
                node.alive,
                node.own.incarnation()
            );
        }
    }

    /// Ends the run; gives the rules that were broken.
    pub fn finish(self) -> Vec<String> {
        let tasks: Vec<Task<()>> = self
            .nodes()
            .values_mut()
            .flat_map(|node| std::mem::take(&mut node.tasks))
            .collect();
        drop(tasks);
        self.running().clear();
        self.sim().finish();
        let nodes = std::mem::take(&mut *self.nodes());
        drop(nodes);
        std::mem::take(&mut self.checker().broken)
    }

    fn is_linked(&self, a: NodeIndex, b: NodeIndex) -> bool {
        let loss = self.faults().loss;
        let lost = loss > 0.0 && self.sim().draw(|rng| rng.f64()) < loss;
        !lost && !self.faults().cut.contains(&(a.min(b), a.max(b)))
    }

    /// Time that one message takes: mostly short, at times long.
    fn delay(&self) -> Duration {
        self.sim().draw(|rng| match rng.u8(..100) {
            0 => Duration::from_millis(rng.u64(20..400)),
            _ => Duration::from_micros(rng.u64(100..3_000)),
        })
    }
}

async fn end(world: World, index: NodeIndex) {
    world.kill(index);
}

/// What a starting process does: register, then announce its upstream.
async fn join(own: Own, expected: u32) {
    let shape = ServiceSpec {
        kind: ServiceKind::Divided,
        slot_count: SLOTS,
        expected_upstreams: expected,
    };
    let spec = UpstreamSpec {
        service: SERVICE.into(),
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        concurrency: 12,
        connections: 130,
        checks_fences: false,
    };
    while own.load_table().await.is_err() || own.register().await.is_err() {}
    while own.announce(spec.clone(), shape).await.is_err() {}
}

fn row(index: NodeIndex, name: &str, data_centre: &str, incarnation: Incarnation) -> NodeRow {
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

/// Calls of one node to others.
#[derive(Clone)]
pub struct SimPeers {
    world: World,
    node: NodeIndex,
}

impl Peers for SimPeers {
    async fn call(&self, addr: SocketAddr, req: Request) -> Result<Response, PeerError> {
        let to = NodeIndex::from(addr.port() - FIRST_PORT);
        let exchange = async {
            self.carry(to).await;
            let (tx, rx) = smol::channel::bounded(1);
            let answering = answer(self.world.clone(), to, req, tx);
            if !self.world.nodes().get(&to).is_some_and(|node| node.alive) {
                return Err(PeerError::Unreachable {
                    addr,
                    cause: "refused".to_owned(),
                });
            }
            self.world.sim().spawn(to, answering).detach();
            let answer = rx.recv().await;
            self.carry(to).await;
            answer.map_err(|_| PeerError::Unanswered { addr })
        };
        let limit = async {
            self.world.sim().sleep(CALL_TIMEOUT).await;
            Err(PeerError::Unanswered { addr })
        };
        smol::future::or(exchange, limit).await
    }
}

impl SimPeers {
    /// One way between two nodes; never completes when the message is lost.
    async fn carry(&self, to: NodeIndex) {
        let delay = self.world.delay();
        self.world.sim().sleep(delay).await;
        if to != self.node && !self.world.is_linked(self.node, to) {
            std::future::pending::<()>().await;
        }
    }
}

/// Answers a call at the node that it was sent to. Boxed, since answering one
/// call may send others.
fn answer(
    world: World,
    to: NodeIndex,
    req: Request,
    tx: smol::channel::Sender<Response>,
) -> Pin<Box<dyn Future<Output = ()> + Send>> {
    Box::pin(async move {
        let known = {
            let nodes = world.nodes();
            let node = nodes.get(&to).filter(|node| node.alive);
            node.map(|node| (node.own.clone(), node.replica.clone()))
        };
        let Some((own, replica)) = known else {
            return;
        };
        if let Some(response) = own.respond(0, &req) {
            // A caller that has given up takes no answer.
            let _ = tx.try_send(response);
            return;
        }
        let answered = ibiscove_spread::answer(&replica, req);
        let (response, newer) = answered.unwrap_or((Response::Done(Done {}), Vec::new()));
        let _ = tx.try_send(response);
        if newer.is_empty() {
            return;
        }
        own.notify_rows_changed();
        let settings = SpreadSettings {
            incarnation: own.incarnation(),
            ..Default::default()
        };
        ibiscove_spread::push_rows(&replica, &world.peers(to), &settings, &newer).await;
    })
}

/// The table as one node reaches it.
#[derive(Clone)]
pub struct SimTable {
    world: World,
    node: NodeIndex,
}

impl SimTable {
    async fn reach(&self) -> Result<(), TableError> {
        let delay = self.world.delay() + self.world.faults().table_delay;
        self.world.sim().sleep(delay).await;
        let faults = self.world.faults();
        if faults.table_down || faults.no_table.contains(&self.node) {
            return Err(TableError::Unavailable("down by a fault".to_owned()));
        }
        Ok(())
    }

    fn apply(&self, txn: &Transaction) -> Commit {
        let commit = self.world.platform().commit_now(txn);
        self.world.checker().check_rows(self.world.platform());
        commit
    }

    fn apply_later(&self, txn: Transaction, delay: Duration) {
        let table = self.clone();
        let later = async move {
            table.world.sim().sleep(delay).await;
            table.apply(&txn);
        };
        self.world.sim().spawn(WORLD, later).detach();
    }

    fn next_fault(&self) -> CommitFault {
        let mut faults = self.world.faults();
        match faults.commits.get_mut(&self.node) {
            Some(next) if !next.is_empty() => next.remove(0),
            _ => CommitFault::None,
        }
    }
}

impl Table for SimTable {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.reach().await?;
        let row = self.world.platform().get(key).await;
        self.reach().await?;
        row
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.reach().await?;
        self.world.platform().scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        self.reach().await?;
        let lost = Err(TableError::Unanswered("lost by a fault".to_owned()));
        match self.next_fault() {
            CommitFault::None => {
                let commit = self.apply(&txn);
                match self.reach().await {
                    Ok(()) => Ok(commit),
                    Err(_) => lost,
                }
            }
            CommitFault::LoseAnswer => {
                self.apply(&txn);
                lost
            }
            CommitFault::Vanish => lost,
            CommitFault::LoseTable(delay) => {
                self.world.set_table(Some(self.node), false);
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
