//! Metric of refused requests, shared by all roles and listeners of a node.

use ibiscove_types::{Outcome, Reason};

/// Returns the counter of requests that `role` refused, by reason and outcome.
pub fn counter(role: &'static str, reason: Reason, outcome: Outcome) -> metrics::Counter {
    metrics::counter!(
        "ibiscove_refusals_total",
        "role" => role,
        "reason" => reason.as_str(),
        "outcome" => outcome.as_str(),
    )
}

/// Returns the same counter with the place in the node that refused.
pub fn counter_at(
    role: &'static str,
    place: &'static str,
    reason: Reason,
    outcome: Outcome,
) -> metrics::Counter {
    metrics::counter!(
        "ibiscove_refusals_total",
        "role" => role,
        "place" => place,
        "reason" => reason.as_str(),
        "outcome" => outcome.as_str(),
    )
}
