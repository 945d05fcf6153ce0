//! Notices that an upstream puts into its answers about itself: the rate of
//! requests that it takes for now, and that it is leaving.

use crate::headers::{self, HeaderNames};
use hyper::HeaderMap;

/// What one answer of an upstream says about the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// The rate that it takes; none when it names no limit.
    pub max_rate: MaxRateNotice,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// The limit that an answer names.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum MaxRateNotice {
    /// The upstream takes any number of requests.
    #[default]
    Unlimited,
    /// It takes this many requests a second from all nodes together.
    Limited(f64),
    /// The header is not a decimal number of at least 0, so it says nothing.
    Malformed,
}

impl UpstreamNotice {
    /// Reads the notice from the headers of an answer.
    pub fn read(from: &HeaderMap, names: &HeaderNames) -> Self {
        let leaving = headers::text(from, &names.leaving).map(str::trim);
        Self {
            max_rate: match from.get(&names.max_rate) {
                None => MaxRateNotice::Unlimited,
                Some(value) => value
                    .to_str()
                    .ok()
                    .and_then(parse_rate)
                    .map_or(MaxRateNotice::Malformed, MaxRateNotice::Limited),
            },
            is_leaving: leaving == Some(LEAVING),
        }
    }
}

/// Value of the header of an upstream that leaves.
const LEAVING: &str = "1";

fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}
