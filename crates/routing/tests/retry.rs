//! Which attempts are made again, and what they cost.

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

/// A key that stays without its owner: callers are not kept waiting for it.
#[parameterized(
    moving = { Reason::Moving },
    not_owner = { Reason::NotOwner },
    no_owner = { Reason::NoOwner },
    draining = { Reason::Draining },
)]
fn a_wait_for_an_owner_has_an_end(reason: Reason) {
    let mut rng = fastrand::Rng::with_seed(1);
    let waited = |millis| FailedAttempt {
        elapsed: Duration::from_millis(millis),
        ..failure(Outcome::NotRun, reason, false)
    };
    assert!(matches!(
        decide(waited(290), &mut rng),
        RetryDecision::Retry { .. }
    ));
    assert_eq!(decide(waited(300), &mut rng), RetryDecision::Stop);
}

#[parameterized(
    not_run_may_go_again = { Outcome::NotRun, Reason::NotOwner, false, Some(false) },
    a_dead_peer_is_charged = { Outcome::NotRun, Reason::PeerUnreachable, false, Some(true) },
    a_lost_read_is_charged = { Outcome::Unknown, Reason::UpstreamLost, true, Some(true) },
    a_lost_order_stays_lost = { Outcome::Unknown, Reason::UpstreamLost, false, None },
    what_ran_is_done = { Outcome::Ran, Reason::PeerLost, true, None },
    overload_is_not_fed = { Outcome::NotRun, Reason::Overloaded, true, None },
    a_bad_request_stays_bad = { Outcome::NotRun, Reason::NoKey, true, None },
    a_sealed_order_may_go_again = { Outcome::NotRun, Reason::Sealed, false, Some(true) },
)]
fn another_attempt(outcome: Outcome, reason: Reason, idempotent: bool, expected: Option<bool>) {
    let mut rng = fastrand::Rng::with_seed(1);
    let charged = match decide(failure(outcome, reason, idempotent), &mut rng) {
        RetryDecision::Stop => None,
        RetryDecision::Retry { charged, .. } => Some(charged),
    };
    assert_eq!(charged, expected);
}

#[test]
fn no_attempt_begins_past_the_deadline() {
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

/// When everything fails, retries stay at the budget's share.
#[test]
fn a_retry_storm_stays_within_the_budget() {
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
fn each_hop_gets_less_time() {
    let left = Duration::from_millis(50);
    let next = deadline::next_hop_timeout(left);
    assert!(next < left && next >= left / 2);
    let now = Instant::now();
    assert_eq!(deadline::remaining(now, now + left), Duration::ZERO);
}

#[test]
fn work_without_a_fence_check_ends_with_the_lease() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let look = |lease_end| deadline::time_until_lease_check(at(50), lease_end, now);
    assert_eq!(look(Some(at(20))), Some(Duration::from_millis(20)));
    assert_eq!(look(Some(at(90))), Some(Duration::from_millis(50)));
    assert_eq!(look(Some(now)), None);
    assert_eq!(look(None), None);
}

/// Every request fails for ten seconds at every entry of a fleet: what all of
/// them repeat stays within a fifth of the requests and the slack that the
/// smallest deployment allows, 58.
#[parameterized(
    ten_nodes = { 10, 20 },
    a_dozen_nodes = { 12, 180 },
    many_nodes = { 75, 650 },
    many_nodes_and_few_requests = { 75, 20 },
)]
fn a_fleet_of_entries_shares_one_budget(nodes: usize, requests_per_s: usize) {
    const SHARE: f64 = 0.1;
    const SAVED_IN_ALL: f64 = 50.0;
    let mut budgets = vec![RetryBudget::default(); nodes];
    let mut rng = fastrand::Rng::with_seed(7);
    let mut repeats = 0;
    for _ in 0..10 * requests_per_s {
        let budget = &mut budgets[rng.usize(..nodes)];
        budget.limit_balance(SAVED_IN_ALL / nodes as f64);
        budget.deposit(SHARE);
        while budget.try_spend() {
            repeats += 1;
        }
    }
    let allowed = 2 * requests_per_s + 58;
    // Below one retry each, an entry could never retry at all.
    let allowed = allowed + nodes.saturating_sub(SAVED_IN_ALL as usize);
    assert!(repeats <= allowed, "{repeats} of {allowed}");
}
