//! A shared service under each policy.

use crate::stats::Summary;
use crate::upstream::{Req, Upstream, Waiting};
use ibiscove_routing::choice::{
    Candidate, LeastReported, Policy, Random, Rendezvous, RoundRobin, TwoChoices,
};
use ibiscove_routing::health::{LoadReport, UpstreamHealth};
use ibiscove_routing::queue::FairQueue;
use ibiscove_types::hash::key_hash;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Mean work of a request, in seconds.
const MEAN_WORK: f64 = 0.005;
/// Requests of one run.
const REQUESTS: usize = 200_000;
/// Time for an answer.
const DEADLINE: Duration = Duration::from_secs(1);
/// Requests that may wait for one upstream.
const QUEUE: usize = 64;
/// Time between two reports of an upstream's own load.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Keys of the service; the n-th is asked for in proportion to 1/n.
const KEYS: usize = 1_000;

/// A service.
#[derive(Clone, Copy)]
pub struct Shape {
    pub name: &'static str,
    upstreams: usize,
    servers: u32,
    entries: usize,
}

/// The sizes of today.
pub const SHAPES: &[Shape] = &[
    Shape {
        name: "Dakar gallery, 4 x 12",
        upstreams: 4,
        servers: 12,
        entries: 12,
    },
    Shape {
        name: "Tunis orders, 3 x 6",
        upstreams: 3,
        servers: 6,
        entries: 10,
    },
];

/// What happens to a service.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Offered work over what the upstreams can do.
    offered: f64,
    /// How many times longer the first upstream takes.
    slowness: f64,
}

pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "steady load at 0.7",
        offered: 0.7,
        slowness: 1.0,
    },
    Scenario {
        name: "one upstream ten times slower, load 0.5",
        offered: 0.5,
        slowness: 10.0,
    },
    Scenario {
        name: "overload at 1.5",
        offered: 1.5,
        slowness: 1.0,
    },
];

/// Runs every policy on the same arrivals.
pub fn compare(shape: &Shape, scenario: &Scenario, seed: u64) -> Vec<(&'static str, Summary)> {
    let run = |policies: &dyn Fn() -> Box<dyn Policy>, fair| {
        Model::new(shape, scenario, policies, fair, seed).run(seed)
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

/// The end of a request at an upstream, by time.
type End = Reverse<(Instant, usize, usize)>;

struct Model<'a> {
    shape: &'a Shape,
    scenario: &'a Scenario,
    upstreams: Vec<Upstream>,
    /// What each entry has seen of each upstream.
    observed: Vec<Vec<UpstreamHealth>>,
    policies: Vec<Box<dyn Policy>>,
    reported: Vec<f64>,
    ends: BinaryHeap<End>,
    running: Vec<(Req, Duration)>,
    rng: fastrand::Rng,
    times: Vec<f64>,
    good: usize,
}

impl<'a> Model<'a> {
    fn new(
        shape: &'a Shape,
        scenario: &'a Scenario,
        policy: &dyn Fn() -> Box<dyn Policy>,
        fair: bool,
        seed: u64,
    ) -> Self {
        let waiting = || match fair {
            true => Waiting::Fair(FairQueue::new(QUEUE)),
            false => Waiting::Fifo(Default::default()),
        };
        let upstreams = (0..shape.upstreams).map(|_| Upstream::new(shape.servers, waiting()));
        let mut upstreams: Vec<_> = upstreams.collect();
        upstreams[0].slowness = scenario.slowness;
        let now = Instant::now();
        Self {
            shape,
            scenario,
            upstreams,
            observed: vec![vec![UpstreamHealth::new(now, true); shape.upstreams]; shape.entries],
            policies: (0..shape.entries).map(|_| policy()).collect(),
            reported: vec![0.0; shape.upstreams],
            ends: BinaryHeap::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            times: Vec::new(),
            good: 0,
        }
    }

    fn run(mut self, seed: u64) -> Summary {
        // Arrivals have a source of chance of their own, so that every policy
        // meets the same ones.
        let mut arrivals = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let servers = self.shape.upstreams as f64 * f64::from(self.shape.servers);
        let rate = self.scenario.offered * servers / MEAN_WORK;
        let began = Instant::now();
        let mut now = began;
        let mut next_report = began;
        for _ in 0..REQUESTS {
            now += exponential(&mut arrivals, 1.0 / rate);
            self.run_until(now);
            if now >= next_report {
                self.reported = self.upstreams.iter().map(Upstream::load).collect();
                next_report = now + REPORT_INTERVAL;
            }
            let req = Req {
                came: now,
                deadline: now + DEADLINE,
                entry: arrivals.usize(..self.shape.entries),
                key: zipf(&mut arrivals),
                work: exponential(&mut arrivals, MEAN_WORK).as_secs_f64(),
            };
            self.arrive(req, now);
        }
        let span = (now - began).as_secs_f64();
        self.run_until(now + Duration::from_secs(3_600));
        let slow = 1.0 / self.scenario.slowness;
        let speed = (self.shape.upstreams - 1) as f64 + slow;
        Summary {
            busy: self
                .upstreams
                .iter()
                .map(|upstream| upstream.busy)
                .collect(),
            times: self.times,
            requests: REQUESTS,
            good: self.good,
            possible: span * speed * f64::from(self.shape.servers) / MEAN_WORK,
        }
    }

    fn arrive(&mut self, req: Req, now: Instant) {
        let observed = &self.observed[req.entry];
        let candidates: Vec<_> = observed
            .iter()
            .zip(&self.reported)
            .enumerate()
            .map(|(id, (observed, reported))| Candidate {
                id: id as u64,
                in_own_data_centre: true,
                cost: observed.cost(now),
                reported_load: *reported,
                is_ejected: observed.is_ejected(now),
                has_capacity: observed.in_flight() < self.shape.servers,
            })
            .collect();
        let policy = &mut self.policies[req.entry];
        let chosen = policy.choose(&candidates, req.key, &mut self.rng);
        let chosen = chosen.expect("a service has upstreams");
        self.observed[req.entry][chosen].begin();
        for refused in self.upstreams[chosen].arrive(req, now) {
            self.observed[refused.entry][chosen].abandon();
            self.report(refused.entry, chosen, now);
        }
        self.start(chosen, now);
    }

    fn start(&mut self, upstream: usize, now: Instant) {
        while let Some((req, took)) = self.upstreams[upstream].start() {
            self.ends
                .push(Reverse((now + took, upstream, self.running.len())));
            self.running.push((req, took));
        }
    }

    fn run_until(&mut self, now: Instant) {
        while let Some(Reverse((at, upstream, index))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            let (req, took) = self.running[index];
            self.upstreams[upstream].end(took, at);
            let whole = at - req.came;
            self.observed[req.entry][upstream].end(Some(whole), at);
            self.report(req.entry, upstream, at);
            self.times.push(whole.as_secs_f64());
            self.good += usize::from(at <= req.deadline);
            self.start(upstream, at);
        }
    }

    /// Each answer carries the load of its gate.
    fn report(&mut self, entry: usize, upstream: usize, at: Instant) {
        let load = self.upstreams[upstream].load();
        self.observed[entry][upstream].record_report(LoadReport { load, at });
    }
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() * mean)
}

/// The hash of a key that stands at a place n with a chance in proportion to 1/n.
fn zipf(rng: &mut fastrand::Rng) -> u64 {
    let place = ((KEYS as f64).ln() * rng.f64()).exp() as usize;
    key_hash(&place.to_string())
}
