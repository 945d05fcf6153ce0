//! Load-balancing policies: distribution, stale or wrong reports, ejection and
//! hedging.

use ibiscove_routing::choice::{
    Candidate, LeastReported, Policy, Random, Rendezvous, RoundRobin, TwoChoices,
};
use ibiscove_routing::health::{LoadReport, UpstreamHealth, max_ejected};
use ibiscove_routing::latency::{LatencyHistogram, hedge_delay};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const ANY_DATA_CENTRE: TwoChoices = TwoChoices {
    prefer_own_data_centre: false,
};
const OWN_DATA_CENTRE_FIRST: TwoChoices = TwoChoices {
    prefer_own_data_centre: true,
};

fn candidate(id: u64) -> Candidate {
    Candidate {
        id,
        in_own_data_centre: true,
        cost: 1.0,
        reported_load: 0.0,
        is_ejected: false,
        has_capacity: true,
    }
}

/// Returns how often each candidate is chosen.
fn shares(mut policy: impl Policy, candidates: &[Candidate]) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut chosen = vec![0; candidates.len()];
    for key in 0..1_000 {
        let index = policy.choose(candidates, key * 7_919, &mut rng);
        chosen[index.expect("there is a candidate")] += 1;
    }
    chosen
}

#[test]
fn every_policy_handles_zero_and_one_candidate() {
    fn check(mut policy: impl Policy) {
        let mut rng = fastrand::Rng::with_seed(1);
        assert_eq!(policy.choose(&[], 1, &mut rng), None);
        assert_eq!(policy.choose(&[candidate(1)], 1, &mut rng), Some(0));
    }
    check(ANY_DATA_CENTRE);
    check(OWN_DATA_CENTRE_FIRST);
    check(Random);
    check(RoundRobin::default());
    check(LeastReported);
    check(Rendezvous);
}

#[test]
fn the_most_expensive_candidate_is_not_chosen() {
    let mut candidates = [candidate(1), candidate(2), candidate(3)];
    candidates[1].cost = 10.0;
    assert_eq!(shares(ANY_DATA_CENTRE, &candidates)[1], 0);
}

#[test]
fn own_data_centre_goes_first_until_saturated_or_twice_as_expensive() {
    let mut candidates = [candidate(1), candidate(2), candidate(3), candidate(4)];
    candidates[2].in_own_data_centre = false;
    candidates[3].in_own_data_centre = false;
    let remote_count = |chosen: &[usize]| chosen[2] + chosen[3];
    assert_eq!(remote_count(&shares(OWN_DATA_CENTRE_FIRST, &candidates)), 0);
    for own in &mut candidates[..2] {
        own.has_capacity = false;
    }
    assert_eq!(
        remote_count(&shares(OWN_DATA_CENTRE_FIRST, &candidates)),
        1_000
    );
    for own in &mut candidates[..2] {
        (own.has_capacity, own.cost) = (true, 3.0);
    }
    assert_eq!(
        remote_count(&shares(OWN_DATA_CENTRE_FIRST, &candidates)),
        1_000
    );
}

#[test]
fn when_all_are_ejected_the_cheapest_stay_in_use() {
    let mut candidates: Vec<_> = (0..6).map(candidate).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        (candidate.is_ejected, candidate.cost) = (true, index as f64);
    }
    let chosen = shares(ANY_DATA_CENTRE, &candidates);
    assert_eq!(chosen.iter().filter(|chosen| **chosen > 0).count(), 3);
    assert_eq!(
        max_ejected(6),
        2,
        "four stay in use; the most expensive of them is never chosen"
    );
    candidates[0].is_ejected = false;
    candidates[1].is_ejected = false;
    assert_eq!(shares(ANY_DATA_CENTRE, &candidates)[4..], [0, 0]);
}

/// An upstream reports that it is idle while it is slow.
#[test]
fn own_observations_outweigh_an_underreported_load() {
    let now = Instant::now();
    let mut underreporting = UpstreamHealth::new(now, true);
    let mut accurate = UpstreamHealth::new(now, true);
    for _ in 0..20 {
        underreporting.begin();
        underreporting.end(Some(50 * MS), now);
        accurate.begin();
        accurate.end(Some(5 * MS), now);
    }
    underreporting.record_report(LoadReport { load: 0.0, at: now });
    accurate.record_report(LoadReport { load: 1.0, at: now });
    assert!(underreporting.cost(now) > accurate.cost(now));
}

#[test]
fn a_report_ten_seconds_old_is_ignored() {
    let now = Instant::now();
    let mut reported = UpstreamHealth::new(now, true);
    reported.record_report(LoadReport { load: 9.0, at: now });
    let without_report = UpstreamHealth::new(now, true);
    assert!(reported.cost(now) > without_report.cost(now));
    let later = now + Duration::from_secs(10);
    assert_eq!(reported.cost(later), without_report.cost(later));
}

#[test]
fn ejections_double_until_a_response_resets_them() {
    let mut now = Instant::now();
    let mut observed = UpstreamHealth::new(now, true);
    let fail = |observed: &mut UpstreamHealth, now| {
        for _ in 0..5 {
            observed.begin();
            observed.end(None, now);
        }
    };
    fail(&mut observed, now);
    assert!(observed.is_ejected(now));
    now += Duration::from_millis(1_500);
    assert!(!observed.is_ejected(now));
    fail(&mut observed, now);
    now += Duration::from_millis(1_500);
    assert!(observed.is_ejected(now), "the second ejection is longer");
    now += Duration::from_secs(1);
    observed.begin();
    observed.end(Some(MS), now);
    fail(&mut observed, now);
    assert!(!observed.is_ejected(now + Duration::from_millis(1_100)));
}

#[test]
fn a_new_upstream_starts_with_a_higher_cost() {
    let now = Instant::now();
    let (cold, warm) = (
        UpstreamHealth::new(now, false),
        UpstreamHealth::new(now, true),
    );
    assert!(cold.cost(now) > warm.cost(now) * 5.0);
    let later = now + Duration::from_secs(20);
    assert_eq!(cold.cost(later), warm.cost(later));
}

#[test]
fn a_hedge_waits_for_the_tail_quantile_and_needs_time_for_a_response() {
    let mut latencies = LatencyHistogram::default();
    assert_eq!(hedge_delay(&latencies, 1_000 * MS), None, "too few samples");
    for n in 0..1_000 {
        latencies.record(if n % 100 == 0 { 200 * MS } else { 4 * MS });
    }
    let delay = hedge_delay(&latencies, 1_000 * MS).expect("enough samples");
    assert!((4 * MS..6 * MS).contains(&delay), "{delay:?}");
    assert_eq!(hedge_delay(&latencies, 5 * MS), None);
}
