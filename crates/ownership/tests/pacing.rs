//! How many rows are written after many nodes are lost at once.

use ibiscove_ownership::pacing::{REPAIRS_PER_SECOND, RepairPacer};
use std::time::{Duration, Instant};

/// Nodes that survive the loss of one data centre of eight.
const SURVIVORS: usize = 1_137;
/// Nodes of the lost data centre.
const LOST: usize = 163;
/// Time between two looks at a row.
const LOOK: Duration = Duration::from_millis(500);

/// Repairs in each second after a loss, when losses become known within the
/// first two seconds.
fn repairs(survivors: usize, lost: usize, seed: u64) -> Vec<u32> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let began = Instant::now();
    let mut waiting: Vec<RepairPacer> = vec![RepairPacer::default(); survivors];
    let mut seconds = Vec::new();
    let mut looks = 0;
    while !waiting.is_empty() {
        let now = began + LOOK * looks;
        let known = lost * (looks as usize + 1).min(4) / 4;
        let before = waiting.len();
        waiting.retain_mut(|pace| !pace.may_repair(true, known, now, &mut rng));
        let second = (LOOK * looks).as_secs() as usize;
        seconds.resize(second + 1, 0);
        seconds[second] += (before - waiting.len()) as u32;
        looks += 1;
    }
    seconds
}

#[test]
fn a_lost_data_centre_does_not_flood_the_table() {
    for seed in 0..20 {
        let seconds = repairs(SURVIVORS, LOST, seed);
        let most = seconds.iter().max().copied().unwrap_or(0);
        // The random places lie unevenly; the table takes several hundred.
        assert!(most <= 2 * REPAIRS_PER_SECOND, "seed {seed}: {seconds:?}");
    }
}

#[test]
fn the_rows_of_one_lost_node_are_repaired_at_once() {
    assert_eq!(repairs(7, 1, 0), [7]);
}

#[test]
fn a_pace_without_losses_starts_anew() {
    let mut rng = fastrand::Rng::with_seed(0);
    let mut pace = RepairPacer::default();
    let now = Instant::now();
    assert!(!pace.may_repair(false, LOST, now, &mut rng));
    // Rows retired before count no more.
    assert!(
        pace.may_repair(true, LOST + 1, now + LOOK, &mut rng) || {
            pace.may_repair(true, LOST + 1, now + 2 * LOOK, &mut rng)
        }
    );
}
