//! Each check accepts a valid history and detects one altered to violate its
//! promise.

use ibiscove_config::change::ConfigKind;
use ibiscove_replay::{
    CallerResponse, Change, ChangeResult, DrainResult, Execution, History, ParseError, Promise,
    Request, Trace, VersionSample, check,
};
use ibiscove_types::Outcome;
use std::time::{Duration, Instant};
use yare::parameterized;

/// The limit of `drain_gets_nothing_new`.
const AFTER_DRAIN: Duration = Duration::from_secs(3);

fn deposit_request() -> Request {
    Request {
        order: "deposit".to_owned(),
        node: "a".to_owned(),
        method: "POST".to_owned(),
        service: "deposits".to_owned(),
        key: "diop".to_owned(),
        idempotency_key: None,
        repeats: 0,
        timeout_ms: None,
    }
}

fn lookup_request() -> Request {
    Request {
        order: "look".to_owned(),
        method: "GET".to_owned(),
        ..deposit_request()
    }
}

fn response(request: Request, started: Instant) -> CallerResponse {
    CallerResponse {
        echoed: Some(request.target()),
        request_id: Some(format!("id-{}", request.order)),
        request,
        sent: started,
        node: "a".to_owned(),
        status: Some(200),
        outcome: Some(Outcome::Ran),
    }
}

fn execution(request: &Request, started: Instant) -> Execution {
    Execution {
        upstream: "a".to_owned(),
        service: request.service.clone(),
        request_id: format!("id-{}", request.order),
        target: request.target(),
        slot: Some((7, 2)),
        started,
    }
}

fn change(author: &str, accepted: Option<u64>) -> ChangeResult {
    ChangeResult {
        change: Change {
            author: author.to_owned(),
            node: "a".to_owned(),
            kind: ConfigKind::Rules,
            expect: 0,
            body: String::new(),
        },
        accepted,
    }
}

fn sample(rules: u64) -> VersionSample {
    VersionSample {
        node: "a".to_owned(),
        inventory: 0,
        rules,
    }
}

/// Returns a history that satisfies every promise.
fn valid_history() -> History {
    let started = Instant::now();
    History {
        runs: vec![
            execution(&deposit_request(), started),
            execution(&lookup_request(), started),
        ],
        responses: vec![
            response(deposit_request(), started),
            response(lookup_request(), started),
        ],
        changes: vec![change("amina", Some(1)), change("karim", None)],
        samples: vec![sample(0), sample(1)],
        last_samples: vec![sample(1)],
        drains: vec![DrainResult {
            node: "a".to_owned(),
            started,
            completed: Some(started),
        }],
        slots: vec![("deposits".to_owned(), 7, Some(2))],
    }
}

fn trace(promise: Promise) -> Trace {
    let promise = serde_json::to_string(&promise).expect("plain data");
    Trace::parse(&format!("{{\"at_ms\":0,\"promise\":{promise}}}")).expect("a trace")
}

fn duplicate_first_run(history: &mut History) {
    let duplicate = history.runs[0].clone();
    history.runs.push(duplicate);
}

#[parameterized(
    two_owners_under_one_fence = { Promise::SingleOwner, |h| h.runs[1].upstream = "b".to_owned() },
    lower_fence_after_a_higher_one = { Promise::SingleOwner, |h| {
        h.runs[1].slot = Some((7, 1));
        h.runs[1].upstream = "b".to_owned();
        h.runs[1].started += AFTER_DRAIN;
    } },
    slot_without_owner = { Promise::AssignmentSurvives, |h| h.slots[0].2 = None },
    owner_fence_below_a_served_one = { Promise::AssignmentSurvives, |h| h.slots[0].2 = Some(1) },
    no_slots = { Promise::AssignmentSurvives, |h| h.slots.clear() },
    response_to_another_request = { Promise::WholeAnswers, |h| h.responses[0].echoed = Some("GET /x".to_owned()) },
    truncated_response = { Promise::WholeAnswers, |h| h.responses[0].echoed = None },
    reported_not_run_but_ran = { Promise::NotRunNeverRan, |h| h.responses[0].outcome = Some(Outcome::NotRun) },
    reported_not_run_without_id_but_ran = { Promise::NotRunNeverRan, |h| {
        h.responses[0].outcome = Some(Outcome::NotRun);
        h.responses[0].request_id = None;
    } },
    request_ran_twice = { Promise::AtMostOnce, duplicate_first_run },
    request_started_after_a_drain = { Promise::DrainGetsNothingNew { after_ms: 3000 }, |h| {
        h.runs[0].started += AFTER_DRAIN + Duration::from_millis(1);
    } },
    no_response_during_a_drain = { Promise::NothingCut, |h| h.responses[0].status = None },
    unknown_outcome_during_a_drain = { Promise::NothingCut, |h| {
        h.responses[0].outcome = Some(Outcome::Unknown);
    } },
    failed_drain = { Promise::NothingCut, |h| h.drains[0].completed = None },
    change_missing_on_a_node = { Promise::ChangesStay, |h| {
        h.samples.clear();
        h.last_samples[0].rules = 0;
    } },
    reverted_change = { Promise::ChangesStay, |h| {
        h.samples = vec![sample(2), sample(1)];
    } },
    two_accepted_changes = { Promise::OneWinner, |h| h.changes[1].accepted = Some(2) },
    no_accepted_change = { Promise::OneWinner, |h| h.changes[0].accepted = None },
    request_that_never_ran = { Promise::Runs { order: "deposit".to_owned(), times: 1 }, |h| {
        h.runs.remove(0);
    } },
    idempotent_request_never_served = { Promise::AllServed, |h| h.responses[1].outcome = Some(Outcome::Unknown) },
    no_requests = { Promise::AllServed, |h| h.responses.clear() },
)]
fn violated_promise_is_detected(promise: Promise, violate: fn(&mut History)) {
    let trace = trace(promise.clone());
    let mut history = valid_history();
    assert_eq!(check(&trace, &history), [], "the valid history");
    violate(&mut history);
    let violations = check(&trace, &history);
    assert!(
        !violations.is_empty(),
        "no violation of {promise:?} was detected"
    );
    assert!(
        violations
            .iter()
            .all(|violation| violation.promise == promise)
    );
}

#[test]
fn trace_without_promise_or_out_of_order_is_rejected() {
    let about = "{\"at_ms\":1,\"about\":\"nothing\"}";
    assert!(matches!(Trace::parse(about), Err(ParseError::NoPromise)));
    let promise = "{\"at_ms\":0,\"promise\":\"single_owner\"}";
    let unordered = format!("{about}\n{promise}");
    assert!(matches!(
        Trace::parse(&unordered),
        Err(ParseError::Order { number: 2 })
    ));
    let unknown = "{\"at_ms\":0,\"storm\":{}}";
    assert!(matches!(
        Trace::parse(unknown),
        Err(ParseError::Line { number: 1, .. })
    ));
}
