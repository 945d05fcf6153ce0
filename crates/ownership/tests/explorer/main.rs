//! Model checker of the ownership protocol.
//!
//! Each run simulates a small cluster on a seeded executor with virtual time:
//! nodes run the real protocol over a simulated network, table and clocks,
//! under a schedule of injected faults. Two invariants are checked throughout:
//! the executions of a slot never overlap between two owners nor use a lower
//! fence than an earlier one, and the table assigns each slot exactly once
//! (invariant 1). A run is reproducible from its seed.
//!
//! `scenarios` and `membership` are fixed fault schedules; `schedules` draws
//! random ones.

mod cluster;
mod invariants;
mod membership;
mod scenarios;
mod schedules;

/// Logger that prints the log lines of a run of one seed.
struct StdoutLogger;

impl log::Log for StdoutLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        println!(
            "{} {}: {}",
            ibiscove_sim::log_prefix(),
            record.target(),
            record.args()
        );
    }

    fn flush(&self) {}
}
