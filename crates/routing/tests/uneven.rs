//! Machines of uneven speed: at any time a fifth of the upstreams is three times slower,
//! each for 400 ms at a time. The choice with the stated figures is compared with that by
//! average latencies, in the same load.

use ibiscove_routing::placement::{Candidate, Distance, choose};
use ibiscove_routing::speed::{SpeedEstimate, parse_factor};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};
use yare::parameterized;

const UPSTREAMS: usize = 20;
const CONCURRENCY: usize = 4;
/// Service time on a machine that is as fast as usual.
const SERVICE_US: u64 = 40_000;
const SLOW_FACTOR: f64 = 3.0;
const SLOW_PHASE_US: u64 = 400_000;
/// Latency that callers want.
const TARGET_US: u64 = 100_000;
const SPAN_US: u64 = 60_000_000;
/// Interval at which entries hear of a gate that answers them nothing.
const HEARTBEAT_US: u64 = 250_000;
const LATENCY_WEIGHT: f64 = 0.03;

/// A gate, and what entries know of it.
struct Upstream {
    running: usize,
    /// Arrival times of queued requests.
    queue: VecDeque<u64>,
    average_us: f64,
    speed: SpeedEstimate,
    reported_us: f64,
    served: usize,
    served_while_slow: usize,
}

impl Upstream {
    fn new() -> Self {
        Self {
            running: 0,
            queue: VecDeque::new(),
            average_us: SERVICE_US as f64,
            speed: SpeedEstimate::default(),
            reported_us: SERVICE_US as f64,
            served: 0,
            served_while_slow: 0,
        }
    }

    fn report(&mut self, now: Instant) {
        self.reported_us = self.average_us * self.speed.scale(now);
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            distance: Distance::SameDataCentre,
            round_trip: Duration::from_millis(1),
            load: (self.running + self.queue.len()) as f64,
            concurrency: CONCURRENCY as f64,
            service_time: Duration::from_secs_f64(self.reported_us / 1e6),
            failure_rate: 0.0,
            is_cold: false,
            was_attempted: false,
        }
    }
}

/// Returns whether a machine is slow: in each phase another fifth is.
fn is_slow(upstream: usize, at_us: u64) -> bool {
    let phase = at_us / SLOW_PHASE_US;
    let group = (phase.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) % 5;
    (upstream as u64) % 5 == group
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End {
        upstream: usize,
        arrived: u64,
        started: u64,
    },
    Heartbeat,
    Arrival,
}

struct Result {
    mean_ms: f64,
    late_share: f64,
    least_served: usize,
    served_while_slow: usize,
    longest_queue: usize,
    served: usize,
}

struct Simulation {
    states_load: bool,
    /// Share of all slots that are busy, were all machines as fast as usual.
    utilisation: f64,
    rng: fastrand::Rng,
    start: Instant,
    upstreams: Vec<Upstream>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    latencies_us: Vec<u64>,
    longest_queue: usize,
}

impl Simulation {
    fn run(states_load: bool, utilisation: f64, seed: u64) -> Result {
        let mut simulation = Self {
            states_load,
            utilisation,
            rng: fastrand::Rng::with_seed(seed),
            start: Instant::now(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::new()).collect(),
            events: [(0, Event::Arrival), (0, Event::Heartbeat)]
                .map(Reverse)
                .into(),
            latencies_us: Vec::new(),
            longest_queue: 0,
        };
        while let Some(Reverse((now, event))) = simulation.events.pop() {
            if now > SPAN_US {
                break;
            }
            simulation.handle(event, now);
        }
        simulation.result()
    }

    fn instant(&self, at_us: u64) -> Instant {
        self.start + Duration::from_micros(at_us)
    }

    fn handle(&mut self, event: Event, now: u64) {
        let instant = self.instant(now);
        match event {
            Event::Arrival => self.arrive(now),
            Event::Heartbeat => {
                self.upstreams.iter_mut().for_each(|u| u.report(instant));
                self.events
                    .push(Reverse((now + HEARTBEAT_US, Event::Heartbeat)));
            }
            Event::End {
                upstream,
                arrived,
                started,
            } => {
                self.latencies_us.push(now - arrived);
                let slow = is_slow(upstream, now);
                let state = &mut self.upstreams[upstream];
                state.running -= 1;
                state.served += 1;
                state.served_while_slow += usize::from(is_slow(upstream, started));
                state.average_us += ((now - started) as f64 - state.average_us) * LATENCY_WEIGHT;
                if self.states_load {
                    let stated = format!("{},0,4,{}", state.running, if slow { 300 } else { 100 });
                    let factor = parse_factor(&stated).expect("a valid load");
                    state
                        .speed
                        .record(factor.expect("a fourth figure"), instant);
                }
                state.report(instant);
                if let Some(arrived) = state.queue.pop_front() {
                    self.begin(upstream, arrived, now);
                }
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let candidates: Vec<_> = self.upstreams.iter().map(Upstream::candidate).collect();
        let upstream = choose(&candidates, &mut self.rng).expect("there are upstreams");
        match self.upstreams[upstream].running < CONCURRENCY {
            true => self.begin(upstream, now, now),
            false => self.upstreams[upstream].queue.push_back(now),
        }
        self.longest_queue = self.longest_queue.max(self.upstreams[upstream].queue.len());
        let interval_us = SERVICE_US as f64 / ((UPSTREAMS * CONCURRENCY) as f64 * self.utilisation);
        let gap_us = -self.rng.f64().max(1e-9).ln() * interval_us;
        self.events
            .push(Reverse((now + gap_us as u64, Event::Arrival)));
    }

    fn begin(&mut self, upstream: usize, arrived: u64, now: u64) {
        self.upstreams[upstream].running += 1;
        let factor = if is_slow(upstream, now) {
            SLOW_FACTOR
        } else {
            1.0
        };
        let variation = 0.7 + 0.6 * self.rng.f64();
        let service_us = (SERVICE_US as f64 * factor * variation) as u64;
        let end = Event::End {
            upstream,
            arrived,
            started: now,
        };
        self.events.push(Reverse((now + service_us, end)));
    }

    fn result(self) -> Result {
        let served = self.latencies_us.len();
        let total_us: u64 = self.latencies_us.iter().sum();
        let late = self
            .latencies_us
            .iter()
            .filter(|us| **us > TARGET_US)
            .count();
        let served_by = self.upstreams.iter().map(|u| u.served);
        Result {
            mean_ms: total_us as f64 / 1e3 / served as f64,
            late_share: late as f64 / served as f64,
            least_served: served_by.min().unwrap_or(0),
            served_while_slow: self.upstreams.iter().map(|u| u.served_while_slow).sum(),
            longest_queue: self.longest_queue,
            served,
        }
    }
}

/// With the figures fewer requests are late and the mean is lower; no upstream starves,
/// slow ones still get requests, and no queue is longer, as it would be if all entries
/// swung from one upstream to the next.
#[parameterized(
    half_busy = { 0.45, 1, 0.95, 0.6 },
    half_busy_again = { 0.45, 2, 0.95, 0.6 },
    busy = { 0.65, 3, 0.98, 0.9 },
    busy_again = { 0.65, 4, 0.98, 0.9 },
    nearly_full = { 0.75, 5, 0.98, 0.9 },
)]
fn stated_figures_keep_requests_off_machines_while_they_are_slow(
    utilisation: f64,
    seed: u64,
    mean_ratio: f64,
    late_ratio: f64,
) {
    let without = Simulation::run(false, utilisation, seed);
    let with = Simulation::run(true, utilisation, seed);
    println!(
        "mean {:.1} -> {:.1} ms, late {:.4} -> {:.4}, queue {} -> {}, on slow machines {} -> {}",
        without.mean_ms,
        with.mean_ms,
        without.late_share,
        with.late_share,
        without.longest_queue,
        with.longest_queue,
        without.served_while_slow,
        with.served_while_slow,
    );
    assert!(with.mean_ms < without.mean_ms * mean_ratio);
    assert!(with.late_share < without.late_share * late_ratio);
    assert!(with.longest_queue <= without.longest_queue);
    assert!(with.least_served * UPSTREAMS * 2 > with.served);
    assert!(with.served_while_slow > 0);
}

#[parameterized(
    three_figures = { "3,0,8", Ok(None) },
    usual = { "3,0,8,100", Ok(Some(1.0)) },
    slow = { "3, 0, 8, 300", Ok(Some(3.0)) },
    fast = { "0,0,8,60", Ok(Some(0.6)) },
    zero = { "3,0,8,0", Err(()) },
    huge = { "3,0,8,10001", Err(()) },
    too_large_to_count = { "3,0,8,99999999999999999999", Err(()) },
    negative = { "3,0,8,-100", Err(()) },
    signed = { "3,0,8,+100", Err(()) },
    fraction = { "3,0,8,100.5", Err(()) },
    missing = { "3,0,8,", Err(()) },
    missing_first = { ",0,8,100", Err(()) },
    too_few = { "3,0", Err(()) },
    too_many = { "3,0,8,100,1", Err(()) },
    empty = { "", Err(()) },
    words = { "3,0,8,NaN", Err(()) },
)]
fn stated_load_is_parsed_strictly(text: &str, expected: std::result::Result<Option<f64>, ()>) {
    assert_eq!(parse_factor(text).map_err(|_| ()), expected);
}

#[test]
fn figure_fades_within_half_a_second() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut speed = SpeedEstimate::default();
    assert_eq!(speed.scale(start), 1.0);
    speed.record(1.0, start);
    speed.record(3.0, at(10));
    let fresh = speed.scale(at(10));
    assert!((2.5..=3.0).contains(&fresh), "{fresh}");
    let half = speed.scale(at(260));
    assert!((1.7..=2.1).contains(&half), "{half}");
    assert_eq!(speed.scale(at(510)), 1.0);
    assert_eq!(speed.scale(at(60_000)), 1.0);
}
