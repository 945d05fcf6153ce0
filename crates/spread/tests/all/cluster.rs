//! A simulated cluster: nodes whose messages pass through an in-memory network
//! that loses, duplicates, delays and corrupts them, by a seeded generator.

use crate::support::{StepClock, addr, live_entry};
use ibiscove_spread::{
    Replica, ReplicatedRow, SpreadSettings, handle_request, propagate_rows, repair_with_peer,
    run_anti_entropy, watch_table,
};
use ibiscove_standin::FaultyPlatform;
use ibiscove_store::MemoryPlatform;
use ibiscove_types::Incarnation;
use ibiscove_wire::messages::{Request, Response};
use ibiscove_wire::{PeerError, Peers};
use smol::LocalExecutor;
use smol::channel::Sender;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Faults injected into the network, as shares of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub corruption: f64,
    pub delays: bool,
}

/// Rows that were newer, with the peer that sent them.
type NewerRows = (Option<SocketAddr>, Vec<ReplicatedRow>);

struct Endpoint {
    replica: Replica,
    /// Queue of the node's task that propagates newer rows.
    newer: Sender<NewerRows>,
    group: u32,
}

struct State {
    rng: fastrand::Rng,
    faults: NetworkFaults,
    endpoints: BTreeMap<SocketAddr, Endpoint>,
    bytes: usize,
}

#[derive(Clone)]
pub struct Network(Arc<Mutex<State>>);

/// One node's client of the network.
#[derive(Clone)]
struct NetworkPeers {
    network: Network,
    own: SocketAddr,
}

enum Delivery {
    Lost,
    Delivered { copies: usize, responded: bool },
}

impl Network {
    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.lock().expect("no panic"))
    }

    fn choose_delivery(&self, from: SocketAddr, to: SocketAddr) -> Option<Delivery> {
        self.with(|state| {
            let reachable = match (state.endpoints.get(&from), state.endpoints.get(&to)) {
                (Some(from), Some(to)) => from.group == to.group,
                _ => false,
            };
            if !reachable {
                return None;
            }
            let faults = state.faults;
            if state.rng.f64() < faults.loss {
                return Some(Delivery::Lost);
            }
            Some(Delivery::Delivered {
                copies: 1 + usize::from(state.rng.f64() < faults.duplication),
                responded: state.rng.f64() >= faults.loss,
            })
        })
    }

    fn corrupt(&self, mut req: Request) -> Request {
        self.with(|state| {
            if let Request::Push(push) = &mut req
                && let Some(entry) = push.entries.first_mut()
                && state.rng.f64() < state.faults.corruption
            {
                let at = state.rng.usize(..entry.body.len());
                entry.body[at] ^= 1;
            }
        });
        req
    }

    fn deliver(&self, from: SocketAddr, to: SocketAddr, req: Request) -> Response {
        let (replica, newer) = self.with(|state| {
            let endpoint = &state.endpoints[&to];
            (endpoint.replica.clone(), endpoint.newer.clone())
        });
        let (response, rows) = handle_request(&replica, req).expect("a message about rows");
        newer
            .try_send((Some(from), rows))
            .expect("the propagation task has not ended");
        response
    }

    async fn delay(&self) {
        let yields = self.with(|s| if s.faults.delays { s.rng.usize(..8) } else { 0 });
        for _ in 0..yields {
            smol::future::yield_now().await;
        }
    }
}

impl Peers for NetworkPeers {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Response, PeerError> {
        let len = ibiscove_wire::encode(&req).expect("a message").len();
        self.network.with(|state| state.bytes += len);
        let Some(delivery) = self.network.choose_delivery(self.own, to) else {
            let cause = "in another partition".to_owned();
            return Err(PeerError::Unreachable { addr: to, cause });
        };
        let Delivery::Delivered { copies, responded } = delivery else {
            return Err(PeerError::Unanswered { addr: to });
        };
        self.network.delay().await;
        let req = self.network.corrupt(req);
        let mut response = None;
        for _ in 0..copies {
            response = Some(self.network.deliver(self.own, to, req.clone()));
        }
        self.network.delay().await;
        match response {
            Some(Response::Failed(failed)) => Err(PeerError::Failed {
                addr: to,
                message: failed.message,
            }),
            Some(response) if responded => {
                let len = ibiscove_wire::encode(&response).expect("a message").len();
                self.network.with(|state| state.bytes += len);
                Ok(response)
            }
            _ => Err(PeerError::Unanswered { addr: to }),
        }
    }
}

/// Nodes with their replication tasks. Incarnations count from 1.
pub struct Cluster {
    pub network: Network,
    pub clock: StepClock,
    pub platform: FaultyPlatform<MemoryPlatform>,
    executor: LocalExecutor<'static>,
    seed: u64,
}

impl Cluster {
    pub fn new(seed: u64, count: u64, faults: NetworkFaults) -> Self {
        let state = State {
            rng: fastrand::Rng::with_seed(seed),
            faults,
            endpoints: BTreeMap::new(),
            bytes: 0,
        };
        let cluster = Self {
            network: Network(Arc::new(Mutex::new(state))),
            clock: StepClock::new(),
            platform: FaultyPlatform::new(MemoryPlatform::default()),
            executor: LocalExecutor::new(),
            seed,
        };
        for incarnation in 1..=count {
            cluster.add(incarnation, (1..=count).map(live_entry));
        }
        cluster
    }

    /// Starts a node whose replica holds the given rows.
    pub fn add(&self, incarnation: Incarnation, initial: impl IntoIterator<Item = ReplicatedRow>) {
        let replica = Replica::default();
        replica.apply(initial);
        let (newer, rx) = smol::channel::unbounded::<NewerRows>();
        let endpoint = Endpoint {
            replica: replica.clone(),
            newer,
            group: 0,
        };
        let own = addr(incarnation);
        self.network
            .with(|state| state.endpoints.insert(own, endpoint));
        let peers = NetworkPeers {
            network: self.network.clone(),
            own,
        };
        let settings = SpreadSettings {
            incarnation,
            seed: Some(self.seed ^ incarnation),
            ..Default::default()
        };
        let (push_peers, push_args) = (peers.clone(), (replica.clone(), settings.clone()));
        let push = async move {
            while let Ok((sender, rows)) = rx.recv().await {
                propagate_rows(&push_args.0, &push_peers, &push_args.1, sender, &rows).await;
            }
        };
        self.executor.spawn(push).detach();
        let anti_entropy = run_anti_entropy(
            replica.clone(),
            peers.clone(),
            self.clock.clone(),
            settings.clone(),
        );
        self.executor.spawn(anti_entropy).detach();
        let platform = self.platform.clone();
        let table_watch = watch_table(replica, peers, platform, self.clock.clone(), settings);
        self.executor.spawn(table_watch).detach();
    }

    pub fn replica(&self, incarnation: Incarnation) -> Replica {
        self.network
            .with(|state| state.endpoints[&addr(incarnation)].replica.clone())
    }

    pub fn replicas(&self) -> Vec<Replica> {
        self.network.with(|state| {
            state
                .endpoints
                .values()
                .map(|s| s.replica.clone())
                .collect()
        })
    }

    /// Applies rows at one node and pushes them, as a writer does.
    pub fn apply_and_push(&self, at: Incarnation, entries: Vec<ReplicatedRow>) {
        self.push(at, self.replica(at).apply(entries));
    }

    /// Makes a node push rows that it already holds.
    pub fn push(&self, from: Incarnation, rows: Vec<ReplicatedRow>) {
        let endpoint = self
            .network
            .with(|state| state.endpoints[&addr(from)].newer.clone());
        endpoint
            .try_send((None, rows))
            .expect("the propagation task has not ended");
    }

    /// Makes one node compare with another and exchange the rows that differ.
    pub async fn compare_once(&self, of: Incarnation, with: Incarnation) -> Result<(), PeerError> {
        let peers = NetworkPeers {
            network: self.network.clone(),
            own: addr(of),
        };
        let settings = SpreadSettings {
            incarnation: of,
            fan_out: 0,
            config_fan_out: 0,
            ..Default::default()
        };
        repair_with_peer(&self.replica(of), &peers, &settings, addr(with)).await
    }

    /// Divides the nodes into groups that cannot reach each other.
    pub fn partition(&self, group_of: impl Fn(Incarnation) -> u32) {
        self.network.with(|state| {
            for (addr, endpoint) in &mut state.endpoints {
                endpoint.group = group_of(Incarnation::from(addr.port()));
            }
        });
    }

    /// Runs all tasks until none can progress without the clock advancing.
    pub fn run_until_idle(&self) {
        while self.executor.try_tick() {}
    }

    /// Advances the clock in steps of one second, running all tasks after each.
    pub fn advance_seconds(&self, seconds: u32) {
        for _ in 0..seconds {
            self.run_until_idle();
            self.clock.advance(Duration::from_secs(1));
        }
        self.run_until_idle();
    }

    /// Returns the bytes sent since the last call.
    pub fn bytes(&self) -> usize {
        self.network.with(|state| std::mem::take(&mut state.bytes))
    }
}
