//! Grants: their duration, what they permit to serve, and when a range may be
//! transferred.

use ibiscove_ranges::grants::{GrantSettings, Grants, max_grant_duration};
use ibiscove_ranges::map::Assignment;
use ibiscove_ranges::{GrantCall, GrantReply, KeyRange, Owner, ReleaseReply};
use ibiscove_types::{SinceBoot, UpstreamIncarnation};
use std::time::Duration;
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn incarnation() -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: "upstream".into(),
        born_ms: 1,
    }
}

fn owned() -> Vec<Assignment> {
    let owner = Owner {
        node: "node".into(),
        life: incarnation(),
    };
    vec![Assignment {
        range: KeyRange::ALL,
        owner: Some(owner),
        fence: 1,
        handover: Some("token".into()),
    }]
}

fn due(grants: &mut Grants, lease_end: SinceBoot, now: SinceBoot) -> Option<GrantCall> {
    grants.next_due_call(&GrantSettings::default(), &incarnation(), lease_end, now)
}

#[parameterized(
    long_lease = { 60_000, Some(4_500) },
    short_lease = { 2_440, Some(2_000) },
    shorter_than_the_delivery_delay = { 150, None },
    expired_lease = { 0, None },
)]
fn grant_expires_within_the_lease_on_the_slowest_clock(remaining: u64, expected: Option<u64>) {
    let settings = GrantSettings::default();
    let duration = max_grant_duration(&settings, ms(1_000 + remaining), ms(1_000));
    assert_eq!(
        duration.map(|duration| duration.as_millis() as u64),
        expected
    );
    if let Some(duration) = duration {
        let expiry =
            settings.max_delivery_delay() + duration.mul_f64(1.0 + settings.max_clock_drift);
        assert!(expiry <= ms(remaining), "the grant outlasts the lease");
    }
}

#[test]
fn keys_are_served_from_the_confirmation_until_the_grant_expires() {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    assert_eq!(call.handover.as_deref(), Some("token"));
    assert_eq!(call.send_by, ms(1_300));
    assert!(
        !grants.is_granted(7, ms(1_001)),
        "no key is served before the confirmation"
    );
    grants.apply_reply(&call, GrantReply::Granted, ms(1_000));
    assert!(grants.is_granted(7, ms(1_002)));
    assert!(grants.is_granted(7, ms(5_499)));
    assert!(!grants.is_granted(7, ms(5_500)));
    assert!(
        due(&mut grants, ms(60_000), ms(2_000)).is_none(),
        "the renewal is not due yet"
    );
    let renewal = due(&mut grants, ms(60_000), ms(2_500)).expect("the renewal is due");
    assert_eq!(renewal.handover, None, "the handover state is sent once");
}

#[parameterized(
    released = { ReleaseReply::Released { handover: None }, GrantReply::Granted, 0 },
    released_after_an_unanswered_grant = { ReleaseReply::Released { handover: None }, GrantReply::Unanswered, 5_990 },
    unanswered_release = { ReleaseReply::Unanswered, GrantReply::Granted, 5_990 },
    process_ended = { ReleaseReply::Ended, GrantReply::Granted, 0 },
    process_ended_after_an_unanswered_grant = { ReleaseReply::Ended, GrantReply::Unanswered, 5_990 },
)]
fn released_range_is_transferable_once_no_grant_of_it_can_be_valid(
    reply: ReleaseReply,
    grant: GrantReply,
    expected: u64,
) {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    grants.apply_reply(&call, grant, ms(1_000));
    grants.begin_release(&incarnation(), KeyRange::ALL);
    assert!(
        !grants.is_granted(7, ms(1_010)),
        "no key is served during its release"
    );
    assert_eq!(
        grants.transferable_from(KeyRange::ALL, &reply),
        ms(expected)
    );
}

#[test]
fn release_waits_for_the_response_to_a_pending_grant() {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    let released = KeyRange {
        first: 100,
        last: 200,
    };
    let calls = grants.begin_release(&incarnation(), released);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].range, released);
    assert!(grants.has_pending_call(released));
    grants.apply_reply(&call, GrantReply::Granted, ms(1_000));
    assert!(!grants.has_pending_call(released));
    assert!(
        grants.is_granted(99, ms(1_100)),
        "the other keys are still served"
    );
    assert!(!grants.is_granted(150, ms(1_100)));
}

#[test]
fn grants_before_a_restart_count_until_they_must_have_expired() {
    let settings = GrantSettings::default();
    let grants = Grants::after_restart(&settings, ms(1_000));
    assert_eq!(grants.latest_expiry(), ms(5_990));
    let reply = ReleaseReply::Released { handover: None };
    assert_eq!(grants.transferable_from(KeyRange::ALL, &reply), ms(5_990));
}

/// Guards against a call that is forgotten because its answer comes after the upstream's
/// process has ended: the next process may have taken it.
#[test]
fn a_call_that_is_answered_after_the_end_of_the_process_counts_until_it_expires() {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    grants.end();
    grants.apply_reply(&call, GrantReply::Granted, ms(1_000));
    let next = grants.after_end();
    let reply = ReleaseReply::Released { handover: None };
    assert_eq!(next.transferable_from(KeyRange::ALL, &reply), ms(5_990));
}
