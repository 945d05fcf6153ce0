//! Nodes are stopped and started in turn while an endpoint repeats the answer to a grant
//! and carries the next one out late.

use crate::endpoint::LateGrant;
use crate::till::Till;
use std::path::Path;
use std::time::Duration;
use std::{io, thread};

/// Time between two nodes that are stopped in turn.
const STOP_GAP: Duration = Duration::from_millis(1_000);
/// Orders are carried out 2 to 12 s late.
const LATENESS: Duration = Duration::from_millis(2_000);

/// Returns whether the rule was broken. `REPEAT=0` leaves out the repeated answer.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let till = Till::start()?;
    if crate::has_trouble() {
        till.endpoints[1].set_late_grant(LateGrant {
            repeats_answer: std::env::var("REPEAT").map_or(true, |value| value != "0"),
            delay: LATENESS,
        });
    }
    till.cluster.stop_and_start(0)?;
    thread::sleep(STOP_GAP);
    till.cluster.stop_and_start(1)?;
    thread::sleep(Duration::from_secs(12));
    // The rule doesn't count how long grants are held that are taken late.
    Ok(till.end(record_path)?.has_low_fence)
}
