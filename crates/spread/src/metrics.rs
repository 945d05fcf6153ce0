//! Metrics of replication. `docs/operators/alerts.md` says what an operator
//! does about them.

use std::time::Duration;

/// Counts a received row, text or snapshot that was rejected.
pub(crate) fn count_rejected(reason: &'static str) {
    ::metrics::counter!("ibiscove_spread_rejected_total", "reason" => reason).increment(1);
}

/// Counts a call to a peer that failed: a push, a comparison or a fetch of a
/// text.
pub(crate) fn count_failed(call: &'static str) {
    ::metrics::counter!("ibiscove_spread_failures_total", "call" => call).increment(1);
}

/// Counts a read of the whole table, by result.
pub(crate) fn count_table_read(result: &'static str) {
    ::metrics::counter!("ibiscove_spread_table_reads_total", "result" => result).increment(1);
}

/// Sets the time since the last successful comparison with a peer.
pub(crate) fn set_age(age: Duration) {
    ::metrics::gauge!("ibiscove_map_age_seconds").set(age.as_secs_f64());
}
