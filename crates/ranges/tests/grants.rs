//! What a node may grant, for how long, and when a range is free again.

use ibiscove_ranges::grants::{GrantSettings, Grants, max_grant_duration};
use ibiscove_ranges::map::{Assignment, Transfer};
use ibiscove_ranges::{GrantCall, GrantReply, KeyRange, Owner, RangeMap, ReleaseReply};
use ibiscove_types::{SinceBoot, UpstreamIncarnation};
use std::time::Duration;
use yare::parameterized;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn life() -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: "upstream".into(),
        born_ms: 1,
    }
}

fn owned() -> Vec<Assignment> {
    let owner = Owner {
        node: "node".into(),
        life: life(),
    };
    let whole = Transfer {
        range: KeyRange::ALL,
        to: Some(owner),
        handover: Some("token".into()),
    };
    RangeMap::unowned()
        .with_transfers(&[whole])
        .assignments()
        .to_vec()
}

fn due(grants: &mut Grants, lease_end: SinceBoot, now: SinceBoot) -> Option<GrantCall> {
    grants.next_due_call(&GrantSettings::default(), &life(), lease_end, now)
}

#[parameterized(
    long_lease = { 60_000, Some(4_500) },
    short_lease = { 2_140, Some(2_000) },
    hardly_any = { 150, None },
    ended = { 0, None },
)]
fn a_grant_ends_with_the_lease_on_the_slowest_clock(left: u64, hold: Option<u64>) {
    let settings = GrantSettings::default();
    let given = max_grant_duration(&settings, ms(1_000 + left), ms(1_000));
    assert_eq!(given.map(|hold| hold.as_millis() as u64), hold);
    if let Some(given) = given {
        let expiry = settings.max_delivery_delay + given.mul_f64(1.0 + settings.max_clock_drift);
        assert!(expiry <= ms(left), "it outlasts the lease");
    }
}

#[test]
fn keys_are_served_once_the_grant_is_confirmed_and_until_it_runs_out() {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    assert_eq!(call.handover.as_deref(), Some("token"));
    assert!(
        !grants.is_granted(7, ms(1_001)),
        "nothing is served before the answer"
    );
    grants.apply_reply(&call, GrantReply::Granted, ms(1_000));
    assert!(grants.is_granted(7, ms(1_002)));
    assert!(grants.is_granted(7, ms(5_499)));
    assert!(!grants.is_granted(7, ms(5_500)));
    assert!(
        due(&mut grants, ms(60_000), ms(2_000)).is_none(),
        "not due yet"
    );
    let renewal = due(&mut grants, ms(60_000), ms(2_500)).expect("the renewal is due");
    assert_eq!(renewal.handover, None, "a handover is told once");
}

#[parameterized(
    released = { ReleaseReply::Released { handover: None }, GrantReply::Granted, 0 },
    released_after_a_lost_grant = { ReleaseReply::Released { handover: None }, GrantReply::Unanswered, 5_690 },
    not_answered = { ReleaseReply::Unanswered, GrantReply::Granted, 5_690 },
    process_ended = { ReleaseReply::Ended, GrantReply::Unanswered, 0 },
)]
fn a_range_is_free_when_no_grant_of_it_can_last(reply: ReleaseReply, grant: GrantReply, free: u64) {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    grants.apply_reply(&call, grant, ms(1_000));
    grants.begin_release(&life(), KeyRange::ALL);
    assert!(
        !grants.is_granted(7, ms(1_010)),
        "nothing new is served during a release"
    );
    assert_eq!(grants.transferable_from(KeyRange::ALL, &reply), ms(free));
}

#[test]
fn a_release_waits_for_the_answer_to_a_grant_that_is_under_way() {
    let mut grants = Grants::default();
    grants.sync_with(&owned());
    let call = due(&mut grants, ms(60_000), ms(1_000)).expect("the grant is due");
    let part = KeyRange {
        first: 100,
        last: 200,
    };
    let calls = grants.begin_release(&life(), part);
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].range, part);
    assert!(grants.has_pending_call(part));
    grants.apply_reply(&call, GrantReply::Granted, ms(1_000));
    assert!(!grants.has_pending_call(part));
    assert!(grants.is_granted(99, ms(1_100)), "the rest is served on");
    assert!(!grants.is_granted(150, ms(1_100)));
}

#[test]
fn what_an_earlier_run_granted_counts_until_it_must_have_run_out() {
    let settings = GrantSettings::default();
    let grants = Grants::after_restart(&settings, ms(1_000));
    assert_eq!(grants.latest_expiry(), ms(5_690));
    let released = ReleaseReply::Released { handover: None };
    assert_eq!(
        grants.transferable_from(KeyRange::ALL, &released),
        ms(5_690)
    );
}
