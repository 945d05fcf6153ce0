//! The bytes that a process may log.

use ibiscove_logging::budget::{BYTES_PER_SECOND, ByteBudget};
use std::time::{Duration, Instant};

/// Bytes written in a refusal storm of `seconds`, a line of 300 bytes each
/// tenth of a millisecond.
fn storm(budget: &mut ByteBudget, from: Instant, seconds: u64) -> usize {
    let steps = seconds * 10_000;
    let lines = (0..steps).map(|i| from + Duration::from_micros(100 * i));
    lines.filter(|now| budget.take(300, false, *now)).count() * 300
}

#[test]
fn a_refusal_storm_keeps_within_the_budget() {
    let from = Instant::now();
    let written = storm(&mut ByteBudget::new(from), from, 20);
    assert!(written as f64 <= 21.0 * BYTES_PER_SECOND, "{written} bytes");
    assert!(written as f64 >= 19.0 * BYTES_PER_SECOND, "{written} bytes");
}

#[test]
fn a_warning_in_a_refusal_storm_is_written() {
    let from = Instant::now();
    let mut budget = ByteBudget::new(from);
    storm(&mut budget, from, 5);
    let now = from + Duration::from_secs(5);
    assert!(!budget.take(300, false, now));
    for _ in 0..20 {
        assert!(budget.take(300, true, now));
    }
}

#[test]
fn warnings_alone_are_bounded_too() {
    let now = Instant::now();
    let mut budget = ByteBudget::new(now);
    let written = (0..10_000).filter(|_| budget.take(300, true, now)).count();
    assert!(written as f64 * 300.0 <= BYTES_PER_SECOND);
}
