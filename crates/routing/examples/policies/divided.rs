//! A divided service whose hot key moves, with and without a planner.

use crate::stats::{at, max_over_mean, variation};
use crate::upstream::{Req, Upstream, Waiting};
use ibiscove_routing::choice::rendezvous_hash;
use ibiscove_routing::meter::LoadMeter;
use ibiscove_routing::planner::{NodeLoad, Planner, PlannerSettings, SlotRate};
use ibiscove_routing::queue::FairQueue;
use ibiscove_types::Slot;
use ibiscove_types::hash::{key_hash, slot_of};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

const NODES: usize = 5;
const SERVERS: u32 = 12;
const SLOTS: u32 = 256;
/// Mean work of a request, in seconds.
const MEAN_WORK: f64 = 0.02;
/// Offered work over what the upstreams can do.
const OFFERED: f64 = 0.5;
const SPAN: Duration = Duration::from_secs(900);
const DEADLINE: Duration = Duration::from_secs(1);
const QUEUE: usize = 64;
const KEYS: usize = 10_000;
/// Share of the requests that are for the hot key.
const HOT_SHARE: f64 = 0.1;
const HOT_KEY_INTERVAL: Duration = Duration::from_secs(180);
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which requests of a moving slot are held.
const HOLD: Duration = Duration::from_millis(50);

/// Names of the columns of [`Run::row`].
pub const HEADER: &str = "rule                  max/mean   CV   slots moved/min  requests held/million   p50 ms   p99 ms  p99.9 ms";

/// What a run gave.
pub struct Run {
    name: String,
    /// Highest load over the mean, and variation, of each plan interval.
    imbalances: Vec<(f64, f64)>,
    moves: usize,
    /// Requests that came while their slot moved.
    held: usize,
    requests: usize,
    times: Vec<f64>,
}

impl Run {
    /// The figures as a line.
    pub fn row(&self) -> String {
        let mut times = self.times.clone();
        times.sort_by(f64::total_cmp);
        let ms = |quantile: f64| at(&times, quantile) * 1e3;
        let count = self.imbalances.len() as f64;
        let highest: f64 = self.imbalances.iter().map(|(highest, _)| highest).sum();
        let variation: f64 = self.imbalances.iter().map(|(_, variation)| variation).sum();
        let per_minute = self.moves as f64 / (SPAN.as_secs_f64() / 60.0);
        format!(
            "{:20} {:9.2} {:6.2} {per_minute:14.2} {:20.1} {:9.2} {:8.2} {:9.2}",
            self.name,
            highest / count,
            variation / count,
            self.held as f64 / self.requests as f64 * 1e6,
            ms(0.5),
            ms(0.99),
            ms(0.999),
        )
    }
}

/// Runs the same arrivals without moves and under several rules.
pub fn compare(seed: u64) -> Vec<Run> {
    let mut runs = vec![Model::new(None).run("rendezvous".to_owned(), seed)];
    for tolerated_imbalance in [0.05, 0.1, 0.2, 0.4] {
        let settings = PlannerSettings {
            tolerated_imbalance,
            churn_per_minute: 0.05,
            slot_count: SLOTS,
        };
        let name = format!("tolerated {tolerated_imbalance}");
        runs.push(Model::new(Some(settings)).run(name, seed));
    }
    runs
}

struct Model {
    settings: Option<PlannerSettings>,
    planner: Planner,
    owners: Vec<usize>,
    upstreams: Vec<Upstream>,
    meters: Vec<LoadMeter>,
    counts: Vec<f64>,
    /// Until when the requests of each slot are held.
    held: Vec<Option<Instant>>,
    held_requests: usize,
    requests: usize,
    ends: BinaryHeap<Reverse<(Instant, usize, usize)>>,
    running: Vec<(Req, Duration)>,
    times: Vec<f64>,
}

impl Model {
    fn new(settings: Option<PlannerSettings>) -> Self {
        let owner = |slot: Slot| {
            (0..NODES)
                .max_by_key(|node| rendezvous_hash(*node as u64, u64::from(slot)))
                .expect("there are nodes")
        };
        let upstream = || Upstream::new(SERVERS, Waiting::Fair(FairQueue::new(QUEUE)));
        let now = Instant::now();
        Self {
            settings,
            planner: Planner::default(),
            owners: (0..SLOTS).map(owner).collect(),
            upstreams: (0..NODES).map(|_| upstream()).collect(),
            meters: (0..NODES).map(|_| LoadMeter::new(now)).collect(),
            counts: vec![0.0; NODES],
            held: vec![None; SLOTS as usize],
            held_requests: 0,
            requests: 0,
            ends: BinaryHeap::new(),
            running: Vec::new(),
            times: Vec::new(),
        }
    }

    fn run(mut self, name: String, seed: u64) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = NODES as f64 * f64::from(SERVERS);
        let interval = MEAN_WORK / (OFFERED * servers);
        let began = Instant::now();
        let mut now = began;
        let mut next_plan = began + PLAN_INTERVAL;
        let (mut imbalances, mut moves) = (Vec::new(), 0);
        while now - began < SPAN {
            now += exponential(&mut rng, interval);
            self.run_until(now);
            if now >= next_plan {
                next_plan += PLAN_INTERVAL;
                let counts = std::mem::replace(&mut self.counts, vec![0.0; NODES]);
                imbalances.push((max_over_mean(&counts), variation(&counts)));
                moves += self.plan(now);
            }
            let hot = (now - began).as_secs() / HOT_KEY_INTERVAL.as_secs();
            self.arrive(&mut rng, hot, now);
        }
        self.run_until(now + Duration::from_secs(3_600));
        Run {
            name,
            imbalances,
            moves,
            held: self.held_requests,
            requests: self.requests,
            times: self.times,
        }
    }

    fn arrive(&mut self, rng: &mut fastrand::Rng, hot: u64, now: Instant) {
        let key = match rng.f64() < HOT_SHARE {
            true => key_hash(&format!("hot-{hot}")),
            false => key_hash(&rng.usize(..KEYS).to_string()),
        };
        let work = exponential(rng, MEAN_WORK).as_secs_f64();
        let slot = slot_of(key, SLOTS);
        let owner = self.owners[slot as usize];
        self.meters[owner].record(slot, key);
        self.counts[owner] += 1.0;
        // A held request's wait counts; for the rest it comes at once.
        let held = self.held[slot as usize].filter(|until| *until > now);
        self.requests += 1;
        self.held_requests += usize::from(held.is_some());
        let req = Req {
            came: now - held.map_or(Duration::ZERO, |until| until - now),
            deadline: now + DEADLINE,
            entry: 0,
            key,
            work,
        };
        drop(self.upstreams[owner].arrive(req, now));
        self.start(owner, now);
    }

    fn start(&mut self, node: usize, now: Instant) {
        while let Some((req, took)) = self.upstreams[node].start() {
            self.ends
                .push(Reverse((now + took, node, self.running.len())));
            self.running.push((req, took));
        }
    }

    fn run_until(&mut self, now: Instant) {
        while let Some(Reverse((at, node, index))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            let (req, took) = self.running[index];
            self.upstreams[node].end(took, at);
            self.times.push((at - req.came).as_secs_f64());
            self.start(node, at);
        }
    }

    /// Makes a plan and all its moves; gives their number.
    fn plan(&mut self, now: Instant) -> usize {
        let rates: Vec<_> = self
            .meters
            .iter_mut()
            .map(|meter| meter.update(now))
            .collect();
        let Some(settings) = self.settings else {
            return 0;
        };
        let owners = &self.owners;
        let nodes: Vec<_> = rates
            .iter()
            .enumerate()
            .map(|(node, rates)| NodeLoad {
                id: node as u64,
                capacity: f64::from(SERVERS),
                can_receive: true,
                slots: (0..SLOTS)
                    .filter(|slot| owners[*slot as usize] == node)
                    .map(|slot| SlotRate {
                        slot,
                        rate: rates.slots.get(&slot).copied().unwrap_or(0.0),
                    })
                    .collect(),
                keys: Vec::new(),
            })
            .collect();
        let proposals = self.planner.plan(&nodes, &settings, now);
        for next in &proposals.moves {
            self.owners[next.slot as usize] = next.to as usize;
            self.held[next.slot as usize] = Some(now + HOLD);
        }
        proposals.moves.len()
    }
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() * mean)
}
