//! The metrics recorder behind `/metrics`.
//!
//! All nodes of a process share one recorder. Counters of refusals and retries
//! are registered at zero for every reason, so that a dashboard can distinguish
//! "has never happened" from "is not counted". `docs/metrics.md` is the
//! reference.

use crate::{entry, gate};
use ibiscove_routing::refusals;
use ibiscove_types::{Outcome, Reason};
use metrics::{Unit, counter, describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::Duration;

/// Interval between two merges of new samples into the histograms. Samples
/// accumulate in memory until then.
pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds of the buckets of every latency histogram, in seconds.
const HISTOGRAM_BUCKETS_SECONDS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 2.0,
    4.0, 8.0, 16.0,
];

/// Reasons for which a listener itself refuses requests.
const LISTENER_REASONS: &[Reason] = &[
    Reason::MalformedRequest,
    Reason::HeadTooLarge,
    Reason::TooManyConnections,
    Reason::CallerStalled,
];
/// Roles of listeners.
const LISTENERS: &[&str] = &["caller", "forward", "upstream", "admin"];

/// Counters: name, unit and description.
const COUNTERS: &[(&str, Unit, &str)] = &[
    (
        "ibiscove_refusals_total",
        Unit::Count,
        "Requests refused, by role, reason and outcome.",
    ),
    (
        "ibiscove_retries_total",
        Unit::Count,
        "Attempts made again, by the reason of the failed one.",
    ),
    (
        "ibiscove_repeats_total",
        Unit::Count,
        "Repeats answered from the deduplication window.",
    ),
    (
        "ibiscove_broken_answers_total",
        Unit::Count,
        "Answers that broke off after their head.",
    ),
    (
        "ibiscove_outcome_queries_total",
        Unit::Count,
        "Questions about a request's outcome, by outcome.",
    ),
    (
        "ibiscove_peer_messages_total",
        Unit::Count,
        "Control messages between nodes, by direction and kind.",
    ),
    (
        "ibiscove_peer_bytes_total",
        Unit::Bytes,
        "Bytes of control messages, by direction and kind.",
    ),
];

/// Histograms: name and description, all in seconds.
const HISTOGRAMS: &[(&str, &str)] = &[
    (
        "ibiscove_request_seconds",
        "Whole time of a caller's request at its entry.",
    ),
    (
        "ibiscove_upstream_seconds",
        "Time from sending a request to the upstream to the head of its answer.",
    ),
    (
        "ibiscove_queue_seconds",
        "Time that a request waited at the gate.",
    ),
];

/// Returns the process's recorder, installed by the first node; none if the
/// surrounding program has installed another.
pub(crate) fn recorder() -> Option<&'static PrometheusHandle> {
    static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    RECORDER.get_or_init(install).as_ref()
}

fn install() -> Option<PrometheusHandle> {
    let buckets = Matcher::Suffix("_seconds".to_owned());
    let builder =
        PrometheusBuilder::new().set_buckets_for_metric(buckets, HISTOGRAM_BUCKETS_SECONDS);
    let handle = builder.ok()?.install_recorder();
    match handle {
        Ok(handle) => {
            describe();
            register_at_zero();
            Some(handle)
        }
        Err(err) => {
            log::warn!(
                "telemetry: the metrics recorder cannot be installed, /metrics stays empty: {err}"
            );
            None
        }
    }
}

fn describe() {
    for (name, unit, description) in COUNTERS {
        describe_counter!(*name, *unit, *description);
    }
    for (name, description) in HISTOGRAMS {
        describe_histogram!(*name, Unit::Seconds, *description);
    }
    describe_gauge!(
        "ibiscove_map_age_seconds",
        Unit::Seconds,
        "Time since this node last compared its rows with another's."
    );
}

/// Registers the counters of refusals and retries at zero.
fn register_at_zero() {
    let outcomes = [Outcome::NotRun, Outcome::Unknown];
    for role in [entry::ROLE, gate::ROLE] {
        for outcome in outcomes {
            let counters = Reason::ALL
                .iter()
                .map(|r| refusals::counter(role, *r, outcome));
            counters.for_each(|counter| counter.increment(0));
        }
    }
    for role in LISTENERS {
        let reasons = LISTENER_REASONS.iter();
        reasons.for_each(|r| refusals::counter(role, *r, Outcome::NotRun).increment(0));
    }
    for reason in Reason::ALL {
        counter!("ibiscove_retries_total", "reason" => reason.as_str()).increment(0);
    }
}
