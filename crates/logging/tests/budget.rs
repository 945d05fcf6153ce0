//! The byte rate limit of logging.

use ibiscove_logging::budget::{BYTES_PER_SECOND, ByteBudget};
use std::time::{Duration, Instant};

/// Returns the bytes written during a burst of `seconds` with a line of 300 bytes
/// each tenth of a millisecond.
fn burst(budget: &mut ByteBudget, start: Instant, seconds: u64) -> usize {
    let steps = seconds * 10_000;
    let lines = (0..steps).map(|i| start + Duration::from_micros(100 * i));
    lines
        .filter(|now| budget.try_take(300, false, *now))
        .count()
        * 300
}

#[test]
fn a_burst_of_refusals_stays_within_the_rate() {
    let start = Instant::now();
    let written = burst(&mut ByteBudget::new(start), start, 20);
    assert!(written as f64 <= 21.0 * BYTES_PER_SECOND, "{written} bytes");
    assert!(written as f64 >= 19.0 * BYTES_PER_SECOND, "{written} bytes");
}

#[test]
fn a_warning_during_a_burst_of_refusals_is_written() {
    let start = Instant::now();
    let mut budget = ByteBudget::new(start);
    burst(&mut budget, start, 5);
    let now = start + Duration::from_secs(5);
    assert!(!budget.try_take(300, false, now));
    for _ in 0..20 {
        assert!(budget.try_take(300, true, now));
    }
}

#[test]
fn warnings_alone_are_limited_too() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(now);
    let written = (0..10_000)
        .filter(|_| budget.try_take(300, true, now))
        .count();
    assert!(written as f64 * 300.0 <= BYTES_PER_SECOND);
}
