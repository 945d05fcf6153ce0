//! A short run of the fault soak; see `docs/soak.md`.

use ibiscove_soak::{RunSettings, run_seed};
use yare::parameterized;

/// Nodes of a run: two of each service.
const NODES: usize = 6;

#[parameterized(
    kills_and_a_late_store = { 1 },
    drains_and_cut_links = { 2 },
)]
fn no_promise_is_broken_under_drawn_faults(seed: u64) {
    let dir = std::env::temp_dir().join(format!("ibiscove-soak-{}-{seed}", std::process::id()));
    let settings = RunSettings {
        binary: env!("CARGO_BIN_EXE_ibiscove").into(),
        seed,
        nodes: NODES,
        dir: dir.clone(),
    };
    let report = smol::block_on(run_seed(settings)).expect("loopback has room for a run");
    assert!(
        report.violations.is_empty(),
        "logs in {}\n{:#?}\n{:#?}",
        dir.display(),
        report.violations,
        report.faults
    );
    assert!(report.served > report.sent / 2, "{report:?}");
    std::fs::remove_dir_all(dir).expect("the run made it");
}
