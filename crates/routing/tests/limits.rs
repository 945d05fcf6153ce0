//! Queues, limits and fair shares.

use ibiscove_routing::limit::{Completion, ConcurrencyLimit};
use ibiscove_routing::queue::{FairQueue, PushError, ServiceRate, may_admit};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const SERVICE_RATE: ServiceRate = ServiceRate {
    service_time: MS,
    concurrency: 2,
};

#[test]
fn what_would_miss_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for n in 0..20 {
        queue
            .push(1, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("room");
    }
    assert_eq!(queue.expected_wait(1, SERVICE_RATE), 10 * MS);
    let late = queue.push(1, now + 5 * MS, now, SERVICE_RATE, 99);
    assert_eq!(late, Err(PushError::TooLate));
    // A key that is not hot waits one round, not behind all of the hot one's.
    assert_eq!(
        queue.push(2, now + 5 * MS, now, SERVICE_RATE, 100),
        Ok(None)
    );
}

#[test]
fn classes_take_turns() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for n in 0..50 {
        queue
            .push(1, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("room");
    }
    for n in [100, 101] {
        queue
            .push(2, now + 1_000 * MS, now, SERVICE_RATE, n)
            .expect("room");
    }
    let first: Vec<_> = (0..5).filter_map(|_| queue.pop()).collect();
    assert_eq!(first, [0, 100, 1, 101, 2]);
}

#[test]
fn a_full_queue_drops_the_newest_of_the_longest_class() {
    let now = Instant::now();
    let mut queue = FairQueue::new(4);
    let deadline = now + 1_000 * MS;
    for n in 0..4 {
        queue.push(1, deadline, now, SERVICE_RATE, n).expect("room");
    }
    assert_eq!(
        queue.push(1, deadline, now, SERVICE_RATE, 4),
        Err(PushError::Full)
    );
    assert_eq!(queue.push(2, deadline, now, SERVICE_RATE, 5), Ok(Some(3)));
    assert_eq!(queue.push(3, deadline, now, SERVICE_RATE, 6), Ok(Some(2)));
    assert_eq!(queue.len(), 4);
}

/// However requests come and go, the queue holds what it says and no more.
#[test]
fn random_traffic_keeps_the_bounds() {
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let mut queue = FairQueue::new(16);
        let (mut taken, mut left) = (0, 0);
        for n in 0..500 {
            if rng.bool() {
                let deadline = now + MS * rng.u32(1..50);
                if let Ok(dropped) = queue.push(rng.u64(..6), deadline, now, SERVICE_RATE, n) {
                    taken += 1;
                    left += usize::from(dropped.is_some());
                }
            } else {
                left += usize::from(queue.pop().is_some());
            }
            assert!(queue.len() <= 16, "seed {seed}");
            assert_eq!(queue.len(), taken - left, "seed {seed}");
        }
        while queue.pop().is_some() {
            left += 1;
        }
        assert_eq!(taken, left, "seed {seed}: a request was lost");
    }
}

#[test]
fn a_limit_follows_overload_down_and_good_answers_up() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(12, false);
    assert_eq!(limit.get(), 12);
    for _ in 0..50 {
        now += 200 * MS;
        limit.record(Completion::Overloaded, MS, now);
    }
    assert_eq!(limit.get(), 1, "never below one");
    for _ in 0..500 {
        now += MS;
        limit.record(Completion::Responded, MS, now);
    }
    assert_eq!(limit.get(), 12, "never above what was announced");
}

#[test]
fn a_burst_of_bad_answers_counts_once() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(10, false);
    for _ in 0..100 {
        limit.record(Completion::Failed, MS, now);
    }
    assert_eq!(limit.get(), 8);
}

/// Callers that allow next to no time must not throttle the others.
#[test]
fn short_timeouts_of_callers_do_not_cut() {
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
fn an_upstream_that_slows_tenfold_keeps_half_its_slots() {
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
    assert_eq!(limit.get(), 12, "slow for good is the usual case");
}

#[test]
fn a_cold_upstream_starts_low_and_warms_up() {
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
fn a_service_cannot_shut_the_others_out() {
    let (mut hog, mut other) = (0, 0);
    while may_admit(hog, hog + other, 1, 100) {
        hog += 1;
    }
    assert!((40..100).contains(&hog), "alone it may take {hog}");
    while may_admit(other, hog + other, 2, 100) {
        other += 1;
    }
    assert!(other >= 33, "the other got {other}");
}
