//! Load: large bodies fill a narrow link, and requests behind them wait for longer than
//! their callers do.

use ibiscove_routing::transit::TransitTimes;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// How far ahead the receiver's clock is.
const AHEAD: Duration = Duration::from_secs(86_400);

#[test]
fn wait_of_a_request_behind_a_queue_is_known() {
    let mut transit = TransitTimes::new(AHEAD);
    for n in 0..20 {
        let sent = ms(100 * n);
        assert!(transit.record(sent, sent + AHEAD + ms(2)) <= ms(0));
    }
    assert_eq!(transit.record(ms(2_100), ms(3_000) + AHEAD), ms(898));
    assert_eq!(transit.record(ms(3_100), ms(3_102) + AHEAD), ms(0));
}

#[test]
fn sender_whose_clock_is_ahead_is_understood_likewise() {
    let mut transit = TransitTimes::new(ms(0));
    assert_eq!(transit.record(AHEAD, ms(2)), ms(0));
    assert_eq!(transit.record(AHEAD + ms(100), ms(602)), ms(500));
}

/// A route between the nodes that has become longer is no queue for ever.
#[test]
fn longer_way_is_taken_for_the_usual_one_after_two_windows() {
    let mut transit = TransitTimes::new(ms(0));
    transit.record(ms(0), ms(1));
    let mut waits = Vec::new();
    for n in 1..400 {
        waits.push(transit.record(ms(100 * n), ms(100 * n + 41)));
    }
    assert_eq!(waits.first(), Some(&ms(40)));
    assert_eq!(waits.last(), Some(&ms(0)));
}

/// Readings that no clock gives neither overflow nor outlast two windows.
#[test]
fn absurd_readings_do_no_lasting_harm() {
    let mut transit = TransitTimes::new(ms(0));
    transit.record(Duration::MAX, ms(1));
    transit.record(ms(0), Duration::MAX);
    let mut transit = TransitTimes::new(ms(0));
    transit.record(Duration::MAX, ms(1));
    let last = (1..400).map(|n| transit.record(ms(100 * n), ms(100 * n + 1)));
    assert_eq!(last.last(), Some(ms(0)));
}
