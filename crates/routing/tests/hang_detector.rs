//! An upstream that hangs.

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
    all_lost_for_a_second = { 6, 1_000, true },
    a_reset_connection = { 3, 1_000, false },
    answers_between = { 6, 100, false },
)]
fn silence_is_told_from_a_few_losses(lost: u32, since_answer: u64, is_silent: bool) {
    let start = Instant::now();
    let mut silence = HangDetector::default();
    silence.record_response(start);
    for _ in 0..lost {
        silence.record_no_response();
    }
    assert_eq!(silence.is_unresponsive(start + ms(since_answer)), is_silent);
}

#[test]
fn the_first_answer_ends_a_silence() {
    let start = Instant::now();
    let mut silence = HangDetector::default();
    for _ in 0..10 {
        silence.record_no_response();
    }
    assert!(silence.is_unresponsive(start));
    silence.record_response(start);
    assert!(!silence.is_unresponsive(start + ms(900)));
}

/// Nine slots of which each hangs: those that wait are refused at once, and one
/// request at a time finds out when the upstream is back.
#[test]
fn a_silent_upstream_is_probed_by_one_request_at_a_time() {
    let now = Instant::now();
    let ask = AdmissionRequest {
        priority: 1,
        target: now + ms(400),
        deadline: now + ms(1_500),
        estimate: ms(100),
        upper_estimate: ms(150),
        may_be_late: true,
    };
    let mut admission = AdmissionController::new(9);
    let running = (0..20).filter(|_| admission.offer(ask, || "old", now) == AdmissionDecision::Run);
    let running = running.count();
    assert_eq!(running, 9);
    let refused = admission.set_probing(true);
    assert_eq!(refused.len(), admission_waited(&refused));
    assert!(!refused.is_empty(), "those that waited are refused");
    for _ in 0..running {
        assert!(matches!(
            admission.offer(ask, || "new", now),
            AdmissionDecision::Refuse { .. }
        ));
        assert!(admission.finish(ms(100), now).is_empty());
    }
    assert_eq!(
        admission.offer(ask, || "probe", now),
        AdmissionDecision::Run
    );
    assert!(matches!(
        admission.offer(ask, || "second", now),
        AdmissionDecision::Refuse { .. }
    ));
    assert!(admission.set_probing(false).is_empty());
    assert_eq!(
        admission.offer(ask, || "again", now),
        AdmissionDecision::Run
    );
}

fn admission_waited(left: &[Dequeued<&str>]) -> usize {
    let refused = left
        .iter()
        .filter(|left| matches!(left, Dequeued::Refuse(..)));
    refused.count()
}
