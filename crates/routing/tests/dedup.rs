//! Deduplication window: duplicate requests, moves, takeovers and bounds.

use ibiscove_routing::dedup::{
    Decision, DedupSettings, DedupWindow, KeyedRequest, OwnershipTerm, StoredResponse, TermOrigin,
};
use ibiscove_routing::first_sent::age_of_key;
use ibiscove_types::{Outcome, Reason};
use std::time::{Duration, Instant, UNIX_EPOCH};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn settings() -> DedupSettings {
    DedupSettings {
        window: 100 * SECOND,
        max_bytes: 2_000,
        clock_margin: 2 * SECOND,
        handover_wait: SECOND,
    }
}

fn keyed(key: &str, first_sent: Option<Instant>) -> KeyedRequest {
    KeyedRequest {
        slot: Some(7),
        key: key.into(),
        fingerprint: 1,
        first_sent,
    }
}

fn term(origin: TermOrigin, since: Instant) -> OwnershipTerm {
    OwnershipTerm {
        fence: Some(5),
        origin,
        since,
    }
}

fn response() -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Some(b"booked".to_vec()),
    }
}

const DUPLICATE_UNKNOWN: Decision = Decision::Refuse(Outcome::Unknown, Reason::DuplicateUnknown);

#[test]
fn a_duplicate_gets_the_stored_response() {
    let now = Instant::now();
    let fresh = term(TermOrigin::Fresh, now);
    let mut window = DedupWindow::new(settings());
    let req = keyed("k", None);
    assert_eq!(window.begin(&req, fresh, now), Decision::Run);
    let running = Decision::Refuse(Outcome::Unknown, Reason::InProgress);
    assert_eq!(window.begin(&req, fresh, now), running);
    window.end(req.slot, &req.key, Outcome::Ran, response());
    assert_eq!(window.begin(&req, fresh, now), Decision::Replay(response()));
    let other = KeyedRequest {
        fingerprint: 2,
        ..req
    };
    let reused = Decision::Refuse(Outcome::NotRun, Reason::KeyReused);
    assert_eq!(window.begin(&other, fresh, now), reused);
}

#[test]
fn a_request_that_did_not_run_may_run_again_and_one_with_unknown_outcome_may_not() {
    let now = Instant::now();
    let fresh = term(TermOrigin::Fresh, now);
    let mut window = DedupWindow::new(settings());
    let req = keyed("k", None);
    window.begin(&req, fresh, now);
    window.end(
        req.slot,
        &req.key,
        Outcome::NotRun,
        StoredResponse::default(),
    );
    assert_eq!(window.bytes(), 0);
    assert_eq!(window.begin(&req, fresh, now), Decision::Run);
    window.end(
        req.slot,
        &req.key,
        Outcome::Unknown,
        StoredResponse::default(),
    );
    assert_eq!(window.begin(&req, fresh, now), DUPLICATE_UNKNOWN);
}

#[parameterized(
    before_the_term = { Some(-10), 20, false },
    within_the_margin = { Some(1), 20, false },
    in_the_term = { Some(5), 20, true },
    age_unknown_within_the_window = { None, 20, false },
    age_unknown_past_the_window = { None, 100, true },
)]
fn after_a_takeover_only_requests_first_sent_in_the_term_run(
    first_sent: Option<i64>,
    now: u64,
    runs: bool,
) {
    let since = Instant::now() + 1_000 * SECOND;
    let at = |offset: i64| match u64::try_from(offset) {
        Ok(later) => since + Duration::from_secs(later),
        Err(_) => since - Duration::from_secs(offset.unsigned_abs()),
    };
    let mut window = DedupWindow::new(settings());
    let now = since + Duration::from_secs(now);
    let req = keyed("k", first_sent.map(at));
    let decision = window.begin(&req, term(TermOrigin::Lost, since), now);
    let expected = if runs {
        Decision::Run
    } else {
        DUPLICATE_UNKNOWN
    };
    assert_eq!(decision, expected);
}

#[test]
fn a_planned_move_hands_the_window_over() {
    let now = Instant::now();
    let mut previous = DedupWindow::new(settings());
    for (key, outcome) in [("ran", Outcome::Ran), ("lost", Outcome::Unknown)] {
        let req = keyed(key, None);
        previous.begin(&req, term(TermOrigin::Fresh, now), now);
        previous.end(req.slot, &req.key, outcome, response());
    }
    let later = now + 3 * SECOND;
    let moved = term(TermOrigin::HandedOver, later);
    let mut new = DedupWindow::new(settings());
    let moving = Decision::Refuse(Outcome::NotRun, Reason::Moving);
    assert_eq!(new.begin(&keyed("ran", None), moved, later), moving);
    let after_wait = later + 2 * SECOND;
    assert_eq!(
        new.begin(&keyed("ran", None), moved, after_wait),
        DUPLICATE_UNKNOWN
    );
    new.import(7, 5, previous.export(7, later), later);
    let duplicate = Decision::Replay(response());
    assert_eq!(new.begin(&keyed("ran", None), moved, after_wait), duplicate);
    assert_eq!(
        new.begin(&keyed("lost", None), moved, after_wait),
        DUPLICATE_UNKNOWN
    );
    assert_eq!(
        new.begin(&keyed("new", None), moved, after_wait),
        Decision::Run
    );
}

/// A window of an earlier term says nothing about requests that ran after it.
#[test]
fn a_handover_with_another_fence_is_ignored() {
    let now = Instant::now();
    let mut window = DedupWindow::new(settings());
    window.import(7, 4, [], now);
    let later = now + 5 * SECOND;
    let moved = term(TermOrigin::HandedOver, now);
    assert_eq!(
        window.begin(&keyed("k", None), moved, later),
        DUPLICATE_UNKNOWN
    );
}

#[test]
fn memory_is_bounded_and_evicted_requests_do_not_run_again() {
    let now = Instant::now();
    let fresh = term(TermOrigin::Fresh, now);
    let mut window = DedupWindow::new(settings());
    for n in 0..100 {
        let at = now + Duration::from_millis(n);
        let req = keyed(&n.to_string(), None);
        if window.begin(&req, fresh, at) == Decision::Run {
            window.end(req.slot, &req.key, Outcome::Ran, response());
        }
        assert!(window.bytes() <= settings().max_bytes);
    }
    let later = now + 5 * SECOND;
    let duplicate = keyed("0", Some(now));
    assert_eq!(window.begin(&duplicate, fresh, later), DUPLICATE_UNKNOWN);
}

#[test]
fn running_requests_are_never_evicted() {
    let now = Instant::now();
    let fresh = term(TermOrigin::Fresh, now);
    let mut window = DedupWindow::new(settings());
    let running_reqs: Vec<_> = (0..100)
        .map(|n| keyed(&n.to_string(), Some(now)))
        .filter(|req| window.begin(req, fresh, now) == Decision::Run)
        .collect();
    assert!(!running_reqs.is_empty() && running_reqs.len() < 100);
    let running = Decision::Refuse(Outcome::Unknown, Reason::InProgress);
    for req in &running_reqs {
        assert_eq!(window.begin(req, fresh, now + 500 * SECOND), running);
    }
}

#[parameterized(
    version_7 = { "00000000-03e8-7000-8000-000000000000", Some(1_000) },
    version_4 = { "00000000-03e8-4000-8000-000000000000", None },
    from_the_future = { "00000000-ffff-7000-8000-000000000000", None },
    too_short = { "00000000-03e8-7000-8000-00000000000", None },
    not_a_uuid = { "order-7", None },
    not_ascii = { "00000000-03e8-7000-8000-0000000000é0", None },
)]
fn only_a_past_version_7_uuid_has_an_age(key: &str, age_ms: Option<u64>) {
    let wall = UNIX_EPOCH + Duration::from_millis(2_000);
    assert_eq!(age_of_key(key, wall), age_ms.map(Duration::from_millis));
}
