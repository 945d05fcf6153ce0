//! Which of the requests that an upstream runs waits for a call, while orders of
//! several kinds run beside each other.

use ibiscove_routing::call_parents::{CallParents, RouteName, RunningRequest};
use std::time::{Duration, Instant};

fn running(route: &str, priority: u8, deadline: Instant) -> RunningRequest {
    RunningRequest {
        route: route.into(),
        priority,
        is_call: false,
        deadline,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_call_expires_with_its_order() {
    let now = Instant::now();
    let mut parents = CallParents::default();
    let all = [
        running("quote", 2, now + ms(400)),
        running("booking", 1, now + ms(900)),
    ];
    let call: RouteName = "check".into();
    // The rest of the time is read a little later than it was computed.
    let parent = parents.find(&call, now + ms(412), &all);
    assert_eq!(parent.expect("one matches").priority, 2);
    let parent = parents.find(&call, now + ms(900), &all);
    assert_eq!(parent.expect("the other matches").priority, 1);
}

#[test]
fn nothing_is_assumed_while_nothing_runs() {
    let now = Instant::now();
    let mut parents = CallParents::default();
    assert_eq!(parents.find(&"check".into(), now, &[]), None);
}

/// Orders of another kind that happen to have the same deadline are not taken for the
/// one that calls.
#[test]
fn of_orders_with_the_same_deadline_the_kind_that_usually_calls_is_taken() {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut parents = CallParents::default();
    let call: RouteName = "check".into();
    let mut wrong = 0;
    for step in 0..400 {
        let now = start + ms(20 * step);
        let deadline = now + ms(rng.u64(100..1_500));
        let mut all: Vec<_> = (0..6)
            .map(|_| running("booking", 1, now + ms(rng.u64(100..2_000))))
            .collect();
        all.push(running("quote", 2, deadline));
        if step >= 100 {
            all.push(running("booking", 1, deadline));
        }
        let parent = parents.find(&call, deadline, &all);
        let is_right = parent.is_some_and(|parent| &*parent.route == "quote");
        wrong += u32::from(step >= 100 && !is_right);
    }
    // The kind that never calls matches by chance only before step 100.
    assert!(wrong <= 3, "{wrong} of 300 calls");
}

/// An upstream may give its calls less time than it has: then only what else runs tells
/// which order waits.
#[test]
fn without_the_deadline_the_kind_that_always_runs_meanwhile_is_taken() {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(11);
    let mut parents = CallParents::default();
    let call: RouteName = "check".into();
    let mut right = 0;
    for step in 0..400 {
        let now = start + ms(20 * step);
        let mut all = vec![running("quote", 2, now + ms(700))];
        if rng.bool() {
            all.push(running("booking", 1, now + ms(1_200)));
        }
        let parent = parents.find(&call, now + ms(250), &all);
        let is_quote = parent.is_some_and(|parent| &*parent.route == "quote");
        right += u32::from(step >= 100 && is_quote);
    }
    assert_eq!(right, 300);
}

#[test]
fn a_call_is_not_its_own_parent() {
    let now = Instant::now();
    let mut parents = CallParents::default();
    let all = [running("check", 0, now + ms(400))];
    assert_eq!(parents.find(&"check".into(), now + ms(400), &all), None);
}
