//! An endpoint crashes and starts again under its id, and what its lives say of themselves
//! reaches their node seconds late.

use crate::till::Till;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::{io, thread};

/// How late the calls of the endpoint arrive.
const LATENESS: Duration = Duration::from_millis(3_000);
/// Time between the crash and the next start.
const DOWN_TIME: Duration = Duration::from_millis(100);

/// Returns whether the rule was broken.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let till = Till::start()?;
    // The crash comes at a moment without requests.
    till.cluster.is_sending.store(false, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_000));
    let endpoint = &till.endpoints[1];
    if crate::has_trouble() {
        endpoint.set_call_delay(LATENESS);
    }
    thread::sleep(Duration::from_millis(2_000));
    endpoint.crash();
    thread::sleep(DOWN_TIME);
    let _endpoint = endpoint.start_again()?;
    thread::sleep(Duration::from_secs(10));
    Ok(till.end(record_path)?.has_low_fence)
}
