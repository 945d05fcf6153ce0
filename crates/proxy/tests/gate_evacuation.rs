//! Which requests a gate refuses while its data centre is evacuated.

use ibiscove_proxy::gate::Evacuation;
use ibiscove_types::Reason;
use std::time::{Duration, Instant};
use yare::parameterized;

const HANDOVER: Duration = Duration::from_secs(2);

#[parameterized(
    shared_at_once = { false, Duration::ZERO, Some(Reason::Evacuated) },
    shared_later = { false, HANDOVER, Some(Reason::Evacuated) },
    divided_during_handover = { true, Duration::ZERO, None },
    divided_at_the_end = { true, HANDOVER, Some(Reason::Moving) },
)]
fn an_evacuated_upstream_gets_no_more(is_divided: bool, after: Duration, expected: Option<Reason>) {
    let now = Instant::now();
    let evacuation = Evacuation::Evacuated {
        handover_ends: now + HANDOVER,
    };
    assert_eq!(evacuation.refusal(is_divided, now + after), expected);
}

#[test]
fn a_gate_that_has_heard_nothing_yet_admits_nothing() {
    let now = Instant::now();
    let unknown = Evacuation::Unknown;
    // Entries retry both, for the operator has not said that nothing may be sent.
    assert_eq!(unknown.refusal(false, now), Some(Reason::NoUpstream));
    assert_eq!(unknown.refusal(true, now), Some(Reason::Moving));
    assert_eq!(Evacuation::None.refusal(true, now), None);
}
