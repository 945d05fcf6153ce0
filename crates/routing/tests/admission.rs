//! Who runs, waits or is refused at a gate, by load pattern.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued, NESTED_CALLS,
};
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ask(now: Instant, priority: u8, estimate: u64, target: u64, deadline: u64) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        target: now + ms(target),
        deadline: now + ms(deadline),
        estimate: ms(estimate),
        upper_estimate: ms(estimate),
        may_be_late: true,
    }
}

fn full(slots: usize, estimate: u64, now: Instant) -> AdmissionController<&'static str> {
    let mut admission = AdmissionController::new(slots);
    for _ in 0..slots {
        let verdict = admission.offer(ask(now, 0, estimate, 10_000, 10_000), || "running", now);
        assert_eq!(verdict, AdmissionDecision::Run);
    }
    admission
}

#[test]
fn a_free_slot_is_never_refused_however_long_the_estimate() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(1);
    let hopeless = ask(now, 2, 900, 100, 200);
    assert_eq!(
        admission.offer(hopeless, || "trial", now),
        AdmissionDecision::Run
    );
}

#[test]
fn a_burst_is_refused_at_once_where_it_cannot_end_in_time() {
    let now = Instant::now();
    let mut admission = full(2, 100, now);
    let mut waiting = 0;
    let refused = loop {
        match admission.offer(ask(now, 1, 100, 400, 500), || "burst", now) {
            AdmissionDecision::Wait(_) => waiting += 1,
            AdmissionDecision::Refuse { retry_after } => break retry_after,
            AdmissionDecision::Run => panic!("no slot is free"),
        }
    };
    // Two slots clear 20 requests a second: 400 ms of waiting fit eight.
    assert!((5..=9).contains(&waiting), "{waiting} wait");
    assert!(
        refused >= ms(200) && refused <= ms(600),
        "told to return after {refused:?}"
    );
}

#[test]
fn the_more_urgent_priority_goes_first_even_when_late() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    admission.offer(ask(now, 2, 100, 1_000, 2_500), || "archive", now);
    admission.offer(ask(now, 0, 60, 50, 600), || "deposit", now);
    let left = admission.finish(ms(100), now);
    assert_eq!(left, vec![Dequeued::Run("deposit")]);
}

#[test]
fn within_a_priority_those_that_meet_their_target_go_before_the_late() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    admission.offer(ask(now, 1, 50, 20, 2_000), || "late", now);
    admission.offer(ask(now, 1, 50, 900, 2_000), || "relaxed", now);
    admission.offer(ask(now, 1, 50, 400, 2_000), || "pressing", now);
    let mut order = Vec::new();
    for _ in 0..3 {
        order.extend(admission.finish(ms(50), now));
    }
    let expected = ["pressing", "relaxed", "late"].map(Dequeued::Run);
    assert_eq!(order, expected);
}

#[test]
fn what_became_hopeless_in_the_queue_is_refused_and_not_run() {
    let now = Instant::now();
    let mut admission = full(1, 10, now);
    admission.offer(ask(now, 1, 50, 60, 100), || "stale", now);
    admission.offer(ask(now, 1, 50, 800, 900), || "fresh", now);
    let later = now + ms(90);
    let left = admission.finish(ms(10), later);
    assert!(matches!(left[0], Dequeued::Refuse("stale", _)));
    assert_eq!(left[1], Dequeued::Run("fresh"));
}

#[test]
fn a_caller_that_left_makes_room() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    let AdmissionDecision::Wait(ticket) =
        admission.offer(ask(now, 1, 100, 400, 800), || "gone", now)
    else {
        panic!("it waits");
    };
    assert_eq!(admission.load(), 2);
    assert_eq!(admission.cancel(&ticket), Some("gone"));
    assert_eq!(admission.load(), 1);
    assert!(admission.finish(ms(100), now).is_empty());
}

/// Lasting overload: those that meet their targets take every slot, so those
/// that cannot are refused when they come and not after they have waited.
#[test]
fn under_lasting_overload_the_late_are_refused_at_once() {
    let now = Instant::now();
    let mut admission = full(1, 50, now);
    let mut late_waited = 0;
    for _ in 0..200 {
        let late = admission.offer(ask(now, 1, 50, 10, 2_000), || "late", now);
        if let AdmissionDecision::Wait(ticket) = late {
            late_waited += 1;
            // It is passed by others until its caller gives up.
            admission.cancel(&ticket);
        }
        admission.offer(ask(now, 1, 50, 500, 2_000), || "in time", now);
        admission.finish(ms(50), now);
    }
    assert!(late_waited < 30, "{late_waited} of 200 waited for nothing");
    assert!(late_waited > 7, "it is tried again now and then");
}

/// A shortage in which archive pulls hold every slot: deposits wait only for the
/// next slot to free, and what befalls late archive pulls is not theirs.
#[test]
fn long_work_in_every_slot_does_not_refuse_the_urgent() {
    let now = Instant::now();
    let mut admission = full(6, 360, now);
    for _ in 0..40 {
        if let AdmissionDecision::Wait(ticket) =
            admission.offer(ask(now, 2, 360, 0, 9_000), || "archive", now)
        {
            admission.cancel(&ticket);
        }
    }
    let archive = admission.offer(ask(now, 2, 360, 0, 9_000), || "archive", now);
    assert!(
        matches!(archive, AdmissionDecision::Refuse { .. }),
        "late archive pulls starve"
    );
    let deposit = admission.offer(ask(now, 0, 63, 200, 500), || "deposit", now);
    assert!(matches!(deposit, AdmissionDecision::Wait(_)));
    let late = admission.offer(ask(now, 0, 63, 10, 500), || "late deposit", now);
    assert!(matches!(late, AdmissionDecision::Wait(_)));
}

/// A retry storm: however many ask, the work that is let in fits the deadline.
#[test]
fn a_retry_storm_does_not_lengthen_the_queue() {
    let now = Instant::now();
    let mut admission = full(4, 50, now);
    for _ in 0..10_000 {
        admission.offer(ask(now, 1, 50, 200, 400), || "storm", now);
    }
    assert!(
        admission.load() <= 4 + 4 * 8,
        "{} run or wait",
        admission.load()
    );
}

/// A shortage in which calls of running requests alone would fill the upstream:
/// orders still get half of it, and calls the other half.
#[test]
fn calls_and_other_requests_share_a_shortage() {
    let now = Instant::now();
    let mut admission = full(2, 40, now);
    let mut ran = [0_u64; 2];
    for _ in 0..400 {
        admission.offer(ask(now, NESTED_CALLS, 20, 900, 900), || "call", now);
        admission.offer(ask(now, NESTED_CALLS + 2, 80, 900, 900), || "order", now);
        let Some(Dequeued::Run(next)) = admission.finish(ms(40), now).pop() else {
            continue;
        };
        match next {
            "call" => ran[0] += 20,
            _ => ran[1] += 80,
        }
    }
    let share = ran[1] as f64 / (ran[0] + ran[1]) as f64;
    assert!((0.4..0.6).contains(&share), "orders got {share:.2}");
}

/// Without other requests calls take everything, and the other way round.
#[test]
fn nothing_is_kept_free_for_those_that_do_not_wait() {
    let now = Instant::now();
    for priority in [NESTED_CALLS, NESTED_CALLS + 1] {
        let mut admission = full(1, 40, now);
        for _ in 0..3 {
            admission.offer(ask(now, priority, 40, 900, 900), || "only", now);
        }
        for _ in 0..3 {
            assert_eq!(admission.finish(ms(40), now), [Dequeued::Run("only")]);
        }
    }
}
