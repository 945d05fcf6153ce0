//! How long work takes on the machine of an upstream at the moment, as its answers say.
//!
//! Upstreams share their machines with others, so that the same work takes several times
//! as long for a few hundred milliseconds at a time. Latency averages see that when it is
//! over. A figure counts fully when it is new and fades, so that an upstream that is
//! avoided for it, and therefore answers nothing, is tried again.

use std::time::{Duration, Instant};

/// The figure of a machine on which work takes as long as usual.
const USUAL: u32 = 100;
/// The largest figure that is believed.
const MAX_FIGURE: u32 = 100 * USUAL;
/// Age at which a figure says nothing any more: about the time for which machines stay
/// slow.
const FADED_AFTER: Duration = Duration::from_millis(500);
/// Weight of a new figure in the average. As large as that of a latency in the average of
/// all routes, which the average is compared with.
const FIGURE_WEIGHT: f64 = 0.03;

/// The load that an upstream states in an answer cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stated load is not three or four whole numbers, or its factor is not 1 to 10000")]
pub struct MalformedLoad;

/// Parses a stated load: running, waiting and slots, and how long work takes in percent of
/// the usual time. Returns the last one as a factor; none where upstreams do not state it.
pub fn parse_factor(text: &str) -> Result<Option<f64>, MalformedLoad> {
    let mut figures = [0; 4];
    let mut count = 0;
    for part in text.split(',') {
        let part = part.trim();
        // The parser of numbers would accept a sign.
        let is_number = part.bytes().all(|byte| byte.is_ascii_digit());
        let figure = part.parse().ok().filter(|_| is_number);
        *figures.get_mut(count).ok_or(MalformedLoad)? = figure.ok_or(MalformedLoad)?;
        count += 1;
    }
    let factor: u32 = figures[3];
    match count {
        3 => Ok(None),
        4 if (1..=MAX_FIGURE).contains(&factor) => Ok(Some(f64::from(factor) / f64::from(USUAL))),
        _ => Err(MalformedLoad),
    }
}

/// Estimate of how much longer than on average work takes at one upstream now.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    last: Option<(f64, Instant)>,
    /// Average of the figures. Averages of latencies contain it.
    average: f64,
}

impl SpeedEstimate {
    /// Records the factor of an answer.
    pub fn record(&mut self, factor: f64, now: Instant) {
        self.average = match self.last {
            None => factor,
            Some(_) => self.average + (factor - self.average) * FIGURE_WEIGHT,
        };
        self.last = Some((factor, now));
    }

    /// Returns the factor by which work takes longer now than average latencies say; 1 if
    /// nothing recent is known.
    pub fn scale(&self, now: Instant) -> f64 {
        let Some((factor, at)) = self.last else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at);
        let freshness = 1.0 - (age.as_secs_f64() / FADED_AFTER.as_secs_f64()).min(1.0);
        1.0 + (factor / self.average - 1.0) * freshness
    }
}
