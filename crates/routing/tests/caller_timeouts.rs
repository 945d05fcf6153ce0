//! Callers that come back, and calls of running requests.

use ibiscove_routing::caller_timeouts::CallerTimeouts;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_returning_caller_is_judged_from_its_first_try() {
    let mut patience = CallerTimeouts::default();
    (0..50).for_each(|_| patience.record(ms(800)));
    assert_eq!(patience.remaining_target(ms(200), ms(800)), ms(200));
    assert_eq!(patience.remaining_target(ms(200), ms(700)), ms(100));
    assert_eq!(patience.remaining_target(ms(200), ms(300)), ms(0));
}

/// A retry storm: everybody is refused once and comes back.
#[test]
fn callers_that_all_come_back_are_no_calls() {
    let mut patience = CallerTimeouts::default();
    for i in 0..1_000 {
        patience.record(ms(800));
        patience.record(ms(500 + i % 100));
    }
    assert!(!patience.is_nested());
}

#[test]
fn calls_bring_what_running_requests_left_them() {
    let mut patience = CallerTimeouts::default();
    let mut rng = fastrand::Rng::with_seed(4);
    (0..500).for_each(|_| patience.record(ms(rng.u64(300..960))));
    assert!(patience.is_nested());
    assert_eq!(patience.remaining_target(ms(60), ms(400)), ms(60));
}
