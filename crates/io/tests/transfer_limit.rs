//! Limits on transfers by their progress.

use ibiscove_io::{Transfer, TransferLimits};
use std::time::{Duration, Instant};
use yare::parameterized;

const LIMITS: TransferLimits = TransferLimits {
    silence: Duration::from_secs(1),
    min_rate: 1_000,
};

/// Returns how long a transfer lasts in which `bytes` arrive each `interval_ms`, for a
/// minute if the limits allow it.
fn lasts(bytes: usize, interval_ms: u64) -> Duration {
    let started = Instant::now();
    let mut transfer = Transfer::new(LIMITS, started);
    let mut now = started;
    while now - started < Duration::from_secs(60) {
        now += Duration::from_millis(interval_ms);
        if transfer.deadline() < now {
            return transfer.deadline() - started;
        }
        transfer.record(bytes, now);
    }
    now - started
}

#[parameterized(
    steady = { 200, 100, 60_000 },
    just_above_the_rate = { 999, 990, 60_390 },
    silent = { 1_000_000, 2_000, 1_000 },
    trickles = { 1, 100, 1_010 },
    too_slow = { 500, 900, 1_500 },
)]
fn a_transfer_lasts_while_it_makes_progress(bytes: usize, interval_ms: u64, lasts_ms: u64) {
    assert_eq!(lasts(bytes, interval_ms), Duration::from_millis(lasts_ms));
}
