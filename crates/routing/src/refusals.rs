//! The counter of refusals, which every role and listener shares.

use ibiscove_types::{Outcome, Reason};

/// The counter of requests that `role` refused for a reason with an outcome.
pub fn counter(role: &'static str, reason: Reason, outcome: Outcome) -> metrics::Counter {
    metrics::counter!(
        "ibiscove_refusals_total",
        "role" => role,
        "reason" => reason.as_str(),
        "outcome" => outcome.as_str(),
    )
}
