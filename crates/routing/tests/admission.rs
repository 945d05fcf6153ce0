//! Admission control under several load patterns.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued, NESTED_CALLS,
};
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(
    now: Instant,
    priority: u8,
    estimate: u64,
    target: u64,
    deadline: u64,
) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        target: now + ms(target),
        deadline: now + ms(deadline),
        estimate: ms(estimate),
        upper_estimate: ms(estimate),
        may_miss_target: true,
    }
}

fn full(concurrency: usize, estimate: u64, now: Instant) -> AdmissionController<&'static str> {
    let mut admission = AdmissionController::new(concurrency);
    for _ in 0..concurrency {
        let decision =
            admission.offer(request(now, 0, estimate, 10_000, 10_000), || "running", now);
        assert_eq!(decision, AdmissionDecision::Run);
    }
    admission
}

#[test]
fn a_free_slot_admits_a_request_that_cannot_meet_its_deadline() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(1);
    let too_long = request(now, 2, 900, 100, 200);
    assert_eq!(
        admission.offer(too_long, || "long", now),
        AdmissionDecision::Run
    );
}

#[test]
fn a_burst_is_refused_immediately_beyond_what_finishes_before_the_deadline() {
    let now = Instant::now();
    let mut admission = full(2, 100, now);
    let mut waiting = 0;
    let retry_after = loop {
        match admission.offer(request(now, 1, 100, 400, 500), || "burst", now) {
            AdmissionDecision::Wait(_) => waiting += 1,
            AdmissionDecision::Refuse { retry_after } => break retry_after,
            AdmissionDecision::Run => panic!("no slot is free"),
        }
    };
    // Two slots serve 20 requests per second: eight wait at most 400 ms.
    assert!((5..=9).contains(&waiting), "{waiting} wait");
    assert!(
        retry_after >= ms(200) && retry_after <= ms(600),
        "retry delay {retry_after:?}"
    );
}

#[test]
fn higher_priority_runs_first_even_when_late() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    admission.offer(request(now, 2, 100, 1_000, 2_500), || "archive", now);
    admission.offer(request(now, 0, 60, 50, 600), || "deposit", now);
    let dequeued = admission.finish(ms(100), now);
    assert_eq!(dequeued, vec![Dequeued::Run("deposit")]);
}

#[test]
fn within_a_priority_requests_that_meet_their_target_run_before_late_ones() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    admission.offer(request(now, 1, 50, 20, 2_000), || "late", now);
    admission.offer(request(now, 1, 50, 900, 2_000), || "relaxed", now);
    admission.offer(request(now, 1, 50, 400, 2_000), || "pressing", now);
    let mut order = Vec::new();
    for _ in 0..3 {
        order.extend(admission.finish(ms(50), now));
    }
    let expected = ["pressing", "relaxed", "late"].map(Dequeued::Run);
    assert_eq!(order, expected);
}

#[test]
fn a_queued_request_that_cannot_finish_any_more_is_refused() {
    let now = Instant::now();
    let mut admission = full(1, 10, now);
    admission.offer(request(now, 1, 50, 60, 100), || "stale", now);
    admission.offer(request(now, 1, 50, 800, 900), || "fresh", now);
    let later = now + ms(90);
    let dequeued = admission.finish(ms(10), later);
    assert!(matches!(dequeued[0], Dequeued::Refuse("stale", _)));
    assert_eq!(dequeued[1], Dequeued::Run("fresh"));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let now = Instant::now();
    let mut admission = full(1, 100, now);
    let AdmissionDecision::Wait(ticket) =
        admission.offer(request(now, 1, 100, 400, 800), || "gone", now)
    else {
        panic!("it waits");
    };
    assert_eq!(admission.load(), 2);
    assert_eq!(admission.cancel(&ticket), Some("gone"));
    assert_eq!(admission.load(), 1);
    assert!(admission.finish(ms(100), now).is_empty());
}

/// Under sustained overload, requests that meet their targets take every slot, so
/// late requests must be refused on arrival and not after waiting.
#[test]
fn under_sustained_overload_late_requests_are_refused_immediately() {
    let now = Instant::now();
    let mut admission = full(1, 50, now);
    let mut late_queued = 0;
    for _ in 0..200 {
        let late = admission.offer(request(now, 1, 50, 10, 2_000), || "late", now);
        if let AdmissionDecision::Wait(ticket) = late {
            late_queued += 1;
            // Other requests overtake it until its caller gives up.
            admission.cancel(&ticket);
        }
        admission.offer(request(now, 1, 50, 500, 2_000), || "in time", now);
        admission.finish(ms(50), now);
    }
    assert!(
        late_queued < 30,
        "{late_queued} of 200 waited and did not run"
    );
    assert!(
        late_queued > 7,
        "late requests are queued again from time to time"
    );
}

/// Archive requests hold every slot. Deposits wait only for the next free slot, and
/// are not refused because late archive requests starve.
#[test]
fn long_requests_in_every_slot_do_not_refuse_urgent_ones() {
    let now = Instant::now();
    let mut admission = full(6, 360, now);
    for _ in 0..40 {
        if let AdmissionDecision::Wait(ticket) =
            admission.offer(request(now, 2, 360, 0, 9_000), || "archive", now)
        {
            admission.cancel(&ticket);
        }
    }
    let archive = admission.offer(request(now, 2, 360, 0, 9_000), || "archive", now);
    assert!(
        matches!(archive, AdmissionDecision::Refuse { .. }),
        "late archive requests are starved"
    );
    let deposit = admission.offer(request(now, 0, 63, 200, 500), || "deposit", now);
    assert!(matches!(deposit, AdmissionDecision::Wait(_)));
    let late = admission.offer(request(now, 0, 63, 10, 500), || "late deposit", now);
    assert!(matches!(late, AdmissionDecision::Wait(_)));
}

/// However many requests arrive, the admitted work fits within their deadline.
#[test]
fn a_retry_storm_does_not_grow_the_queue_beyond_the_deadline() {
    let now = Instant::now();
    let mut admission = full(4, 50, now);
    for _ in 0..10_000 {
        admission.offer(request(now, 1, 50, 200, 400), || "storm", now);
    }
    assert!(
        admission.load() <= 4 + 4 * 8,
        "{} run or wait",
        admission.load()
    );
}

/// Nested calls alone would saturate the upstream; orders must still get half of it.
#[test]
fn nested_calls_and_other_requests_each_get_half_under_contention() {
    let now = Instant::now();
    let mut admission = full(2, 40, now);
    let mut work_ms = [0_u64; 2];
    for _ in 0..400 {
        admission.offer(request(now, NESTED_CALLS, 20, 900, 900), || "call", now);
        admission.offer(
            request(now, NESTED_CALLS + 2, 80, 900, 900),
            || "order",
            now,
        );
        let Some(Dequeued::Run(next)) = admission.finish(ms(40), now).pop() else {
            continue;
        };
        match next {
            "call" => work_ms[0] += 20,
            _ => work_ms[1] += 80,
        }
    }
    let share = work_ms[1] as f64 / (work_ms[0] + work_ms[1]) as f64;
    assert!((0.4..0.6).contains(&share), "share of orders: {share:.2}");
}

/// The upstream reserves no capacity for the kind of request that does not wait.
#[test]
fn without_contention_either_kind_gets_every_slot() {
    let now = Instant::now();
    for priority in [NESTED_CALLS, NESTED_CALLS + 1] {
        let mut admission = full(1, 40, now);
        for _ in 0..3 {
            admission.offer(request(now, priority, 40, 900, 900), || "only", now);
        }
        for _ in 0..3 {
            assert_eq!(admission.finish(ms(40), now), [Dequeued::Run("only")]);
        }
    }
}
