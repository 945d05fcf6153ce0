//! An endpoint leaves as planned, and what it says of it reaches its node seconds late.

use crate::till::Till;
use std::path::Path;
use std::time::Duration;
use std::{io, thread};

/// How late the calls of the endpoint arrive.
const LATENESS: Duration = Duration::from_millis(3_000);
/// Time for which the endpoint serves on after the acknowledgement: drain-s and a little.
const DRAIN_TIME: Duration = Duration::from_millis(2_200);
/// Time after which it exits without one.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// Time from the end of its connections to that of its process.
const LINGER: Duration = Duration::from_millis(900);

/// Returns whether the rule was broken.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let till = Till::start()?;
    let lateness = match crate::has_trouble() {
        true => LATENESS,
        false => Duration::ZERO,
    };
    till.endpoints[1].leave(lateness, DRAIN_TIME, PATIENCE, Some(LINGER));
    thread::sleep(Duration::from_secs(8));
    Ok(till.end(record_path)?.has_overlap)
}
