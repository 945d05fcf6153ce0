//! Admission at an upstream that names a limit, under a load of several times that.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued,
};
use std::time::{Duration, Instant};
use yare::parameterized;

const SERVICE_TIME: Duration = Duration::from_millis(90);
const TICK: Duration = Duration::from_millis(2);

fn request(now: Instant, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        target: now + Duration::from_millis(300),
        deadline: now + Duration::from_millis(800),
        estimate: SERVICE_TIME,
        upper_estimate: SERVICE_TIME,
        may_miss_target: true,
    }
}

/// Result of a simulated load.
#[derive(Default)]
struct Played {
    /// When requests started, with their priorities.
    starts: Vec<(Instant, u8)>,
    offered: usize,
    refused: usize,
    /// Queued requests that were refused, with the time that was left.
    refused_from_queue: Vec<Duration>,
    /// Requests that started with less time left than they need.
    started_too_late: usize,
}

impl Played {
    fn most_in(&self, window: Duration) -> usize {
        let within = |from: Instant| {
            let starts = self.starts.iter();
            starts
                .filter(|(at, _)| *at >= from && *at < from + window)
                .count()
        };
        self.starts
            .iter()
            .map(|(at, _)| within(*at))
            .max()
            .unwrap_or(0)
    }
}

/// Offers requests of two priorities by turns, at `offered_rate` a second.
fn play(
    admission: &mut AdmissionController<(u8, Instant)>,
    from: Instant,
    duration: Duration,
    offered_rate: f64,
) -> Played {
    let mut played = Played::default();
    let mut running: Vec<Instant> = Vec::new();
    let mut owed = 0.0;
    let mut now = from;
    while now < from + duration {
        let mut dequeued = Vec::new();
        running.retain(|end| {
            let has_ended = *end <= now;
            if has_ended {
                dequeued.extend(admission.finish(SERVICE_TIME, now));
            }
            !has_ended
        });
        if admission.pacing_delay(now) == Some(Duration::ZERO) {
            dequeued.extend(admission.dequeue(now));
        }
        owed += offered_rate * TICK.as_secs_f64();
        while owed >= 1.0 {
            owed -= 1.0;
            let priority = 1 + (played.offered % 2) as u8;
            played.offered += 1;
            let req = request(now, priority);
            match admission.offer(req, || (priority, req.deadline), now) {
                AdmissionDecision::Run => dequeued.push(Dequeued::Run((priority, req.deadline))),
                AdmissionDecision::Wait(_) => {}
                AdmissionDecision::Refuse { .. } => played.refused += 1,
            }
        }
        for request in dequeued {
            match request {
                Dequeued::Run((priority, deadline)) => {
                    running.push(now + SERVICE_TIME);
                    played.starts.push((now, priority));
                    played.started_too_late += usize::from(now + SERVICE_TIME > deadline);
                }
                Dequeued::Refuse((_, deadline), _) => played
                    .refused_from_queue
                    .push(deadline.saturating_duration_since(now)),
            }
        }
        now += TICK;
    }
    played
}

/// Guards against an upstream that gets more than its limit from its gate, and
/// against a gate that leaves a part of the limit unused.
#[parameterized(
    fewer_than_one_at_a_time = { 8.0 },
    several_at_a_time = { 30.0 },
    far_below_one_a_second = { 0.5 },
)]
fn starts_keep_to_the_limit_and_use_it(limit: f64) {
    let now = Instant::now();
    let mut admission = AdmissionController::new(6);
    assert!(admission.set_max_rate(Some(limit), now).is_empty());
    let played = play(&mut admission, now, Duration::from_secs(20), 100.0);
    let window = Duration::from_secs(4);
    let most = played.most_in(window) as f64;
    assert!(most <= 1.1 * limit * 4.0 + 1.0, "{most} in {window:?}");
    let used = played.starts.len() as f64 / (20.0 * limit);
    assert!(used >= 0.95, "{used} of the limit is used");
}

/// Guards against requests that wait for a limit until it is too late to go
/// elsewhere.
#[test]
fn requests_beyond_the_limit_are_refused_in_time_least_urgent_first() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(6);
    admission.set_max_rate(Some(20.0), now);
    let played = play(&mut admission, now, Duration::from_secs(20), 100.0);
    assert_eq!(played.started_too_late, 0);
    let elsewhere = 2 * SERVICE_TIME;
    assert!(
        played
            .refused_from_queue
            .iter()
            .all(|left| *left >= elsewhere)
    );
    let refused = played.refused + played.refused_from_queue.len();
    assert!(played.offered - refused - played.starts.len() <= 20);
    let urgent = played.starts.iter().filter(|(_, p)| *p == 1).count();
    assert!(urgent as f64 >= 0.9 * played.starts.len() as f64);
}

/// Guards against queued requests that stay queued after the limit was lifted, and
/// against a rate that is forgotten when the upstream names another one.
#[test]
fn changed_and_lifted_limits_take_effect_at_once() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(6);
    admission.set_max_rate(Some(4.0), now);
    let mut runs = 0;
    for _ in 0..5 {
        let decision = admission.offer(request(now, 1), || (1, now), now);
        runs += usize::from(decision == AdmissionDecision::Run);
    }
    assert_eq!(runs, 2, "one, and one more in a quarter of a second");
    assert!(admission.set_max_rate(Some(2.0), now).is_empty());
    assert!(admission.pacing_delay(now).is_some());
    let waiting = admission.load() - runs;
    assert!(waiting > 0);
    let lifted = admission.set_max_rate(None, now);
    assert_eq!(lifted.len(), waiting);
    assert!(
        lifted
            .iter()
            .all(|request| matches!(request, Dequeued::Run(_)))
    );
    assert_eq!(admission.pacing_delay(now), None);
    assert_eq!(admission.capacity(), 6.0);
}

/// Guards against an upstream that took none and is never asked again.
#[test]
fn limit_of_zero_still_lets_a_request_through_now_and_then() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(6);
    admission.set_max_rate(Some(0.0), now);
    let played = play(&mut admission, now, Duration::from_secs(20), 50.0);
    assert!((3..=6).contains(&played.starts.len()));
    assert!(played.most_in(Duration::from_secs(4)) <= 5);
}

/// Guards against an upstream that counts as free while its limit is used up: its
/// capacity is what the limit leaves of its slots.
#[parameterized(
    limit_leaves_less_than_a_slot = { Some(8.0), 0.72 },
    limit_leaves_some_slots = { Some(30.0), 2.7 },
    limit_above_what_the_slots_serve = { Some(500.0), 6.0 },
    no_limit = { None, 6.0 },
)]
fn capacity_is_what_the_limit_leaves_of_the_slots(limit: Option<f64>, expected: f64) {
    let now = Instant::now();
    let mut admission = AdmissionController::new(6);
    admission.set_max_rate(limit, now);
    play(&mut admission, now, Duration::from_secs(1), 50.0);
    assert!((admission.capacity() - expected).abs() < 1e-9);
}
