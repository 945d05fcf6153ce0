//! The rate limit of a call site, with simulated time.

use ibiscove_logging::limit::{CallSiteLimit, MAX_LINES_PER_WINDOW, WINDOW};
use std::time::Instant;

#[test]
fn lines_above_the_limit_are_suppressed_and_counted_for_each_call_site() {
    let limit = CallSiteLimit::default();
    let (site, other_site) = (("a.rs", Some(1)), ("a.rs", Some(2)));
    let now = Instant::now();
    for _ in 0..MAX_LINES_PER_WINDOW {
        assert_eq!(limit.admit(site, now), Some(0));
    }
    assert_eq!(limit.admit(site, now), None);
    assert_eq!(limit.admit(site, now), None);
    assert_eq!(
        limit.admit(other_site, now),
        Some(0),
        "sites do not share a limit"
    );
    assert_eq!(limit.admit(site, now + WINDOW), Some(2));
    assert_eq!(
        limit.admit(site, now + WINDOW),
        Some(0),
        "suppressed lines are counted once"
    );
}
