//! Retry policy and retry budget.

use ibiscove_routing::deadline;
use ibiscove_routing::retry::{FailedAttempt, RetryBudget, RetryDecision, decide};
use ibiscove_types::{Outcome, Reason};
use std::time::{Duration, Instant};
use yare::parameterized;

fn failure(outcome: Outcome, reason: Reason, idempotent: bool) -> FailedAttempt {
    FailedAttempt {
        outcome,
        reason,
        idempotent,
        attempts: 1,
        remaining: Duration::from_secs(1),
        has_alternative: false,
        elapsed: Duration::ZERO,
        max_owner_wait: Duration::from_millis(300),
    }
}

/// A key that has no owner for long must not keep callers waiting.
#[parameterized(
    moving = { Reason::Moving },
    not_owner = { Reason::NotOwner },
    no_owner = { Reason::NoOwner },
    draining = { Reason::Draining },
)]
fn a_missing_owner_is_retried_until_the_maximum_wait(reason: Reason) {
    let mut rng = fastrand::Rng::with_seed(1);
    let after_waiting_ms = |millis| FailedAttempt {
        elapsed: Duration::from_millis(millis),
        ..failure(Outcome::NotRun, reason, false)
    };
    assert!(matches!(
        decide(after_waiting_ms(290), &mut rng),
        RetryDecision::Retry { .. }
    ));
    assert_eq!(decide(after_waiting_ms(300), &mut rng), RetryDecision::Stop);
}

#[parameterized(
    missing_owner_is_not_charged = { Outcome::NotRun, Reason::NotOwner, false, Some(false) },
    unreachable_peer_is_charged = { Outcome::NotRun, Reason::PeerUnreachable, false, Some(true) },
    lost_idempotent_is_charged = { Outcome::Unknown, Reason::UpstreamLost, true, Some(true) },
    lost_non_idempotent_stops = { Outcome::Unknown, Reason::UpstreamLost, false, None },
    ran_stops = { Outcome::Ran, Reason::PeerLost, true, None },
    overload_stops = { Outcome::NotRun, Reason::Overloaded, true, None },
    bad_request_stops = { Outcome::NotRun, Reason::NoKey, true, None },
    sealed_is_charged = { Outcome::NotRun, Reason::Sealed, false, Some(true) },
)]
fn retry_and_charge_by_outcome_and_reason(
    outcome: Outcome,
    reason: Reason,
    idempotent: bool,
    expected: Option<bool>,
) {
    let mut rng = fastrand::Rng::with_seed(1);
    let charged = match decide(failure(outcome, reason, idempotent), &mut rng) {
        RetryDecision::Stop => None,
        RetryDecision::Retry { charged, .. } => Some(charged),
    };
    assert_eq!(charged, expected);
}

#[test]
fn no_retry_starts_after_the_deadline() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let failure = FailedAttempt {
            remaining: Duration::from_millis(rng.u64(..120)),
            attempts: rng.u32(1..40),
            ..failure(Outcome::NotRun, Reason::NoOwner, false)
        };
        if let RetryDecision::Retry { delay, .. } = decide(failure, &mut rng) {
            assert!(delay < failure.remaining, "seed {seed}");
        }
    }
}

/// When everything fails, retries stay at the budget's share of the requests.
#[test]
fn when_everything_fails_retries_stay_within_the_budget() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit(0.1);
        while budget.try_spend() {
            retries += 1;
        }
    }
    assert!(retries <= 1_010, "{retries} retries for 10 000 requests");
}

#[test]
fn each_hop_gets_a_shorter_timeout() {
    let remaining = Duration::from_millis(50);
    let next = deadline::next_hop_timeout(remaining);
    assert!(next < remaining && next >= remaining / 2);
    let now = Instant::now();
    assert_eq!(deadline::remaining(now, now + remaining), Duration::ZERO);
}

#[test]
fn work_without_a_fence_check_ends_at_the_lease_end() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let check_in = |lease_end| deadline::time_until_lease_check(at(50), lease_end, now);
    assert_eq!(check_in(Some(at(20))), Some(Duration::from_millis(20)));
    assert_eq!(check_in(Some(at(90))), Some(Duration::from_millis(50)));
    assert_eq!(check_in(Some(now)), None);
    assert_eq!(check_in(None), None);
}

/// Every request fails for ten seconds at every entry: the retries of all entries
/// stay within a fifth of the requests plus 58, the fixed allowance of the
/// smallest deployment.
#[parameterized(
    ten_nodes = { 10, 20 },
    twelve_nodes = { 12, 180 },
    many_nodes = { 75, 650 },
    many_nodes_and_few_requests = { 75, 20 },
)]
fn entries_share_one_retry_budget(nodes: usize, requests_per_s: usize) {
    const SHARE: f64 = 0.1;
    const TOTAL_BALANCE: f64 = 50.0;
    let mut budgets = vec![RetryBudget::default(); nodes];
    let mut rng = fastrand::Rng::with_seed(7);
    let mut retries = 0;
    for _ in 0..10 * requests_per_s {
        let budget = &mut budgets[rng.usize(..nodes)];
        budget.limit_balance(TOTAL_BALANCE / nodes as f64);
        budget.deposit(SHARE);
        while budget.try_spend() {
            retries += 1;
        }
    }
    let max_retries = 2 * requests_per_s + 58;
    // Each entry's balance is at least one retry, or it could never retry.
    let max_retries = max_retries + nodes.saturating_sub(TOTAL_BALANCE as usize);
    assert!(retries <= max_retries, "{retries} of {max_retries}");
}

/// Many requests are refused by gates of an evacuated data centre before their entries
/// hear of it: another upstream is tried at once, and with none left they end at once.
#[parameterized(
    others_left = { true, RetryDecision::Retry { delay: Duration::ZERO, charged: false } },
    none_left = { false, RetryDecision::Stop },
)]
fn a_refusal_of_an_evacuated_upstream_is_tried_elsewhere(
    has_alternative: bool,
    expected: RetryDecision,
) {
    let mut rng = fastrand::Rng::with_seed(1);
    for idempotent in [true, false] {
        let failure = FailedAttempt {
            has_alternative,
            ..failure(Outcome::NotRun, Reason::Evacuated, idempotent)
        };
        assert_eq!(decide(failure, &mut rng), expected);
    }
}
