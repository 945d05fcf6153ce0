//! A range whose owner is cut off in the middle of a move.

use ibiscove_routing::unserved::UnservedRanges;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Requests come each 10 ms for ten seconds to a range that nobody serves, and
/// would wait 300 ms each: few of them do.
#[test]
fn few_requests_wait_for_an_owner_that_does_not_come() {
    let start = Instant::now();
    let mut stuck = UnservedRanges::default();
    let mut waited = 0;
    let mut giving_up = Vec::new();
    for i in 0..1_000 {
        let now = start + ms(10 * i);
        giving_up.retain(|at| {
            if *at <= now {
                stuck.record(7, *at);
            }
            *at > now
        });
        if !stuck.is_unserved(7, now) {
            waited += 1;
            giving_up.push(now + ms(300));
        }
    }
    assert!(waited >= 10, "it is tried again now and then");
    assert!(waited <= 330, "{waited} of 1000 waited");
}

#[test]
fn other_ranges_and_the_next_owner_are_waited_for() {
    let now = Instant::now();
    let mut stuck = UnservedRanges::default();
    stuck.record(7, now);
    assert!(stuck.is_unserved(7, now));
    assert!(
        !stuck.is_unserved(8, now),
        "a change of owner has another fence"
    );
    stuck.clear(7);
    assert!(!stuck.is_unserved(7, now));
}
