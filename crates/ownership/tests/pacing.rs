//! Rate of row writes after the loss of many nodes at once.

use ibiscove_ownership::pacing::{REPAIRS_PER_SECOND, RepairPacer};
use std::time::{Duration, Instant};

/// Number of nodes that survive the loss of one data centre of eight.
const SURVIVORS: usize = 1_137;
/// Number of nodes in the lost data centre.
const LOST: usize = 163;
/// Interval between checks of a row.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the repairs in each second after a loss, when losses become known
/// within the first two seconds.
fn repairs_per_second(survivors: usize, lost: usize, seed: u64) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let started = Instant::now();
    let mut pending: Vec<RepairPacer> = vec![RepairPacer::default(); survivors];
    let mut repairs_by_second = Vec::new();
    let mut checks = 0;
    while !pending.is_empty() {
        let now = started + CHECK_INTERVAL * checks;
        let known_losses = lost * (checks as usize + 1).min(4) / 4;
        let pending_before = pending.len();
        pending.retain_mut(|pacer| !pacer.may_repair(true, known_losses, now, &mut rng));
        let second = (CHECK_INTERVAL * checks).as_secs() as usize;
        repairs_by_second.resize(second + 1, 0);
        repairs_by_second[second] += (pending_before - pending.len()) as u32;
        checks += 1;
    }
    repairs_by_second
}

#[test]
fn losing_a_data_centre_keeps_repairs_within_the_rate_limit() {
    for seed in 0..20 {
        let repairs_by_second = repairs_per_second(SURVIVORS, LOST, seed);
        let peak = repairs_by_second.iter().max().copied().unwrap_or(0);
        // The random positions are uneven; the table handles several hundred
        // writes per second.
        assert!(
            peak <= 2 * REPAIRS_PER_SECOND,
            "seed {seed}: {repairs_by_second:?}"
        );
    }
}

#[test]
fn losing_one_node_repairs_its_rows_within_a_second() {
    assert_eq!(repairs_per_second(7, 1, 0), [7]);
}

#[test]
fn pacer_without_pending_repair_resets_its_baseline() {
    let mut rng = fastrand::Rng::with_seed(0);
    let mut pacer = RepairPacer::default();
    let now = Instant::now();
    assert!(!pacer.may_repair(false, LOST, now, &mut rng));
    // Rows retired earlier do not count.
    assert!(
        pacer.may_repair(true, LOST + 1, now + CHECK_INTERVAL, &mut rng) || {
            pacer.may_repair(true, LOST + 1, now + 2 * CHECK_INTERVAL, &mut rng)
        }
    );
}
