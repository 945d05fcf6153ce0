//! Which requests count as at work when an upstream crashed.

use ibiscove_routing::crash_watch::CrashWatch;
use ibiscove_types::UpstreamIncarnation;
use std::time::{Duration, Instant};

fn upstream(born_ms: i64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: "a".into(),
        born_ms,
    }
}

/// The connections of a crashed upstream end one after the other, some before it is
/// known to have crashed and some after.
#[test]
fn requests_lost_before_and_after_the_crash_is_known_are_both_found() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    let early = watch.begin("early", upstream(1));
    let late = watch.begin("late", upstream(1));
    assert_eq!(watch.lose(early, now), None);
    assert_eq!(watch.record_crash(&upstream(1), now), ["early"]);
    assert_eq!(watch.lose(late, now), Some(("late", upstream(1))));
    assert_eq!(watch.lose(late, now), None, "it counts once");
}

/// Guards against blame for requests that an upstream answered, never got, or lost
/// long before its end.
#[test]
fn requests_that_were_not_at_work_are_not_found() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    let answered = watch.begin("answered", upstream(1));
    let unsent = watch.begin("unsent", upstream(1));
    let lost_long_ago = watch.begin("long ago", upstream(1));
    watch.settle(answered);
    assert_eq!(watch.lose(lost_long_ago, now), None);
    let later = now + Duration::from_secs(60);
    assert!(watch.record_crash(&upstream(1), later).is_empty());
    watch.settle(unsent);
    assert_eq!(watch.lose(unsent, later), None);
}

/// An upstream that falls silent breaks no connection; its successor shows its end.
#[test]
fn successor_shows_which_incarnation_has_ended() {
    let now = Instant::now();
    let mut watch = CrashWatch::default();
    let id = watch.begin("silent", upstream(1));
    watch.begin("running", upstream(2));
    assert_eq!(watch.lose(id, now), None);
    assert_eq!(watch.predecessors(&upstream(2)), [upstream(1)]);
    assert_eq!(watch.record_crash(&upstream(1), now), ["silent"]);
    assert!(watch.has_crashed(&upstream(1)));
    assert!(watch.predecessors(&upstream(2)).is_empty());
}
