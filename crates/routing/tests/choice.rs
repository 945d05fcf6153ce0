//! The choice among upstreams: evenness, lies, age and floors.

use ibiscove_routing::choice::{
    Candidate, LeastReported, Policy, Random, Rendezvous, RoundRobin, TwoChoices,
};
use ibiscove_routing::health::{LoadReport, UpstreamHealth, max_ejected};
use ibiscove_routing::latency::{LatencyHistogram, hedge_delay};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const ANY: TwoChoices = TwoChoices {
    prefer_own_data_centre: false,
};
const NEAR: TwoChoices = TwoChoices {
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

/// How often each of `candidates` is chosen.
fn shares(mut policy: impl Policy, candidates: &[Candidate]) -> Vec<usize> {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut chosen = vec![0; candidates.len()];
    for key in 0..1_000 {
        let index = policy.choose(candidates, key * 7_919, &mut rng);
        chosen[index.expect("a candidate")] += 1;
    }
    chosen
}

#[test]
fn every_policy_copes_with_none_and_one() {
    fn check(mut policy: impl Policy) {
        let mut rng = fastrand::Rng::with_seed(1);
        assert_eq!(policy.choose(&[], 1, &mut rng), None);
        assert_eq!(policy.choose(&[candidate(1)], 1, &mut rng), Some(0));
    }
    check(ANY);
    check(NEAR);
    check(Random);
    check(RoundRobin::default());
    check(LeastReported);
    check(Rendezvous);
}

#[test]
fn the_dearest_is_not_chosen() {
    let mut candidates = [candidate(1), candidate(2), candidate(3)];
    candidates[1].cost = 10.0;
    assert_eq!(shares(ANY, &candidates)[1], 0);
}

#[test]
fn near_ones_go_first_and_load_spills_over() {
    let mut candidates = [candidate(1), candidate(2), candidate(3), candidate(4)];
    candidates[2].in_own_data_centre = false;
    candidates[3].in_own_data_centre = false;
    let far = |chosen: &[usize]| chosen[2] + chosen[3];
    assert_eq!(far(&shares(NEAR, &candidates)), 0);
    for near in &mut candidates[..2] {
        near.has_capacity = false;
    }
    assert_eq!(far(&shares(NEAR, &candidates)), 1_000);
    for near in &mut candidates[..2] {
        (near.has_capacity, near.cost) = (true, 3.0);
    }
    assert_eq!(far(&shares(NEAR, &candidates)), 1_000);
}

#[test]
fn failures_that_hit_all_empty_no_service() {
    let mut candidates: Vec<_> = (0..6).map(candidate).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        (candidate.is_ejected, candidate.cost) = (true, index as f64);
    }
    let chosen = shares(ANY, &candidates);
    assert_eq!(chosen.iter().filter(|chosen| **chosen > 0).count(), 3);
    assert_eq!(
        max_ejected(6),
        2,
        "four stay; the dearest of them always loses"
    );
    candidates[0].is_ejected = false;
    candidates[1].is_ejected = false;
    assert_eq!(shares(ANY, &candidates)[4..], [0, 0]);
}

/// An upstream whose reports say that it is idle while it is slow: own
/// observations outweigh the lie.
#[test]
fn a_lying_report_does_not_draw_load() {
    let now = Instant::now();
    let mut liar = UpstreamHealth::new(now, true);
    let mut honest = UpstreamHealth::new(now, true);
    for _ in 0..20 {
        liar.begin();
        liar.end(Some(50 * MS), now);
        honest.begin();
        honest.end(Some(5 * MS), now);
    }
    liar.record_report(LoadReport { load: 0.0, at: now });
    honest.record_report(LoadReport { load: 1.0, at: now });
    assert!(liar.cost(now) > honest.cost(now));
}

#[test]
fn a_report_ten_seconds_old_counts_nothing() {
    let now = Instant::now();
    let mut reported = UpstreamHealth::new(now, true);
    reported.record_report(LoadReport { load: 9.0, at: now });
    let silent = UpstreamHealth::new(now, true);
    assert!(reported.cost(now) > silent.cost(now));
    let later = now + Duration::from_secs(10);
    assert_eq!(reported.cost(later), silent.cost(later));
}

#[test]
fn failures_eject_for_longer_each_time_and_an_answer_forgives() {
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
    assert!(observed.is_ejected(now), "the second time is longer");
    now += Duration::from_secs(1);
    observed.begin();
    observed.end(Some(MS), now);
    fail(&mut observed, now);
    assert!(!observed.is_ejected(now + Duration::from_millis(1_100)));
}

#[test]
fn a_new_upstream_gets_its_share_slowly() {
    let now = Instant::now();
    let (new, old) = (
        UpstreamHealth::new(now, false),
        UpstreamHealth::new(now, true),
    );
    assert!(new.cost(now) > old.cost(now) * 5.0);
    let later = now + Duration::from_secs(20);
    assert_eq!(new.cost(later), old.cost(later));
}

#[test]
fn hedges_wait_for_the_tail_and_leave_time() {
    let mut latencies = LatencyHistogram::default();
    assert_eq!(
        hedge_delay(&latencies, 1_000 * MS),
        None,
        "too little known"
    );
    for n in 0..1_000 {
        latencies.record(if n % 100 == 0 { 200 * MS } else { 4 * MS });
    }
    let delay = hedge_delay(&latencies, 1_000 * MS).expect("enough is known");
    assert!((4 * MS..6 * MS).contains(&delay), "{delay:?}");
    assert_eq!(hedge_delay(&latencies, 5 * MS), None);
}
