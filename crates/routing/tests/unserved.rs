//! A range whose owner is partitioned in the middle of a move.

use ibiscove_routing::unserved::UnservedRanges;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request arrives every 10 ms for ten seconds at a range without a serving
/// owner, and would wait 300 ms: only few may do so.
#[test]
fn few_requests_wait_for_the_owner_of_an_unserved_range() {
    let start = Instant::now();
    let mut ranges = UnservedRanges::default();
    let mut waited = 0;
    let mut timeouts = Vec::new();
    for i in 0..1_000 {
        let now = start + ms(10 * i);
        timeouts.retain(|at| {
            if *at <= now {
                ranges.record(7, *at);
            }
            *at > now
        });
        if !ranges.is_unserved(7, now) {
            waited += 1;
            timeouts.push(now + ms(300));
        }
    }
    assert!(waited >= 10, "requests wait again from time to time");
    assert!(waited <= 330, "{waited} of 1000 waited");
}

#[test]
fn requests_wait_for_other_ranges_and_after_the_owner_responds() {
    let now = Instant::now();
    let mut ranges = UnservedRanges::default();
    ranges.record(7, now);
    assert!(ranges.is_unserved(7, now));
    assert!(
        !ranges.is_unserved(8, now),
        "a change of owner has another fence"
    );
    ranges.clear(7);
    assert!(!ranges.is_unserved(7, now));
}
