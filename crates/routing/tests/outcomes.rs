//! The table of outcomes: sealing, forgetting and what is never claimed.

use ibiscove_routing::outcomes::{OutcomeTable, OutcomeTableSettings};
use ibiscove_types::{Outcome, Reason, RequestId};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn id(text: &str) -> RequestId {
    text.into()
}

fn small() -> OutcomeTable {
    OutcomeTable::new(OutcomeTableSettings {
        capacity: 3,
        retention: 10 * SECOND,
        seal_retention: 100 * SECOND,
        transit_margin: 2 * SECOND,
    })
}

#[test]
fn a_sealed_request_never_starts() {
    let now = Instant::now();
    let mut outcomes = OutcomeTable::default();
    let known = outcomes.query(&id("a"), Some(now), true, now);
    assert_eq!(known.outcome, Outcome::NotRun);
    assert_eq!(outcomes.begin(&id("a"), now), Err(Reason::Sealed));
    let later = now + 1_000 * SECOND;
    assert_eq!(outcomes.begin(&id("a"), later), Err(Reason::Sealed));
}

#[test]
fn a_request_starts_once() {
    let now = Instant::now();
    let mut outcomes = OutcomeTable::default();
    assert_eq!(outcomes.begin(&id("a"), now), Ok(()));
    assert_eq!(outcomes.begin(&id("a"), now), Err(Reason::InProgress));
    outcomes.end("a", Outcome::Ran, None, Some(201));
    assert_eq!(outcomes.begin(&id("a"), now), Err(Reason::InProgress));
}

#[test]
fn a_running_request_is_neither_sealed_nor_called_not_run() {
    let now = Instant::now();
    let mut outcomes = OutcomeTable::default();
    outcomes.begin(&id("a"), now).expect("a new id");
    let known = outcomes.query(&id("a"), Some(now), true, now);
    assert_eq!(known.outcome, Outcome::Unknown);
    outcomes.end("a", Outcome::Ran, None, Some(200));
    let known = outcomes.query(&id("a"), Some(now), true, now);
    assert_eq!((known.outcome, known.status), (Outcome::Ran, Some(200)));
}

#[test]
fn asking_without_sealing_promises_nothing() {
    let now = Instant::now();
    let mut outcomes = OutcomeTable::default();
    let known = outcomes.query(&id("a"), Some(now), false, now);
    assert_eq!(known.outcome, Outcome::Unknown);
    assert_eq!(outcomes.begin(&id("a"), now), Ok(()));
}

#[test]
fn an_unknown_age_promises_nothing() {
    let now = Instant::now();
    let known = OutcomeTable::default().query(&id("a"), None, true, now);
    assert_eq!(known.outcome, Outcome::Unknown);
}

/// A request that ran and was forgotten must not be called `not-run`.
#[test]
fn what_was_forgotten_is_unknown() {
    let began = Instant::now();
    let mut outcomes = small();
    for name in ["a", "b", "c", "d"] {
        outcomes.begin(&id(name), began).expect("room is made");
        outcomes.end(name, Outcome::Ran, None, Some(200));
    }
    let known = outcomes.query(&id("a"), Some(began), true, began + SECOND);
    assert_eq!(known.outcome, Outcome::Unknown);
    let slow = outcomes.query(&id("e"), Some(began + SECOND), true, began + 2 * SECOND);
    assert_eq!(
        slow.outcome,
        Outcome::Unknown,
        "the question may have been on its way"
    );
    let later = began + 3 * SECOND;
    let young = outcomes.query(&id("f"), Some(later), true, later);
    assert_eq!(young.outcome, Outcome::NotRun);
}

#[test]
fn a_full_table_keeps_seals_and_running_requests() {
    let now = Instant::now();
    let mut outcomes = small();
    outcomes.begin(&id("running"), now).expect("room");
    outcomes.query(&id("sealed"), Some(now), true, now);
    outcomes.query(&id("other"), Some(now), true, now);
    let later = now + 20 * SECOND;
    assert_eq!(outcomes.begin(&id("new"), later), Err(Reason::Overloaded));
    assert_eq!(outcomes.begin(&id("sealed"), later), Err(Reason::Sealed));
    let known = outcomes.query(&id("late"), Some(later), true, later);
    assert_eq!(known.outcome, Outcome::Unknown, "no room for a seal");
    let past_seals = now + 200 * SECOND;
    assert_eq!(outcomes.begin(&id("new"), past_seals), Ok(()));
    assert_eq!(outcomes.len(), 2);
}

/// Whatever the order of events, an id that was once called `not-run` never
/// starts, and none starts twice.
#[test]
fn random_orders_keep_the_promises() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut outcomes = small();
        let mut now = Instant::now();
        let mut sent = [None; 12];
        let (mut started, mut refused) = ([false; 12], [false; 12]);
        for _ in 0..200 {
            now += Duration::from_millis(rng.u64(..2_000));
            let n = rng.usize(..12);
            let name = id(&n.to_string());
            let sent = *sent[n].get_or_insert(now);
            match rng.u8(..3) {
                // A request waits for less than a seal's life on its way.
                0 if now - sent < 60 * SECOND && !started[n] => {
                    if outcomes.begin(&name, now).is_ok() {
                        assert!(!refused[n], "seed {seed}: {n} ran after not-run");
                        started[n] = true;
                    }
                }
                1 if started[n] => outcomes.end(&name, Outcome::Ran, None, Some(200)),
                _ => {
                    let known = outcomes.query(&name, Some(sent), true, now);
                    if known.outcome == Outcome::NotRun {
                        assert!(!started[n], "seed {seed}: {n} ran, told not-run");
                        refused[n] = true;
                    }
                }
            }
        }
    }
}
