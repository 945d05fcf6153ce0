//! Which upstream of a shared service gets a request, by load pattern, against
//! plain baselines in the same run.

use ibiscove_routing::placement::{Candidate, Distance, FailureRate, choose};
use std::time::Duration;
use yare::parameterized;

fn candidate(slots: f64, millis: u64, load: f64) -> Candidate {
    Candidate {
        distance: Distance::OtherDataCentre,
        round_trip: Duration::from_millis(3),
        load,
        slots,
        service_time: Duration::from_millis(millis),
        failure_rate: 0.0,
        is_cold: false,
        was_attempted: false,
    }
}

fn shares(candidates: &[Candidate]) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = vec![0.0; candidates.len()];
    for _ in 0..10_000 {
        counts[choose(candidates, &mut rng).expect("there is a candidate")] += 1e-4;
    }
    counts
}

#[test]
fn nobody_is_chosen_where_there_is_nobody() {
    assert_eq!(choose(&[], &mut fastrand::Rng::with_seed(1)), None);
}

/// Entries share a view that is older than a request: the best must not get
/// everything.
#[test]
fn a_stale_view_does_not_send_all_to_the_best() {
    let all = [
        candidate(12.0, 40, 2.0),
        candidate(12.0, 60, 2.0),
        candidate(12.0, 60, 2.0),
    ];
    let shares = shares(&all);
    assert!(shares[0] > shares[1], "{shares:?}");
    assert!(shares[0] < 0.75, "{shares:?}");
}

#[test]
fn half_of_a_service_slow_gets_the_lesser_part() {
    let all = [
        candidate(6.0, 50, 2.0),
        candidate(6.0, 50, 2.0),
        candidate(6.0, 300, 4.0),
        candidate(6.0, 300, 4.0),
    ];
    let shares = shares(&all);
    assert!(shares[2] + shares[3] < 0.1, "{shares:?}");
}

#[test]
fn a_failing_upstream_keeps_a_trickle() {
    let mut failing = candidate(6.0, 10, 0.0);
    let mut rate = FailureRate::default();
    (0..30).for_each(|_| rate.record(true));
    failing.failure_rate = rate.get();
    let shares = shares(&[failing, candidate(6.0, 50, 2.0)]);
    assert!(shares[0] < 0.1, "{shares:?}");
}

#[test]
fn a_cold_joiner_starts_with_less() {
    let mut cold = candidate(6.0, 50, 0.0);
    cold.is_cold = true;
    let shares = shares(&[cold, candidate(6.0, 50, 0.0)]);
    assert!(shares[0] > 0.02 && shares[0] < 0.4, "{shares:?}");
}

#[parameterized(
    with_room = { 1.0, 0.7, 1.0 },
    nearly_full = { 5.5, 0.0, 0.4 },
)]
fn a_near_upstream_is_preferred_while_it_has_room(load: f64, least: f64, most: f64) {
    let mut near = candidate(6.0, 50, load);
    near.distance = Distance::SameDataCentre;
    let share = shares(&[near, candidate(6.0, 50, 1.0)])[0];
    assert!((least..=most).contains(&share), "{share}");
}

#[test]
fn one_that_was_tried_is_chosen_only_for_want_of_others() {
    let mut tried = candidate(6.0, 10, 0.0);
    tried.was_attempted = true;
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..100 {
        assert_eq!(choose(&[tried, candidate(6.0, 90, 5.0)], &mut rng), Some(1));
    }
    assert_eq!(choose(&[tried], &mut rng), Some(0));
}

/// Requests one after the other at upstreams of unequal speed; what the entry
/// knows of the load is some requests old.
fn busiest_to_mean(mut pick: impl FnMut(&[Candidate], &mut fastrand::Rng) -> usize) -> f64 {
    let speeds = [0.5, 1.0, 1.0, 1.5];
    let mut rng = fastrand::Rng::with_seed(3);
    let mut busy = [0.0_f64; 4];
    let mut view = busy;
    let mut peak = 0.0_f64;
    for step in 0..40_000 {
        if step % 12 == 0 {
            view = busy;
        }
        let all: Vec<_> = (0..4)
            .map(|i| candidate(12.0, (60.0 / speeds[i]) as u64, view[i]))
            .collect();
        busy[pick(&all, &mut rng)] += 1.0;
        // Three quarters of all slots are in use on average.
        for i in 0..4 {
            busy[i] = (busy[i] - busy[i].min(12.0) * speeds[i] / 36.0).max(0.0);
        }
        if step > 1_000 {
            peak += busy.iter().fold(0.0, |a: f64, b| a.max(b / 12.0));
        }
    }
    peak / 39_000.0
}

#[test]
fn it_beats_random_round_robin_and_least_load_on_a_stale_view() {
    let ours = busiest_to_mean(|all, rng| choose(all, rng).unwrap_or(0));
    let random = busiest_to_mean(|all, rng| rng.usize(..all.len()));
    let mut turn = 0;
    let round_robin = busiest_to_mean(|all, _| {
        turn += 1;
        turn % all.len()
    });
    let least = busiest_to_mean(|all, _| {
        let least = (0..all.len()).min_by(|a, b| all[*a].load.total_cmp(&all[*b].load));
        least.unwrap_or(0)
    });
    assert!(ours < random, "{ours} against {random}");
    assert!(ours < round_robin, "{ours} against {round_robin}");
    assert!(ours < least, "{ours} against {least}");
}
