//! Simulation of a divided service, whose keys are partitioned among its nodes, with
//! a changing hot key, without moves and with the rebalancing planner.

use crate::stats::{coefficient_of_variation, max_over_mean, quantile_of};
use crate::upstream::{Queue, Req, Upstream};
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
/// Mean service time of a request, in seconds.
const MEAN_WORK_S: f64 = 0.02;
/// Offered load over the upstreams' capacity.
const OFFERED: f64 = 0.5;
const SPAN: Duration = Duration::from_secs(900);
const DEADLINE: Duration = Duration::from_secs(1);
const QUEUE_CAPACITY: usize = 64;
const KEYS: usize = 10_000;
/// Share of the requests for the hot key.
const HOT_SHARE: f64 = 0.1;
const HOT_KEY_INTERVAL: Duration = Duration::from_secs(180);
const PLAN_INTERVAL: Duration = Duration::from_secs(5);
/// Duration of a move, during which requests of the slot are held.
const MOVE_TIME: Duration = Duration::from_millis(50);

/// Column headers of [`RunResult::row`].
pub const HEADER: &str = "rule                  max/mean   CV   slots moved/min  requests held/million   p50 ms   p99 ms  p99.9 ms";

/// Results of a simulation run.
pub struct RunResult {
    name: String,
    /// Highest load over the mean and coefficient of variation of each plan interval.
    imbalances: Vec<(f64, f64)>,
    moves: usize,
    /// Number of requests that arrived while their slot moved.
    held_requests: usize,
    requests: usize,
    response_times_s: Vec<f64>,
}

impl RunResult {
    /// Formats the results as a table row.
    pub fn row(&self) -> String {
        let mut response_times_s = self.response_times_s.clone();
        response_times_s.sort_by(f64::total_cmp);
        let ms = |quantile: f64| quantile_of(&response_times_s, quantile) * 1e3;
        let count = self.imbalances.len() as f64;
        let max_over_mean_sum: f64 = self
            .imbalances
            .iter()
            .map(|(max_over_mean, _)| max_over_mean)
            .sum();
        let variation_sum: f64 = self.imbalances.iter().map(|(_, variation)| variation).sum();
        let per_minute = self.moves as f64 / (SPAN.as_secs_f64() / 60.0);
        format!(
            "{:20} {:9.2} {:6.2} {per_minute:14.2} {:20.1} {:9.2} {:8.2} {:9.2}",
            self.name,
            max_over_mean_sum / count,
            variation_sum / count,
            self.held_requests as f64 / self.requests as f64 * 1e6,
            ms(0.5),
            ms(0.99),
            ms(0.999),
        )
    }
}

/// Runs the same arrivals without moves and with several tolerated imbalances.
pub fn compare(seed: u64) -> Vec<RunResult> {
    let mut runs = vec![Simulation::new(None).run("rendezvous".to_owned(), seed)];
    for tolerated_imbalance in [0.05, 0.1, 0.2, 0.4] {
        let settings = PlannerSettings {
            tolerated_imbalance,
            churn_per_minute: 0.05,
            slot_count: SLOTS,
        };
        let name = format!("tolerated {tolerated_imbalance}");
        runs.push(Simulation::new(Some(settings)).run(name, seed));
    }
    runs
}

struct Simulation {
    settings: Option<PlannerSettings>,
    planner: Planner,
    owners: Vec<usize>,
    upstreams: Vec<Upstream>,
    meters: Vec<LoadMeter>,
    request_counts: Vec<f64>,
    /// Time until which requests of each slot are held.
    held_until: Vec<Option<Instant>>,
    held_requests: usize,
    requests: usize,
    completions: BinaryHeap<Reverse<(Instant, usize, usize)>>,
    running: Vec<(Req, Duration)>,
    response_times_s: Vec<f64>,
}

impl Simulation {
    fn new(settings: Option<PlannerSettings>) -> Self {
        let owner = |slot: Slot| {
            (0..NODES)
                .max_by_key(|node| rendezvous_hash(*node as u64, u64::from(slot)))
                .expect("there are nodes")
        };
        let upstream = || Upstream::new(SERVERS, Queue::Fair(FairQueue::new(QUEUE_CAPACITY)));
        let now = Instant::now();
        Self {
            settings,
            planner: Planner::default(),
            owners: (0..SLOTS).map(owner).collect(),
            upstreams: (0..NODES).map(|_| upstream()).collect(),
            meters: (0..NODES).map(|_| LoadMeter::new(now)).collect(),
            request_counts: vec![0.0; NODES],
            held_until: vec![None; SLOTS as usize],
            held_requests: 0,
            requests: 0,
            completions: BinaryHeap::new(),
            running: Vec::new(),
            response_times_s: Vec::new(),
        }
    }

    fn run(mut self, name: String, seed: u64) -> RunResult {
        let mut rng = fastrand::Rng::with_seed(seed);
        let servers = NODES as f64 * f64::from(SERVERS);
        let interval = MEAN_WORK_S / (OFFERED * servers);
        let started_at = Instant::now();
        let mut now = started_at;
        let mut next_plan = started_at + PLAN_INTERVAL;
        let (mut imbalances, mut moves) = (Vec::new(), 0);
        while now - started_at < SPAN {
            now += exponential(&mut rng, interval);
            self.run_until(now);
            if now >= next_plan {
                next_plan += PLAN_INTERVAL;
                let request_counts = std::mem::replace(&mut self.request_counts, vec![0.0; NODES]);
                imbalances.push((
                    max_over_mean(&request_counts),
                    coefficient_of_variation(&request_counts),
                ));
                moves += self.plan(now);
            }
            let hot_key = (now - started_at).as_secs() / HOT_KEY_INTERVAL.as_secs();
            self.arrive(&mut rng, hot_key, now);
        }
        self.run_until(now + Duration::from_secs(3_600));
        RunResult {
            name,
            imbalances,
            moves,
            held_requests: self.held_requests,
            requests: self.requests,
            response_times_s: self.response_times_s,
        }
    }

    fn arrive(&mut self, rng: &mut fastrand::Rng, hot_key: u64, now: Instant) {
        let key = match rng.f64() < HOT_SHARE {
            true => key_hash(&format!("hot-{hot_key}")),
            false => key_hash(&rng.usize(..KEYS).to_string()),
        };
        let work_s = exponential(rng, MEAN_WORK_S).as_secs_f64();
        let slot = slot_of(key, SLOTS);
        let owner = self.owners[slot as usize];
        self.meters[owner].record(slot, key);
        self.request_counts[owner] += 1.0;
        // The time for which a request is held counts towards its response time, but
        // it is queued immediately.
        let held = self.held_until[slot as usize].filter(|until| *until > now);
        self.requests += 1;
        self.held_requests += usize::from(held.is_some());
        let req = Req {
            arrived_at: now - held.map_or(Duration::ZERO, |until| until - now),
            deadline: now + DEADLINE,
            entry: 0,
            key,
            work_s,
        };
        drop(self.upstreams[owner].offer(req, now));
        self.start(owner, now);
    }

    fn start(&mut self, node: usize, now: Instant) {
        while let Some((req, service_time)) = self.upstreams[node].start() {
            self.completions
                .push(Reverse((now + service_time, node, self.running.len())));
            self.running.push((req, service_time));
        }
    }

    fn run_until(&mut self, now: Instant) {
        while let Some(Reverse((at, node, index))) = self.completions.peek().copied() {
            if at > now {
                return;
            }
            self.completions.pop();
            let (req, service_time) = self.running[index];
            self.upstreams[node].end(service_time, at);
            self.response_times_s
                .push((at - req.arrived_at).as_secs_f64());
            self.start(node, at);
        }
    }

    /// Plans and applies all proposed moves; returns their number.
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
        for proposed in &proposals.moves {
            self.owners[proposed.slot as usize] = proposed.to as usize;
            self.held_until[proposed.slot as usize] = Some(now + MOVE_TIME);
        }
        proposals.moves.len()
    }
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() * mean)
}
