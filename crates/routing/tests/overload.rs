//! Lasting overload of one upstream whose requests take unequal times: how many
//! are answered within their target, against plain baselines in the same run.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued,
};
use ibiscove_routing::latency_estimate::LatencyEstimate;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use yare::parameterized;

/// Requests that the upstream works on at a time.
const SLOTS: usize = 9;
/// Mean time of a request, in microseconds.
const MEAN_US: u64 = 150_000;
/// Time within which an answer is of full worth.
const TARGET: Duration = Duration::from_millis(400);
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long the overload lasts.
const SPAN: Duration = Duration::from_secs(60);

/// A request of the model.
#[derive(Clone, Copy)]
struct Request {
    arrived: Instant,
    takes: Duration,
}

/// Who decides in the model.
trait Gate {
    /// Takes a request; true when it runs now.
    fn offer(&mut self, req: Request, now: Instant) -> bool;
    /// A request that ran has ended; gives those that run next.
    fn finish(&mut self, req: Request, now: Instant) -> Vec<Request>;
}

/// The admission under test.
struct Admitting {
    admission: AdmissionController<(Request, Duration)>,
    usual: LatencyEstimate,
    estimates: BTreeMap<Instant, Duration>,
}

impl Gate for Admitting {
    fn offer(&mut self, req: Request, now: Instant) -> bool {
        let ask = AdmissionRequest {
            priority: 1,
            target: req.arrived + TARGET,
            deadline: req.arrived + DEADLINE,
            estimate: self.usual.mean(),
            upper_estimate: self.usual.upper_estimate(),
            may_be_late: true,
        };
        let verdict = self.admission.offer(ask, || (req, ask.estimate), now);
        self.estimates.insert(req.arrived, ask.estimate);
        verdict == AdmissionDecision::Run
    }

    fn finish(&mut self, req: Request, now: Instant) -> Vec<Request> {
        self.usual.record(req.takes);
        let estimate = self.estimates.remove(&req.arrived).unwrap_or_default();
        let left = self.admission.finish(estimate, now);
        left.into_iter()
            .filter_map(|left| match left {
                Dequeued::Run((req, _)) => Some(req),
                Dequeued::Refuse(..) => None,
            })
            .collect()
    }
}

/// First come, first served, while the queue is below a limit.
struct Fifo {
    running: usize,
    waiting: VecDeque<Request>,
    limit: usize,
}

impl Gate for Fifo {
    fn offer(&mut self, req: Request, _now: Instant) -> bool {
        if self.running < SLOTS {
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

/// Shares of the requests that were answered, and within their target.
fn answered(gate: &mut impl Gate, overload: f64, seed: u64) -> (f64, f64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let start = Instant::now();
    let mean_gap = MEAN_US as f64 / SLOTS as f64 / overload;
    let mut next_arrival = start;
    let mut running: BTreeMap<(Instant, u64), Request> = BTreeMap::new();
    let (mut number, mut sent, mut answered, mut in_time) = (0_u64, 0, 0, 0);
    while next_arrival < start + SPAN {
        let first_end = running.first_key_value().map(|((at, _), _)| *at);
        let began = match first_end.filter(|at| *at < next_arrival) {
            Some(now) => {
                let (_, req) = running.pop_first().expect("it was there");
                answered += 1;
                in_time += usize::from(now <= req.arrived + TARGET);
                gate.finish(req, now)
                    .into_iter()
                    .map(|r| (now, r))
                    .collect()
            }
            None => {
                let now = next_arrival;
                let req = Request {
                    arrived: now,
                    takes: time(&mut rng),
                };
                sent += 1;
                let gap = -rng.f64().max(1e-9).ln() * mean_gap;
                next_arrival += Duration::from_micros(gap as u64 + 1);
                match gate.offer(req, now) {
                    true => vec![(now, req)],
                    false => Vec::new(),
                }
            }
        };
        for (now, req) in began {
            number += 1;
            running.insert((now + req.takes, number), req);
        }
    }
    let share = |count: usize| count as f64 / f64::from(sent);
    (share(answered), share(in_time))
}

/// Times from half to one and a half of the mean, one in fifty far longer.
fn time(rng: &mut fastrand::Rng) -> Duration {
    let factor = match rng.u32(..50) {
        0 => 3.5,
        _ => 0.45 + rng.f64(),
    };
    Duration::from_micros((MEAN_US as f64 * factor) as u64)
}

fn admitting() -> Admitting {
    Admitting {
        admission: AdmissionController::new(SLOTS),
        usual: LatencyEstimate::with_initial(TARGET / 4),
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

/// What fits is answered in time, however much more comes: at least 85 of 100
/// of what the upstream could do at best.
#[parameterized(
    a_little_too_much = { 1.15, 0.85 },
    a_third_too_much = { 1.3, 0.85 },
    twice_as_much = { 2.0, 0.85 },
)]
fn what_fits_is_answered_in_time(overload: f64, share: f64) {
    for seed in 1..=3 {
        let best = 1.0 / overload;
        let (all, ours) = answered(&mut admitting(), overload, seed);
        let (_, unbounded) = answered(&mut fifo(usize::MAX), overload, seed);
        let (_, short) = answered(&mut fifo(SLOTS), overload, seed);
        println!(
            "{overload}: {ours:.3} in time and {all:.3} in all of {best:.3}, \
             FIFO {unbounded:.3}, short {short:.3}"
        );
        assert!(all >= best * 0.95, "{all:.3} in all");
        assert!(ours >= best * share, "{ours:.3} of {best:.3}");
        assert!(
            ours >= unbounded,
            "{ours:.3}, unbounded FIFO {unbounded:.3}"
        );
        assert!(ours >= short - 0.02, "{ours:.3}, short FIFO {short:.3}");
    }
}
