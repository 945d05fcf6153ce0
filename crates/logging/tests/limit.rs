//! The limit on repeated log lines, with a clock of the test's own.

use ibiscove_logging::limit::{LogLimit, MAX_LINES, WINDOW};
use std::time::Instant;

#[test]
fn a_repeating_call_site_is_limited_and_its_suppressed_lines_are_counted() {
    let limit = LogLimit::default();
    let (site, other) = (("a.rs", Some(1)), ("a.rs", Some(2)));
    let now = Instant::now();
    for _ in 0..MAX_LINES {
        assert_eq!(limit.pass(site, now), Some(0));
    }
    assert_eq!(limit.pass(site, now), None);
    assert_eq!(limit.pass(site, now), None);
    assert_eq!(
        limit.pass(other, now),
        Some(0),
        "sites do not share a limit"
    );
    assert_eq!(limit.pass(site, now + WINDOW), Some(2));
    assert_eq!(limit.pass(site, now + WINDOW), Some(0), "counted once only");
}
