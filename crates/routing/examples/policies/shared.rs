//! Simulation of a shared service, any of whose upstreams may run any request, under
//! each load-balancing policy.

use crate::stats::Summary;
use crate::upstream::{Queue, Req, Upstream};
use ibiscove_routing::choice::{
    Candidate, LeastReported, Policy, Random, Rendezvous, RoundRobin, TwoChoices,
};
use ibiscove_routing::health::{LoadReport, UpstreamHealth};
use ibiscove_routing::queue::FairQueue;
use ibiscove_types::hash::key_hash;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Mean service time of a request, in seconds.
const MEAN_WORK_S: f64 = 0.005;
/// Number of requests in one run.
const REQUESTS: usize = 200_000;
/// Time from arrival to deadline.
const DEADLINE: Duration = Duration::from_secs(1);
/// Number of requests that may wait for one upstream.
const QUEUE_CAPACITY: usize = 64;
/// Interval of the upstreams' load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Number of keys; the n-th is requested in proportion to 1/n.
const KEYS: usize = 1_000;

/// Size of a service.
#[derive(Clone, Copy)]
pub struct ServiceShape {
    pub name: &'static str,
    upstreams: usize,
    servers: u32,
    entries: usize,
}

/// Sizes of the present deployments.
pub const SERVICE_SHAPES: &[ServiceShape] = &[
    ServiceShape {
        name: "Dakar gallery, 4 x 12",
        upstreams: 4,
        servers: 12,
        entries: 12,
    },
    ServiceShape {
        name: "Tunis orders, 3 x 6",
        upstreams: 3,
        servers: 6,
        entries: 10,
    },
];

/// Load and faults of a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Offered load over the upstreams' capacity.
    offered: f64,
    /// Factor by which the first upstream's service times are longer.
    slowdown: f64,
}

pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "steady load at 0.7",
        offered: 0.7,
        slowdown: 1.0,
    },
    Scenario {
        name: "one upstream ten times slower, load 0.5",
        offered: 0.5,
        slowdown: 10.0,
    },
    Scenario {
        name: "overload at 1.5",
        offered: 1.5,
        slowdown: 1.0,
    },
];

/// Runs every policy on the same arrivals.
pub fn compare(
    shape: &ServiceShape,
    scenario: &Scenario,
    seed: u64,
) -> Vec<(&'static str, Summary)> {
    let run = |new_policy: &dyn Fn() -> Box<dyn Policy>, is_fair| {
        Simulation::new(shape, scenario, new_policy, is_fair, seed).run(seed)
    };
    vec![
        (
            "two choices",
            run(
                &|| {
                    Box::new(TwoChoices {
                        prefer_own_data_centre: false,
                    })
                },
                true,
            ),
        ),
        ("random", run(&|| Box::new(Random), true)),
        ("round robin", run(&|| Box::<RoundRobin>::default(), true)),
        ("least reported", run(&|| Box::new(LeastReported), true)),
        ("rendezvous", run(&|| Box::new(Rendezvous), true)),
        ("random, fifo", run(&|| Box::new(Random), false)),
    ]
}

/// Completion of a request: time, upstream and index in `running`.
type CompletionEvent = Reverse<(Instant, usize, usize)>;

struct Simulation<'a> {
    shape: &'a ServiceShape,
    scenario: &'a Scenario,
    upstreams: Vec<Upstream>,
    /// Each entry's health observations of each upstream.
    health: Vec<Vec<UpstreamHealth>>,
    policies: Vec<Box<dyn Policy>>,
    reported_loads: Vec<f64>,
    completions: BinaryHeap<CompletionEvent>,
    running: Vec<(Req, Duration)>,
    rng: fastrand::Rng,
    response_times_s: Vec<f64>,
    within_deadline: usize,
}

impl<'a> Simulation<'a> {
    fn new(
        shape: &'a ServiceShape,
        scenario: &'a Scenario,
        new_policy: &dyn Fn() -> Box<dyn Policy>,
        is_fair: bool,
        seed: u64,
    ) -> Self {
        let queue = || match is_fair {
            true => Queue::Fair(FairQueue::new(QUEUE_CAPACITY)),
            false => Queue::Fifo(Default::default()),
        };
        let upstreams = (0..shape.upstreams).map(|_| Upstream::new(shape.servers, queue()));
        let mut upstreams: Vec<_> = upstreams.collect();
        upstreams[0].slowdown = scenario.slowdown;
        let now = Instant::now();
        Self {
            shape,
            scenario,
            upstreams,
            health: vec![vec![UpstreamHealth::new(now, true); shape.upstreams]; shape.entries],
            policies: (0..shape.entries).map(|_| new_policy()).collect(),
            reported_loads: vec![0.0; shape.upstreams],
            completions: BinaryHeap::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            response_times_s: Vec::new(),
            within_deadline: 0,
        }
    }

    fn run(mut self, seed: u64) -> Summary {
        // Arrivals have a random source of their own, so that all policies get the
        // same ones.
        let mut arrivals = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let servers = self.shape.upstreams as f64 * f64::from(self.shape.servers);
        let rate = self.scenario.offered * servers / MEAN_WORK_S;
        let started_at = Instant::now();
        let mut now = started_at;
        let mut next_report = started_at;
        for _ in 0..REQUESTS {
            now += exponential(&mut arrivals, 1.0 / rate);
            self.run_until(now);
            if now >= next_report {
                self.reported_loads = self.upstreams.iter().map(Upstream::load).collect();
                next_report = now + REPORT_INTERVAL;
            }
            let req = Req {
                arrived_at: now,
                deadline: now + DEADLINE,
                entry: arrivals.usize(..self.shape.entries),
                key: zipf(&mut arrivals),
                work_s: exponential(&mut arrivals, MEAN_WORK_S).as_secs_f64(),
            };
            self.arrive(req, now);
        }
        let span = (now - started_at).as_secs_f64();
        self.run_until(now + Duration::from_secs(3_600));
        let first_upstream_speed = 1.0 / self.scenario.slowdown;
        let total_speed = (self.shape.upstreams - 1) as f64 + first_upstream_speed;
        Summary {
            busy_s: self
                .upstreams
                .iter()
                .map(|upstream| upstream.busy_s)
                .collect(),
            response_times_s: self.response_times_s,
            requests: REQUESTS,
            within_deadline: self.within_deadline,
            capacity_requests: span * total_speed * f64::from(self.shape.servers) / MEAN_WORK_S,
        }
    }

    fn arrive(&mut self, req: Req, now: Instant) {
        let health = &self.health[req.entry];
        let candidates: Vec<_> = health
            .iter()
            .zip(&self.reported_loads)
            .enumerate()
            .map(|(id, (health, reported_load))| Candidate {
                id: id as u64,
                in_own_data_centre: true,
                cost: health.cost(now),
                reported_load: *reported_load,
                is_ejected: health.is_ejected(now),
                has_capacity: health.in_flight() < self.shape.servers,
            })
            .collect();
        let policy = &mut self.policies[req.entry];
        let chosen = policy.choose(&candidates, req.key, &mut self.rng);
        let chosen = chosen.expect("a service has upstreams");
        self.health[req.entry][chosen].begin();
        for refused in self.upstreams[chosen].offer(req, now) {
            self.health[refused.entry][chosen].abandon();
            self.report(refused.entry, chosen, now);
        }
        self.start(chosen, now);
    }

    fn start(&mut self, upstream: usize, now: Instant) {
        while let Some((req, service_time)) = self.upstreams[upstream].start() {
            self.completions
                .push(Reverse((now + service_time, upstream, self.running.len())));
            self.running.push((req, service_time));
        }
    }

    fn run_until(&mut self, now: Instant) {
        while let Some(Reverse((at, upstream, index))) = self.completions.peek().copied() {
            if at > now {
                return;
            }
            self.completions.pop();
            let (req, service_time) = self.running[index];
            self.upstreams[upstream].end(service_time, at);
            let response_time = at - req.arrived_at;
            self.health[req.entry][upstream].end(Some(response_time), at);
            self.report(req.entry, upstream, at);
            self.response_times_s.push(response_time.as_secs_f64());
            self.within_deadline += usize::from(at <= req.deadline);
            self.start(upstream, at);
        }
    }

    /// Records the gate's load, which every response carries.
    fn report(&mut self, entry: usize, upstream: usize, at: Instant) {
        let load = self.upstreams[upstream].load();
        self.health[entry][upstream].record_report(LoadReport { load, at });
    }
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() * mean)
}

/// Returns the hash of a random key, whose rank n has a probability in proportion
/// to 1/n.
fn zipf(rng: &mut fastrand::Rng) -> u64 {
    let rank = ((KEYS as f64).ln() * rng.f64()).exp() as usize;
    key_hash(&rank.to_string())
}
