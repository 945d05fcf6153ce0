//! Detection and probing of an upstream that does not respond.

use ibiscove_routing::admission::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Dequeued,
};
use ibiscove_routing::hang_detector::HangDetector;
use std::time::{Duration, Instant};
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[parameterized(
    no_response_for_a_second = { 6, 1_000, true },
    few_losses_of_a_reset_connection = { 3, 1_000, false },
    recent_response = { 6, 100, false },
)]
fn only_many_requests_without_a_recent_response_make_an_upstream_unresponsive(
    without_response: u32,
    ms_since_response: u64,
    is_unresponsive: bool,
) {
    let start = Instant::now();
    let mut detector = HangDetector::default();
    detector.record_response(start);
    for _ in 0..without_response {
        detector.record_no_response();
    }
    assert_eq!(
        detector.is_unresponsive(start + ms(ms_since_response)),
        is_unresponsive
    );
}

#[test]
fn the_first_response_makes_an_upstream_responsive() {
    let start = Instant::now();
    let mut detector = HangDetector::default();
    for _ in 0..10 {
        detector.record_no_response();
    }
    assert!(detector.is_unresponsive(start));
    detector.record_response(start);
    assert!(!detector.is_unresponsive(start + ms(900)));
}

/// All nine slots hang: queued requests are refused immediately, and one request at
/// a time probes whether the upstream has recovered.
#[test]
fn an_unresponsive_upstream_gets_one_request_at_a_time() {
    let now = Instant::now();
    let req = AdmissionRequest {
        priority: 1,
        target: now + ms(400),
        deadline: now + ms(1_500),
        estimate: ms(100),
        upper_estimate: ms(150),
        may_miss_target: true,
    };
    let mut admission = AdmissionController::new(9);
    let running = (0..20).filter(|_| admission.offer(req, || "old", now) == AdmissionDecision::Run);
    let running = running.count();
    assert_eq!(running, 9);
    let refused = admission.set_probing(true);
    assert_eq!(refused.len(), count_refused(&refused));
    assert!(!refused.is_empty(), "queued requests are refused");
    for _ in 0..running {
        assert!(matches!(
            admission.offer(req, || "new", now),
            AdmissionDecision::Refuse { .. }
        ));
        assert!(admission.finish(ms(100), now).is_empty());
    }
    assert_eq!(
        admission.offer(req, || "probe", now),
        AdmissionDecision::Run
    );
    assert!(matches!(
        admission.offer(req, || "second", now),
        AdmissionDecision::Refuse { .. }
    ));
    assert!(admission.set_probing(false).is_empty());
    assert_eq!(
        admission.offer(req, || "again", now),
        AdmissionDecision::Run
    );
}

fn count_refused(dequeued: &[Dequeued<&str>]) -> usize {
    let refused = dequeued
        .iter()
        .filter(|dequeued| matches!(dequeued, Dequeued::Refuse(..)));
    refused.count()
}
