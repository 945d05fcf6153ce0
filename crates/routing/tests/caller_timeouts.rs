//! Detection of retries and nested calls from timeouts.

use ibiscove_routing::caller_timeouts::CallerTimeouts;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_target_of_a_retry_counts_from_the_first_attempt() {
    let mut timeouts = CallerTimeouts::default();
    (0..50).for_each(|_| timeouts.record(ms(800)));
    assert_eq!(timeouts.remaining_target(ms(200), ms(800)), ms(200));
    assert_eq!(timeouts.remaining_target(ms(200), ms(700)), ms(100));
    assert_eq!(timeouts.remaining_target(ms(200), ms(300)), ms(0));
}

/// Retry storm: every request is refused once and retried.
#[test]
fn a_route_whose_callers_all_retry_once_is_not_nested() {
    let mut timeouts = CallerTimeouts::default();
    for i in 0..1_000 {
        timeouts.record(ms(800));
        timeouts.record(ms(500 + i % 100));
    }
    assert!(!timeouts.is_nested());
}

#[test]
fn varying_timeouts_identify_nested_calls() {
    let mut timeouts = CallerTimeouts::default();
    let mut rng = fastrand::Rng::with_seed(4);
    (0..500).for_each(|_| timeouts.record(ms(rng.u64(300..960))));
    assert!(timeouts.is_nested());
    assert_eq!(timeouts.remaining_target(ms(60), ms(400)), ms(60));
}
