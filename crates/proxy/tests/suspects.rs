//! How a node runs copies of suspected requests, and tells other nodes of them.

use hyper::HeaderMap;
use ibiscove_proxy::headers::{self, CRASH_RECORD};
use ibiscove_proxy::suspects::{Quarantined, SentCopy, Suspects, Turn};
use ibiscove_types::{Fingerprint, UpstreamIncarnation};
use smol::future::FutureExt;
use std::time::{Duration, Instant, SystemTime};
use yare::parameterized;

const REQUEST: Fingerprint = 7;

fn suspects() -> Suspects {
    Suspects::new(Instant::now(), SystemTime::now())
}

fn crash(suspects: &Suspects) {
    let copy = SentCopy {
        fingerprint: REQUEST,
        when_sent: suspects.suspicion(Some(REQUEST)),
    };
    let upstream = UpstreamIncarnation {
        id: "a".into(),
        born_ms: 1,
    };
    suspects.record_crash(copy, &upstream, Instant::now());
}

/// Returns the turn of a copy; none while it has to wait.
async fn turn_at_once(suspects: &Suspects) -> Option<Result<Option<Turn>, Quarantined>> {
    let turn = async { Some(suspects.take_turn(Some(REQUEST)).await) };
    let waiting = async {
        smol::Timer::after(Duration::from_millis(100)).await;
        None
    };
    turn.or(waiting).await
}

/// Guards against several copies of a suspect at an upstream, or at several upstreams
/// that all crash before the first crash is known.
#[test]
fn copies_of_a_suspect_run_one_at_a_time() {
    smol::block_on(async {
        let suspects = suspects();
        let unsuspected = turn_at_once(&suspects).await.expect("it needs no turn");
        assert!(unsuspected.expect("it may run").is_none());

        crash(&suspects);
        let first = turn_at_once(&suspects).await.expect("it is the only copy");
        assert!(first.as_ref().is_ok_and(Option::is_some));
        assert!(turn_at_once(&suspects).await.is_none(), "the second waits");
        drop(first);
        assert!(turn_at_once(&suspects).await.is_some(), "the next one runs");
    });
}

/// Guards against callers who wait behind a request that is innocent, or in quarantine.
#[test]
fn copies_that_wait_go_on_when_the_request_is_judged() {
    smol::block_on(async {
        let cleared = suspects();
        crash(&cleared);
        let _running = turn_at_once(&cleared).await.expect("it is the only copy");
        let waiting = smol::spawn({
            let suspects = cleared.clone();
            async move {
                suspects
                    .take_turn(Some(REQUEST))
                    .await
                    .map(|turn| turn.is_some())
            }
        });
        cleared.record_success(Some(REQUEST));
        assert_eq!(waiting.await, Ok(false), "a cleared request needs no turn");

        let refused = suspects();
        crash(&refused);
        let _running = turn_at_once(&refused).await.expect("it is the only copy");
        let waiting = smol::spawn({
            let suspects = refused.clone();
            async move {
                suspects
                    .take_turn(Some(REQUEST))
                    .await
                    .map(|turn| turn.is_some())
            }
        });
        crash(&refused);
        crash(&refused);
        assert_eq!(waiting.await, Err(Quarantined));
    });
}

#[test]
fn record_in_a_header_is_taken_over_and_passed_on() {
    let (from, to) = (suspects(), suspects());
    crash(&from);
    let mut response = HeaderMap::new();
    from.write_header(Some(REQUEST), &mut response);
    to.merge_header(&response, "node-1", Instant::now());
    assert_eq!(to.suspicion(Some(REQUEST)).crashes, 1);
    assert_eq!(to.digest(), from.digest());
    assert_eq!(to.take_news(), from.take_news());
    to.merge_header(&response, "node-1", Instant::now());
    assert!(to.take_news().is_empty(), "it is passed on once");
}

/// Guards against a process that ends, or believes anything, because of a malformed record.
#[parameterized(
    empty = { "" },
    no_object = { "3" },
    wrong_length = { r#"{"fingerprint":"07","suspicion":{"clearings":0,"crashes":3},"crashed_ms":1}"# },
    overflow = { r#"{"fingerprint":"00000000000000000000000000000007","suspicion":{"clearings":0,"crashes":300},"crashed_ms":1}"# },
    negative = { r#"{"fingerprint":"00000000000000000000000000000007","suspicion":{"clearings":-1,"crashes":3},"crashed_ms":1}"# },
)]
fn malformed_record_is_ignored(text: &str) {
    let suspects = suspects();
    let mut response = HeaderMap::new();
    response.insert(CRASH_RECORD, headers::value(text));
    suspects.merge_header(&response, "node-1", Instant::now());
    assert!(suspects.records().is_empty());
    assert_eq!(suspects.digest(), 0);
}
