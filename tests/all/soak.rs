//! Short runs of the random-fault soak test; see `docs/soak.md`.

use ibiscove_soak::{RunSettings, run_seed};
use yare::parameterized;

/// Number of nodes of a run: two of each service.
const NODES: usize = 6;

#[parameterized(
    kills_and_store_delays = { 1 },
    drains_and_partitions = { 2 },
)]
fn random_faults_violate_no_guarantee(seed: u64) {
    let dir = std::env::temp_dir().join(format!("ibiscove-soak-{}-{seed}", std::process::id()));
    let settings = RunSettings {
        binary: env!("CARGO_BIN_EXE_ibiscove").into(),
        seed,
        nodes: NODES,
        dir: dir.clone(),
    };
    let report = smol::block_on(run_seed(settings)).expect("the soak can start on loopback");
    assert!(
        report.violations.is_empty(),
        "logs in {}\n{:#?}\n{:#?}",
        dir.display(),
        report.violations,
        report.faults
    );
    assert!(report.served > report.sent / 2, "{report:?}");
    std::fs::remove_dir_all(dir).expect("the run created the directory");
}
