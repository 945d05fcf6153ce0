//! Sustained overload of one upstream with varying service times: the share of
//! requests that meet their latency target, compared with FIFO queues in the same
//! run.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued,
};
use ibiscove_routing::latency_estimate::LatencyEstimate;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Number of requests that the upstream runs at a time.
const CONCURRENCY: usize = 9;
/// Mean service time, in microseconds.
const MEAN_US: u64 = 150_000;
/// Latency target.
const TARGET: Duration = Duration::from_millis(400);
/// Timeout of the callers.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Duration of the overload.
const SPAN: Duration = Duration::from_secs(60);

/// A request of the simulation.
#[derive(Clone, Copy)]
struct Request {
    arrived: Instant,
    service_time: Duration,
}

/// An admission policy of the simulation.
trait AdmissionPolicy {
    /// Offers a request; returns whether it runs now.
    fn offer(&mut self, req: Request, now: Instant) -> bool;
    /// Releases the slot of a finished request; returns the requests that start.
    fn finish(&mut self, req: Request, now: Instant) -> Vec<Request>;
}

/// The admission controller under test.
struct UnderTest {
    admission: AdmissionController<(Request, Duration)>,
    latency: LatencyEstimate,
    estimates: BTreeMap<Instant, Duration>,
}

impl AdmissionPolicy for UnderTest {
    fn offer(&mut self, req: Request, now: Instant) -> bool {
        let admission_req = AdmissionRequest {
            priority: 1,
            target: req.arrived + TARGET,
            deadline: req.arrived + DEADLINE,
            estimate: self.latency.mean(),
            upper_estimate: self.latency.upper_estimate(),
            may_miss_target: true,
        };
        let decision = self
            .admission
            .offer(admission_req, || (req, admission_req.estimate), now);
        self.estimates.insert(req.arrived, admission_req.estimate);
        decision == AdmissionDecision::Run
    }

    fn finish(&mut self, req: Request, now: Instant) -> Vec<Request> {
        self.latency.record(req.service_time);
        let estimate = self.estimates.remove(&req.arrived).unwrap_or_default();
        let dequeued = self.admission.finish(estimate, now);
        dequeued
            .into_iter()
            .filter_map(|dequeued| match dequeued {
                Dequeued::Run((req, _)) => Some(req),
                Dequeued::Refuse(..) => None,
            })
            .collect()
    }
}

/// First come, first served, with a bounded queue.
struct Fifo {
    running: usize,
    waiting: VecDeque<Request>,
    limit: usize,
}

impl AdmissionPolicy for Fifo {
    fn offer(&mut self, req: Request, _now: Instant) -> bool {
        if self.running < CONCURRENCY {
            self.running += 1;
            return true;
        }
        if self.waiting.len() < self.limit {
            self.waiting.push_back(req);
        }
        false
    }

    fn finish(&mut self, _req: Request, now: Instant) -> Vec<Request> {
        self.running -= 1;
        while let Some(req) = self.waiting.pop_front() {
            if now < req.arrived + DEADLINE {
                self.running += 1;
                return vec![req];
            }
        }
        Vec::new()
    }
}

/// Returns the shares of requests that got a response and that met their target.
fn simulate(policy: &mut impl AdmissionPolicy, overload: f64, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mean_gap = MEAN_US as f64 / CONCURRENCY as f64 / overload;
    let mut next_arrival = start;
    let mut running: BTreeMap<(Instant, u64), Request> = BTreeMap::new();
    let (mut sequence, mut sent, mut responded, mut in_time) = (0_u64, 0, 0, 0);
    while next_arrival < start + SPAN {
        let first_end = running.first_key_value().map(|((at, _), _)| *at);
        let started = match first_end.filter(|at| *at < next_arrival) {
            Some(now) => {
                let (_, req) = running.pop_first().expect("a request runs");
                responded += 1;
                in_time += usize::from(now <= req.arrived + TARGET);
                policy
                    .finish(req, now)
                    .into_iter()
                    .map(|r| (now, r))
                    .collect()
            }
            None => {
                let now = next_arrival;
                let req = Request {
                    arrived: now,
                    service_time: random_service_time(&mut rng),
                };
                sent += 1;
                let gap = -rng.f64().max(1e-9).ln() * mean_gap;
                next_arrival += Duration::from_micros(gap as u64 + 1);
                match policy.offer(req, now) {
                    true => vec![(now, req)],
                    false => Vec::new(),
                }
            }
        };
        for (now, req) in started {
            sequence += 1;
            running.insert((now + req.service_time, sequence), req);
        }
    }
    let share = |count: usize| count as f64 / f64::from(sent);
    (share(responded), share(in_time))
}

/// Returns 0.45 to 1.45 times the mean, and 3.5 times the mean for one request in
/// fifty.
fn random_service_time(rng: &mut fastrand::Rng) -> Duration {
    let factor = match rng.u32(..50) {
        0 => 3.5,
        _ => 0.45 + rng.f64(),
    };
    Duration::from_micros((MEAN_US as f64 * factor) as u64)
}

fn under_test() -> UnderTest {
    UnderTest {
        admission: AdmissionController::new(CONCURRENCY),
        latency: LatencyEstimate::with_initial(TARGET / 4),
        estimates: BTreeMap::new(),
    }
}

fn fifo(limit: usize) -> Fifo {
    Fifo {
        running: 0,
        waiting: VecDeque::new(),
        limit,
    }
}

/// Whatever the overload, the requests that meet their target are at least 85 % of
/// what the upstream could serve at best.
#[parameterized(
    at_115_percent = { 1.15, 0.85 },
    at_130_percent = { 1.3, 0.85 },
    at_200_percent = { 2.0, 0.85 },
)]
fn under_overload_most_of_the_capacity_meets_its_target(overload: f64, min_share: f64) {
    for seed in 1..=3 {
        let max_share = 1.0 / overload;
        let (responded_share, in_time_share) = simulate(&mut under_test(), overload, seed);
        let (_, unbounded_fifo) = simulate(&mut fifo(usize::MAX), overload, seed);
        let (_, short_fifo) = simulate(&mut fifo(CONCURRENCY), overload, seed);
        println!(
            "{overload}: {in_time_share:.3} in time and {responded_share:.3} in all \
             of {max_share:.3}, FIFO {unbounded_fifo:.3}, short {short_fifo:.3}"
        );
        assert!(
            responded_share >= max_share * 0.95,
            "{responded_share:.3} in all"
        );
        assert!(
            in_time_share >= max_share * min_share,
            "{in_time_share:.3} of {max_share:.3}"
        );
        assert!(
            in_time_share >= unbounded_fifo,
            "{in_time_share:.3}, unbounded FIFO {unbounded_fifo:.3}"
        );
        assert!(
            in_time_share >= short_fifo - 0.02,
            "{in_time_share:.3}, short FIFO {short_fifo:.3}"
        );
    }
}
