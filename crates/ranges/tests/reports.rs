//! Grants in the answers to an upstream's reports: what a report proves, and
//! when a range may be transferred.

use ibiscove_ranges::grants::{GrantSettings, Grants};
use ibiscove_ranges::map::Claim;
use ibiscove_ranges::{
    Assignment, HeldRange, HoldReport, KeyRange, Owner, ReleaseReply, ReleasedRange,
};
use ibiscove_types::{Fence, UpstreamIncarnation};
use std::time::Duration;
use yare::parameterized;

const HOLD: Duration = Duration::from_millis(4_500);
const LOWER: KeyRange = KeyRange {
    first: 0,
    last: 999,
};
const UPPER: KeyRange = KeyRange {
    first: 1_000,
    last: 65_535,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the assignment of all keys under a fence.
fn owned(fence: Fence) -> Vec<Assignment> {
    let owner = Owner {
        node: "node".into(),
        life: UpstreamIncarnation {
            id: "upstream".into(),
            born_ms: 1,
        },
    };
    vec![Assignment {
        range: KeyRange::ALL,
        owner: Some(owner),
        fence,
        handover: Some("earlier".into()),
    }]
}

fn holding(range: KeyRange, fence: u64) -> HoldReport {
    HoldReport {
        held: vec![HeldRange { range, fence }],
        ..HoldReport::default()
    }
}

fn released(range: KeyRange, handover: &str) -> HoldReport {
    HoldReport {
        released: vec![ReleasedRange {
            range,
            handover: Some(handover.into()),
        }],
        ..HoldReport::default()
    }
}

/// Returns grants of all keys that were listed at 1 s, and listed again and
/// reported as held at 2 s.
fn held_since_two_seconds() -> Grants {
    let mut grants = Grants::default();
    grants.sync_with(&owned(1));
    grants.answer_report(&GrantSettings::default(), HOLD, ms(1_000));
    grants.apply_report(&holding(KeyRange::ALL, 1));
    grants.answer_report(&GrantSettings::default(), HOLD, ms(2_000));
    grants
}

#[test]
fn a_listed_range_is_served_until_the_list_expires() {
    let mut grants = Grants::default();
    grants.sync_with(&owned(1));
    assert!(!grants.is_granted(7, ms(999)));
    let list = grants.answer_report(&GrantSettings::default(), HOLD, ms(1_000));
    assert_eq!(list.grants[0].handover.as_deref(), Some("earlier"));
    assert!(grants.is_granted(7, ms(5_499)));
    assert!(!grants.is_granted(7, ms(5_500)));
    assert!(!grants.apply_report(&holding(KeyRange::ALL, 1)));
    let list = grants.answer_report(&GrantSettings::default(), HOLD, ms(1_870));
    assert_eq!(list.grants[0].handover, None, "the upstream has it");
}

#[test]
fn a_range_is_served_until_an_answer_leaves_it_out() {
    let mut grants = held_since_two_seconds();
    let requested = Claim {
        range: LOWER,
        fence: 1,
    };
    assert_eq!(grants.request_release(LOWER), [requested]);
    assert!(grants.is_granted(7, ms(2_100)));
    let list = grants.answer_report(&GrantSettings::default(), HOLD, ms(2_200));
    let listed: Vec<_> = list.grants.iter().map(|grant| grant.range).collect();
    assert_eq!(listed, [UPPER]);
    assert!(!grants.is_granted(7, ms(2_201)));
    assert!(grants.is_granted(1_000, ms(2_201)));
}

#[test]
fn a_released_range_is_transferable_once_no_late_answer_can_list_it() {
    let mut grants = held_since_two_seconds();
    grants.request_release(LOWER);
    grants.answer_report(&GrantSettings::default(), HOLD, ms(2_200));
    assert_eq!(grants.reported_release(LOWER, ms(2_200)), None);
    let mut working = holding(KeyRange::ALL, 1);
    grants.apply_report(&working);
    assert_eq!(
        grants.reported_release(LOWER, ms(2_300)),
        None,
        "still at work"
    );
    working = released(LOWER, "fresh");
    working.held = holding(UPPER, 1).held;
    grants.apply_report(&working);
    let reply = grants.reported_release(LOWER, ms(2_400));
    let expected = ReleaseReply::Released {
        handover: Some("fresh".into()),
    };
    assert_eq!(reply, Some(expected.clone()));
    // Listed last at 2 s, in an answer that was taken until 3 s, on a clock that
    // is 2% slow.
    assert_eq!(grants.transferable_from(LOWER, &expected), ms(3_020));
}

/// A report that arrives again, or whose answer was lost, tells of the same
/// release twice. It says nothing about a later grant of the same keys.
#[test]
fn an_earlier_release_of_the_same_keys_is_not_believed_twice() {
    let mut grants = held_since_two_seconds();
    grants.sync_with(&owned(2));
    grants.answer_report(&GrantSettings::default(), HOLD, ms(3_000));
    grants.request_release(KeyRange::ALL);
    grants.answer_report(&GrantSettings::default(), HOLD, ms(3_870));
    grants.apply_report(&released(KeyRange::ALL, "stale"));
    assert_eq!(grants.reported_release(KeyRange::ALL, ms(4_000)), None);
    let expiry = ms(3_000) + HOLD.mul_f64(1.02);
    assert_eq!(grants.reported_release(KeyRange::ALL, expiry - ms(1)), None);
    let reply = grants.reported_release(KeyRange::ALL, expiry);
    assert_eq!(reply, Some(ReleaseReply::Unanswered));
    assert_eq!(
        grants.transferable_from(KeyRange::ALL, &ReleaseReply::Unanswered),
        expiry
    );
}

#[test]
fn a_release_that_no_report_shows_ends_with_the_grant() {
    let mut grants = held_since_two_seconds();
    grants.request_release(LOWER);
    grants.answer_report(&GrantSettings::default(), HOLD, ms(2_200));
    // Absent without a release: the grant expired, or the report is older than
    // the answer that listed the range.
    grants.apply_report(&holding(UPPER, 1));
    assert_eq!(grants.reported_release(LOWER, ms(6_589)), None);
    let reply = grants.reported_release(LOWER, ms(6_590));
    assert_eq!(reply, Some(ReleaseReply::Unanswered));
}

#[test]
fn a_range_that_was_never_listed_is_transferable_at_once() {
    let mut grants = Grants::default();
    grants.sync_with(&owned(1));
    grants.request_release(KeyRange::ALL);
    let reply = grants.reported_release(KeyRange::ALL, ms(1));
    assert_eq!(reply, Some(ReleaseReply::Unanswered));
}

#[parameterized(
    missing = { HoldReport::default() },
    under_a_lower_fence = { holding(KeyRange::ALL, 0) },
    in_part = { holding(LOWER, 1) },
)]
fn an_upstream_that_lacks_a_range_twice_is_not_sent_its_requests(report: HoldReport) {
    let mut grants = Grants::default();
    grants.sync_with(&owned(1));
    grants.answer_report(&GrantSettings::default(), HOLD, ms(1_000));
    assert!(
        !grants.apply_report(&report),
        "the answer may have been lost"
    );
    grants.answer_report(&GrantSettings::default(), HOLD, ms(1_870));
    assert!(grants.is_granted(7, ms(1_900)));
    assert!(grants.apply_report(&report), "the map is doubted once");
    grants.answer_report(&GrantSettings::default(), HOLD, ms(2_740));
    assert!(!grants.is_granted(7, ms(2_800)));
    assert!(!grants.apply_report(&report));
    grants.apply_report(&holding(KeyRange::ALL, 1));
    grants.answer_report(&GrantSettings::default(), HOLD, ms(3_610));
    assert!(grants.is_granted(7, ms(3_700)));
}

#[test]
fn an_answer_lists_no_more_ranges_than_upstreams_take() {
    let settings = GrantSettings {
        max_listed_grants: 1,
        ..GrantSettings::default()
    };
    let mut grants = held_since_two_seconds();
    grants.request_release(KeyRange { first: 5, last: 5 });
    let list = grants.answer_report(&settings, HOLD, ms(2_200));
    assert_eq!(list.grants.len(), 1);
    assert!(grants.is_granted(0, ms(6_600)), "listed again");
    assert!(!grants.is_granted(6, ms(6_600)), "left out");
}
