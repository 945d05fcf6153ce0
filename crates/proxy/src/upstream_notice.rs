//! Notices that an upstream puts into its answers about itself: the rate of
//! requests that it takes for now, and that it is leaving.
//!
//! The gate of the upstream applies them. It reports them to the entries of other
//! nodes, which return them with their next requests, so that a gate that has
//! restarted beside its upstream learns them before it admits anything.

use crate::headers::{self, HeaderNames, UPSTREAM_NOTICE};
use hyper::HeaderMap;
use ibiscove_mesh::Members;
use ibiscove_types::{NodeName, UpstreamIncarnation};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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

/// What an upstream has said about itself, as nodes tell it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// Who said it.
    pub upstream: UpstreamIncarnation,
    /// Requests a second that it takes; none without a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_rate: Option<f64>,
    /// Milliseconds since it said that it leaves; none if it has not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
}

impl NoticeReport {
    /// Reads a gate's report from its response; none if the upstream has said
    /// nothing, or the report is malformed.
    fn read(from: &HeaderMap) -> Option<Self> {
        let report: Self = serde_json::from_slice(from.get(UPSTREAM_NOTICE)?.as_bytes()).ok()?;
        report.is_valid().then_some(report)
    }

    /// Adds the report to a gate's response.
    pub fn write(&self, to: &mut HeaderMap) {
        match serde_json::to_string(self) {
            Ok(text) => {
                to.insert(UPSTREAM_NOTICE, headers::json_value(&text));
            }
            Err(err) => log::error!("a notice of the upstream is not reported: {err}"),
        }
    }

    /// Returns whether the limit is a number that an upstream may name.
    pub fn is_valid(&self) -> bool {
        self.max_rate
            .is_none_or(|rate| rate.is_finite() && rate >= 0.0)
    }
}

/// The newest notice of each other node's upstream. Clones share it.
#[derive(Clone, Default)]
pub struct KnownNotices {
    by_node: Arc<Mutex<HashMap<NodeName, (NoticeReport, Instant)>>>,
}

impl KnownNotices {
    /// Records a gate's response. If the upstream `has_run` the request, one without
    /// a report means that it has said nothing that still holds; a gate that refuses
    /// may not know its upstream yet.
    pub fn record(&self, node: &NodeName, response: &HeaderMap, has_run: bool, now: Instant) {
        let mut by_node = self.lock();
        match NoticeReport::read(response) {
            Some(report) => {
                by_node.insert(Arc::clone(node), (report, now));
            }
            None if has_run => {
                by_node.remove(node);
            }
            None => {}
        }
    }

    /// Returns what is known of a node's upstream, with its present age.
    pub fn get(&self, node: &str, now: Instant) -> Option<NoticeReport> {
        let (report, received_at) = self.lock().get(node).cloned()?;
        let age = now.saturating_duration_since(received_at);
        Some(NoticeReport {
            leaving_ms: report.leaving_ms.map(|ms| ms.saturating_add(millis(age))),
            ..report
        })
    }

    /// Removes what is known of nodes that are no longer members.
    pub fn prune(&self, members: &Members) {
        self.lock().retain(|node, _| members.get(node).is_some());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeName, (NoticeReport, Instant)>> {
        self.by_node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whole milliseconds.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
