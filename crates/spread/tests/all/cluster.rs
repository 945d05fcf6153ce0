//! Nodes whose messages go through a network in memory that loses, repeats,
//! delays and damages them as a seed says.

use crate::support::{StepClock, addr, live};
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

/// What the network does, as shares of messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    pub loss: f64,
    pub repeats: f64,
    pub damage: f64,
    pub delays: bool,
}

/// Who sent rows that were new, and the rows.
type News = (Option<SocketAddr>, Vec<ReplicatedRow>);

struct Station {
    replica: Replica,
    /// Rows to push on, for the node's own task.
    newer: Sender<News>,
    group: u32,
}

struct State {
    rng: fastrand::Rng,
    weather: Weather,
    stations: BTreeMap<SocketAddr, Station>,
    bytes: usize,
}

#[derive(Clone)]
pub struct Net(Arc<Mutex<State>>);

/// One node's way into the network.
#[derive(Clone)]
struct Port {
    net: Net,
    own: SocketAddr,
}

enum Fate {
    Lost,
    Delivered { times: usize, answered: bool },
}

impl Net {
    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.0.lock().expect("no panic"))
    }

    fn fate(&self, from: SocketAddr, to: SocketAddr) -> Option<Fate> {
        self.with(|state| {
            let reachable = match (state.stations.get(&from), state.stations.get(&to)) {
                (Some(from), Some(to)) => from.group == to.group,
                _ => false,
            };
            if !reachable {
                return None;
            }
            let weather = state.weather;
            if state.rng.f64() < weather.loss {
                return Some(Fate::Lost);
            }
            Some(Fate::Delivered {
                times: 1 + usize::from(state.rng.f64() < weather.repeats),
                answered: state.rng.f64() >= weather.loss,
            })
        })
    }

    fn damage(&self, mut req: Request) -> Request {
        self.with(|state| {
            if let Request::Push(push) = &mut req
                && let Some(entry) = push.entries.first_mut()
                && state.rng.f64() < state.weather.damage
            {
                let at = state.rng.usize(..entry.body.len());
                entry.body[at] ^= 1;
            }
        });
        req
    }

    fn deliver(&self, from: SocketAddr, to: SocketAddr, req: Request) -> Response {
        let (replica, newer) = self.with(|state| {
            let station = &state.stations[&to];
            (station.replica.clone(), station.newer.clone())
        });
        let (response, rows) = handle_request(&replica, req).expect("a message about rows");
        newer
            .try_send((Some(from), rows))
            .expect("the node's task takes rows");
        response
    }

    async fn delay(&self) {
        let turns = self.with(|s| {
            if s.weather.delays {
                s.rng.usize(..8)
            } else {
                0
            }
        });
        for _ in 0..turns {
            smol::future::yield_now().await;
        }
    }
}

impl Peers for Port {
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Response, PeerError> {
        let len = ibiscove_wire::encode(&req).expect("a message").len();
        self.net.with(|state| state.bytes += len);
        let Some(fate) = self.net.fate(self.own, to) else {
            let cause = "out of reach".to_owned();
            return Err(PeerError::Unreachable { addr: to, cause });
        };
        let Fate::Delivered { times, answered } = fate else {
            return Err(PeerError::Unanswered { addr: to });
        };
        self.net.delay().await;
        let req = self.net.damage(req);
        let mut response = None;
        for _ in 0..times {
            response = Some(self.net.deliver(self.own, to, req.clone()));
        }
        self.net.delay().await;
        match response {
            Some(Response::Failed(failed)) => Err(PeerError::Failed {
                addr: to,
                message: failed.message,
            }),
            Some(response) if answered => {
                let len = ibiscove_wire::encode(&response).expect("a message").len();
                self.net.with(|state| state.bytes += len);
                Ok(response)
            }
            _ => Err(PeerError::Unanswered { addr: to }),
        }
    }
}

/// Nodes with their tasks. Incarnations count from 1.
pub struct Cluster {
    pub net: Net,
    pub clock: StepClock,
    pub platform: FaultyPlatform<MemoryPlatform>,
    executor: LocalExecutor<'static>,
    seed: u64,
}

impl Cluster {
    pub fn new(seed: u64, count: u64, weather: Weather) -> Self {
        let state = State {
            rng: fastrand::Rng::with_seed(seed),
            weather,
            stations: BTreeMap::new(),
            bytes: 0,
        };
        let cluster = Self {
            net: Net(Arc::new(Mutex::new(state))),
            clock: StepClock::new(),
            platform: FaultyPlatform::new(MemoryPlatform::default()),
            executor: LocalExecutor::new(),
            seed,
        };
        for incarnation in 1..=count {
            cluster.add(incarnation, (1..=count).map(live));
        }
        cluster
    }

    /// Starts a node that knows some rows.
    pub fn add(&self, incarnation: Incarnation, known: impl IntoIterator<Item = ReplicatedRow>) {
        let replica = Replica::default();
        replica.apply(known);
        let (newer, rx) = smol::channel::unbounded::<News>();
        let station = Station {
            replica: replica.clone(),
            newer,
            group: 0,
        };
        let own = addr(incarnation);
        self.net.with(|state| state.stations.insert(own, station));
        let port = Port {
            net: self.net.clone(),
            own,
        };
        let settings = SpreadSettings {
            incarnation,
            seed: Some(self.seed ^ incarnation),
            ..Default::default()
        };
        let (pushing, to_push) = (port.clone(), (replica.clone(), settings.clone()));
        let push = async move {
            while let Ok((sender, rows)) = rx.recv().await {
                propagate_rows(&to_push.0, &pushing, &to_push.1, sender, &rows).await;
            }
        };
        self.executor.spawn(push).detach();
        let comparing = run_anti_entropy(
            replica.clone(),
            port.clone(),
            self.clock.clone(),
            settings.clone(),
        );
        self.executor.spawn(comparing).detach();
        let platform = self.platform.clone();
        let watching = watch_table(replica, port, platform, self.clock.clone(), settings);
        self.executor.spawn(watching).detach();
    }

    pub fn replica(&self, incarnation: Incarnation) -> Replica {
        self.net
            .with(|state| state.stations[&addr(incarnation)].replica.clone())
    }

    pub fn replicas(&self) -> Vec<Replica> {
        self.net
            .with(|state| state.stations.values().map(|s| s.replica.clone()).collect())
    }

    /// Makes rows known at one node, as a writer does.
    pub fn publish(&self, at: Incarnation, entries: Vec<ReplicatedRow>) {
        self.push(at, self.replica(at).apply(entries));
    }

    /// Has a node push rows that it already has.
    pub fn push(&self, from: Incarnation, rows: Vec<ReplicatedRow>) {
        let station = self
            .net
            .with(|state| state.stations[&addr(from)].newer.clone());
        station
            .try_send((None, rows))
            .expect("the node's task takes rows");
    }

    /// Has one node compare with another.
    pub async fn repair_once(&self, of: Incarnation, with: Incarnation) -> Result<(), PeerError> {
        let port = Port {
            net: self.net.clone(),
            own: addr(of),
        };
        let settings = SpreadSettings {
            incarnation: of,
            fan_out: 0,
            config_fan_out: 0,
            ..Default::default()
        };
        repair_with_peer(&self.replica(of), &port, &settings, addr(with)).await
    }

    /// Puts nodes in groups that cannot reach each other.
    pub fn partition(&self, group_of: impl Fn(Incarnation) -> u32) {
        self.net.with(|state| {
            for (addr, station) in &mut state.stations {
                station.group = group_of(Incarnation::from(addr.port()));
            }
        });
    }

    /// Does everything that can be done without time passing.
    pub fn settle(&self) {
        while self.executor.try_tick() {}
    }

    /// Lets seconds pass, one by one.
    pub fn pass(&self, seconds: u32) {
        for _ in 0..seconds {
            self.settle();
            self.clock.advance(Duration::from_secs(1));
        }
        self.settle();
    }

    pub fn bytes(&self) -> usize {
        self.net.with(|state| std::mem::take(&mut state.bytes))
    }
}
