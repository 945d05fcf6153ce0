//! An endpoint starts while the time of day is ahead, crashes and starts again under its id
//! once that has jumped back, and leaves as planned some seconds later.

use crate::endpoint::{Endpoint, EndpointSettings};
use crate::record::{Attempt, End};
use crate::till::Till;
use std::path::Path;
use std::time::Duration;
use std::{io, thread};

/// How far the time of day is ahead at the first start.
const CLOCK_AHEAD: Duration = Duration::from_millis(2_000);
/// Time from the first start to the crash.
const FIRST_LIFE: Duration = Duration::from_millis(1_200);
/// Time between the crash and the next start.
const DOWN_TIME: Duration = Duration::from_millis(100);
/// Time before the crash, and after the next start, without requests.
const QUIET: Duration = Duration::from_millis(250);
/// Time after the jump in which the machine is not in touch, and a little more.
const SETTLED: Duration = Duration::from_millis(5_000);
/// Time within which requests may still reach an endpoint that has said that it drains.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);
/// Time for which the endpoint serves on after the acknowledgement.
const DRAIN_TIME: Duration = Duration::from_millis(6_000);
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Returns whether the rule was broken.
pub fn run(record_path: &Path) -> io::Result<bool> {
    let till = Till::start_shared()?;
    let record = till.cluster.record.clone();
    let clock_ahead = match crate::has_trouble() {
        true => CLOCK_AHEAD,
        false => Duration::ZERO,
    };
    let settings = EndpointSettings {
        clock_ahead,
        ..till.shared_endpoint(1)
    };
    let first = Endpoint::start(settings, record.clone())?;
    thread::sleep(FIRST_LIFE - QUIET);
    till.stop_clients();
    thread::sleep(QUIET);
    first.crash();
    thread::sleep(DOWN_TIME);
    let endpoint = first.start_again()?;
    thread::sleep(QUIET);
    till.start_clients();
    thread::sleep(SETTLED);
    endpoint.leave(Duration::ZERO, DRAIN_TIME, PATIENCE, None);
    thread::sleep(Duration::from_secs(2));
    let id = endpoint.id().to_owned();
    let acknowledged_at = endpoint.acknowledged_at();
    till.end(record_path)?;
    let acknowledged_at = acknowledged_at.ok_or(io::Error::other("nothing was acknowledged"))?;
    let attempts = record.attempts();
    let runs = attempts.values().flat_map(|attempt| &attempt.ran);
    let of_endpoint = runs.filter(|(_, endpoint)| *endpoint == id);
    let is_late = |at: &Duration| *at > acknowledged_at + DRAIN_BOUND;
    let (late, early): (Vec<Duration>, Vec<Duration>) =
        of_endpoint.map(|(at, _)| *at).partition(is_late);
    let is_lost = |attempt: &&Attempt| {
        let is_of_endpoint = attempt.ran.iter().any(|(_, endpoint)| *endpoint == id);
        let is_answered = matches!(attempt.end, Some((_, End::Answer(200))));
        is_of_endpoint && !is_answered && attempt.sent > acknowledged_at
    };
    record.event(&format!(
        "{id} has run {} requests up to {DRAIN_BOUND:?} after the acknowledgement, and {} later; \
         {} orders that it ran have no answer of its own",
        early.len(),
        late.len(),
        attempts.values().filter(is_lost).count()
    ));
    std::fs::write(record_path, record.text())?;
    Ok(!late.is_empty())
}
