//! How far the configuration in force is behind the newest one that is known.

use ibiscove_proxy::ConfigLag;
use ibiscove_proxy::config_lag::Lag;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn lag_counts_from_the_first_version_that_is_not_in_force() {
    let lag = ConfigLag::default();
    let start = Instant::now();
    lag.observe(6, "first", 6, start);
    assert_eq!(lag.lag(6, start), None);
    lag.observe(8, "first", 6, start + SECOND);
    lag.observe(10, "second", 6, start + 3 * SECOND);
    // An older version from another peer changes nothing.
    lag.observe(8, "third", 6, start + 4 * SECOND);
    lag.record_failure("timed-out");
    let behind = |behind| Lag {
        newest: 10,
        behind,
        last_failure: Some("timed-out"),
    };
    let now = start + 5 * SECOND;
    assert_eq!(lag.lag(6, now), Some(behind(4 * SECOND)));
    lag.update(8, now);
    assert_eq!(lag.lag(8, now), Some(behind(2 * SECOND)));
    lag.update(10, now);
    assert_eq!(lag.lag(10, now), None);
}

#[test]
fn many_newer_versions_take_bounded_memory_and_keep_the_oldest_time() {
    let lag = ConfigLag::default();
    let start = Instant::now();
    for version in 2..10_000 {
        lag.observe(version, "peer", 1, start + Duration::from_millis(version));
    }
    let now = start + 20 * SECOND;
    let first = lag.lag(1, now).expect("newer versions are known");
    assert_eq!(
        (first.newest, first.behind),
        (9_999, 20 * SECOND - Duration::from_millis(2))
    );
    let last = lag.lag(9_998, now).expect("one newer version is known");
    assert!(
        last.behind >= 20 * SECOND - Duration::from_millis(9_999),
        "{last:?}"
    );
}
