//! Outcome table: sealing, eviction and the guarantee behind `not-run`.

use ibiscove_routing::outcomes::{OutcomeTable, OutcomeTableSettings};
use ibiscove_types::{Outcome, Reason, RequestId};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn id(text: &str) -> RequestId {
    text.into()
}

fn small_table() -> OutcomeTable {
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
    let mut table = OutcomeTable::default();
    let recorded = table.query(&id("a"), Some(now), true, now);
    assert_eq!(recorded.outcome, Outcome::NotRun);
    assert_eq!(table.begin(&id("a"), now), Err(Reason::Sealed));
    let later = now + 1_000 * SECOND;
    assert_eq!(table.begin(&id("a"), later), Err(Reason::Sealed));
}

#[test]
fn a_request_starts_once() {
    let now = Instant::now();
    let mut table = OutcomeTable::default();
    assert_eq!(table.begin(&id("a"), now), Ok(()));
    assert_eq!(table.begin(&id("a"), now), Err(Reason::InProgress));
    table.end("a", Outcome::Ran, None, Some(201));
    assert_eq!(table.begin(&id("a"), now), Err(Reason::InProgress));
}

#[test]
fn a_running_request_is_neither_sealed_nor_reported_as_not_run() {
    let now = Instant::now();
    let mut table = OutcomeTable::default();
    table.begin(&id("a"), now).expect("a new id");
    let recorded = table.query(&id("a"), Some(now), true, now);
    assert_eq!(recorded.outcome, Outcome::Unknown);
    table.end("a", Outcome::Ran, None, Some(200));
    let recorded = table.query(&id("a"), Some(now), true, now);
    assert_eq!(
        (recorded.outcome, recorded.status),
        (Outcome::Ran, Some(200))
    );
}

#[test]
fn a_query_without_seal_leaves_the_outcome_unknown() {
    let now = Instant::now();
    let mut table = OutcomeTable::default();
    let recorded = table.query(&id("a"), Some(now), false, now);
    assert_eq!(recorded.outcome, Outcome::Unknown);
    assert_eq!(table.begin(&id("a"), now), Ok(()));
}

#[test]
fn a_query_without_send_time_leaves_the_outcome_unknown() {
    let now = Instant::now();
    let recorded = OutcomeTable::default().query(&id("a"), None, true, now);
    assert_eq!(recorded.outcome, Outcome::Unknown);
}

/// A request that ran and was evicted must not be reported as `not-run`.
#[test]
fn the_outcome_of_an_evicted_request_is_unknown() {
    let start = Instant::now();
    let mut table = small_table();
    for request_id in ["a", "b", "c", "d"] {
        table
            .begin(&id(request_id), start)
            .expect("finished requests are evicted");
        table.end(request_id, Outcome::Ran, None, Some(200));
    }
    let recorded = table.query(&id("a"), Some(start), true, start + SECOND);
    assert_eq!(recorded.outcome, Outcome::Unknown);
    let within_margin = table.query(&id("e"), Some(start + SECOND), true, start + 2 * SECOND);
    assert_eq!(
        within_margin.outcome,
        Outcome::Unknown,
        "the query may have been in transit"
    );
    let later = start + 3 * SECOND;
    let past_margin = table.query(&id("f"), Some(later), true, later);
    assert_eq!(past_margin.outcome, Outcome::NotRun);
}

#[test]
fn a_full_table_keeps_seals_and_running_requests() {
    let now = Instant::now();
    let mut table = small_table();
    table.begin(&id("running"), now).expect("free capacity");
    table.query(&id("sealed"), Some(now), true, now);
    table.query(&id("other"), Some(now), true, now);
    let later = now + 20 * SECOND;
    assert_eq!(table.begin(&id("new"), later), Err(Reason::Overloaded));
    assert_eq!(table.begin(&id("sealed"), later), Err(Reason::Sealed));
    let recorded = table.query(&id("late"), Some(later), true, later);
    assert_eq!(
        recorded.outcome,
        Outcome::Unknown,
        "no free capacity for a seal"
    );
    let after_seals = now + 200 * SECOND;
    assert_eq!(table.begin(&id("new"), after_seals), Ok(()));
    assert_eq!(table.len(), 2);
}

/// Whatever the order of events, a request reported as `not-run` never starts, and
/// none starts twice.
#[test]
fn in_any_order_a_request_reported_not_run_never_starts() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut table = small_table();
        let mut now = Instant::now();
        let mut sent = [None; 12];
        let (mut started, mut reported_not_run) = ([false; 12], [false; 12]);
        for _ in 0..200 {
            now += Duration::from_millis(rng.u64(..2_000));
            let n = rng.usize(..12);
            let request_id = id(&n.to_string());
            let sent = *sent[n].get_or_insert(now);
            match rng.u8(..3) {
                // Requests are in transit for less than the seal retention.
                0 if now - sent < 60 * SECOND && !started[n] => {
                    if table.begin(&request_id, now).is_ok() {
                        assert!(!reported_not_run[n], "seed {seed}: {n} ran after not-run");
                        started[n] = true;
                    }
                }
                1 if started[n] => table.end(&request_id, Outcome::Ran, None, Some(200)),
                _ => {
                    let recorded = table.query(&request_id, Some(sent), true, now);
                    if recorded.outcome == Outcome::NotRun {
                        assert!(!started[n], "seed {seed}: {n} ran, reported not-run");
                        reported_not_run[n] = true;
                    }
                }
            }
        }
    }
}
