//! The limit on the rate of transfers between nodes.

use ibiscove_proxy::transfer_pacing::{TransferPacing, TransferPacingSettings};
use std::time::{Duration, Instant};
use yare::parameterized;

const PAGE: usize = 64 << 10;
const TICK: Duration = Duration::from_millis(5);

// Guards against nodes that are behind taking the whole link of a peer: all of them ask
// it in every tick, as often as it refuses them.
#[parameterized(
    tiny = { 300, 196 },
    pages = { PAGE, 77 },
    larger_than_the_bucket = { 5 * PAGE, 77 },
)]
fn askers_share_the_limited_rate(bytes: usize, askers: usize) {
    let settings = TransferPacingSettings::default();
    let pacing = TransferPacing::new(settings);
    let start = Instant::now();
    let mut sent = 0;
    for tick in 0..2_000 {
        let now = start + TICK * tick;
        for _ in 0..askers {
            match pacing.reserve(bytes, now) {
                Ok(wait) => {
                    assert!(wait <= settings.max_wait, "{wait:?}");
                    sent += bytes;
                }
                Err(busy) => assert!(busy.retry_after > settings.max_wait, "{busy:?}"),
            }
        }
    }
    let rate = f64::from(settings.bytes_per_second);
    let allowed = rate * (TICK.as_secs_f64() * 2_000.0 + settings.max_wait.as_secs_f64());
    let most = allowed + f64::from(settings.burst_bytes) + bytes as f64;
    assert!((sent as f64) < most, "{sent} of at most {most} bytes");
    assert!(sent as f64 > 0.9 * rate * 10.0, "only {sent} bytes");
}

#[test]
fn a_transfer_waits_for_those_before_it() {
    let pacing = TransferPacing::default();
    let now = Instant::now();
    assert_eq!(pacing.reserve(PAGE, now), Ok(Duration::ZERO));
    let wait = pacing.reserve(PAGE, now).expect("the wait is short");
    assert!((wait.as_secs_f64() - 0.131).abs() < 0.001, "{wait:?}");
    let busy = pacing.reserve(PAGE, now).expect_err("the wait is long");
    assert!((busy.retry_after.as_secs_f64() - 0.262).abs() < 0.001);
    // The refusal has reserved nothing.
    let later = now + busy.retry_after;
    assert_eq!(pacing.reserve(PAGE, later), Ok(Duration::ZERO));
}

// A section of a map may be larger than a page, and has to travel all the same.
#[test]
fn a_transfer_larger_than_the_bucket_starts_when_it_is_full() {
    let pacing = TransferPacing::default();
    let now = Instant::now();
    assert_eq!(pacing.reserve(10 * PAGE, now), Ok(Duration::ZERO));
    assert!(pacing.reserve(1, now).is_err());
    assert!(pacing.reserve(1, now + Duration::from_secs(2)).is_ok());
}
