//! Fair queue, adaptive concurrency limit and fair shares of an entry.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{FairQueue, PushError, ServiceRate, may_admit};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const SERVICE_RATE: ServiceRate = ServiceRate {
    service_time: MS,
    concurrency: 2,
};

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_on_arrival() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for n in 0..20 {
        queue
            .push(1, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("free capacity");
    }
    assert_eq!(queue.expected_wait(1, SERVICE_RATE), 10 * MS);
    let too_late = queue.push(1, now + 5 * MS, now, SERVICE_RATE, 99);
    assert_eq!(too_late, Err(PushError::TooLate));
    // Another key waits for one turn, not for all requests of the hot key.
    assert_eq!(
        queue.push(2, now + 5 * MS, now, SERVICE_RATE, 100),
        Ok(None)
    );
}

#[test]
fn classes_are_served_round_robin() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for n in 0..50 {
        queue
            .push(1, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("free capacity");
    }
    for n in [100, 101] {
        queue
            .push(2, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("free capacity");
    }
    let popped: Vec<_> = (0..5).filter_map(|_| queue.pop()).collect();
    assert_eq!(popped, [0, 100, 1, 101, 2]);
}

#[test]
fn a_full_queue_drops_the_newest_of_the_longest_class() {
    let now = Instant::now();
    let mut queue = FairQueue::new(4);
    let deadline = now + 1_000 * MS;
    for n in 0..4 {
        queue
            .push(1, deadline, now, SERVICE_RATE, n)
            .expect("free capacity");
    }
    assert_eq!(
        queue.push(1, deadline, now, SERVICE_RATE, 4),
        Err(PushError::Full)
    );
    assert_eq!(queue.push(2, deadline, now, SERVICE_RATE, 5), Ok(Some(3)));
    assert_eq!(queue.push(3, deadline, now, SERVICE_RATE, 6), Ok(Some(2)));
    assert_eq!(queue.len(), 4);
}

/// The queue's length matches the requests queued and removed.
#[test]
fn under_random_traffic_the_queue_stays_bounded_and_loses_nothing() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let mut queue = FairQueue::new(16);
        let (mut queued, mut removed) = (0, 0);
        for n in 0..500 {
            if rng.bool() {
                let deadline = now + MS * rng.u32(1..50);
                if let Ok(dropped) = queue.push(rng.u64(..6), deadline, now, SERVICE_RATE, n) {
                    queued += 1;
                    removed += usize::from(dropped.is_some());
                }
            } else {
                removed += usize::from(queue.pop().is_some());
            }
            assert!(queue.len() <= 16, "seed {seed}");
            assert_eq!(queue.len(), queued - removed, "seed {seed}");
        }
        while queue.pop().is_some() {
            removed += 1;
        }
        assert_eq!(queued, removed, "seed {seed}: a request was lost");
    }
}

#[test]
fn overload_decreases_the_limit_and_good_responses_increase_it() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(12, false);
    assert_eq!(limit.get(), 12);
    for _ in 0..50 {
        now += 200 * MS;
        limit.record(Completion::Overloaded, MS, now);
    }
    assert_eq!(limit.get(), 1, "the limit is at least one");
    for _ in 0..500 {
        now += MS;
        limit.record(Completion::Responded, MS, now);
    }
    assert_eq!(
        limit.get(),
        12,
        "the limit is at most the announced concurrency"
    );
}

#[test]
fn a_burst_of_failures_decreases_the_limit_once() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(10, false);
    for _ in 0..100 {
        limit.record(Completion::Failed, MS, now);
    }
    assert_eq!(limit.get(), 8);
}

/// Callers with too short timeouts must not throttle the others.
#[test]
fn short_caller_timeouts_do_not_decrease_the_limit() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(10, false);
    limit.record(Completion::Responded, 10 * MS, now);
    for _ in 0..100 {
        now += 200 * MS;
        limit.record(Completion::TimedOut, MS, now);
    }
    assert_eq!(limit.get(), 10);
}

#[test]
fn an_upstream_ten_times_slower_keeps_half_its_limit() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(12, false);
    for n in 0..2_000 {
        now += 10 * MS;
        limit.record(
            Completion::Responded,
            if n < 100 { MS } else { 10 * MS },
            now,
        );
        assert!(limit.get() >= 6);
    }
    assert_eq!(
        limit.get(),
        12,
        "the typical latency adapts to a lasting slowdown"
    );
}

#[test]
fn a_cold_upstream_starts_low_and_reaches_its_ceiling() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(16, true);
    assert_eq!(limit.get(), 2);
    for _ in 0..14 {
        now += MS;
        limit.record(Completion::Responded, MS, now);
    }
    assert_eq!(limit.get(), 16);
}

#[test]
fn one_service_leaves_a_share_of_the_entry_to_another() {
    let (mut first, mut second) = (0, 0);
    while may_admit(first, first + second, 1, 100) {
        first += 1;
    }
    assert!(
        (40..100).contains(&first),
        "alone it may have {first} in flight"
    );
    while may_admit(second, first + second, 2, 100) {
        second += 1;
    }
    assert!(second >= 33, "the second has {second} in flight");
}
