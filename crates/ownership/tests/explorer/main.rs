//! Ownership under faults, deterministic by seed: a seeded executor with
//! virtual time, fakes at the interfaces, and a checker of what ran.

mod checker;
mod membership;
mod schedules;
mod traps;
mod world;

/// Prints log lines of a run of one seed.
struct Lines;

impl log::Log for Lines {
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
