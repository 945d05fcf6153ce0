//! All owners return at once after a loss of power, and each assigns its ranges, which
//! lie in most sections of the map, to the new incarnation of its upstream.

use crate::cluster::Cluster;
use ibiscove_ranges::ControllerSettings;
use std::time::Duration;

/// Owners of a large divided service.
const OWNERS: usize = 24;
/// Time at which all lose power: all keys are held.
const START: Duration = Duration::from_secs(12);
/// How long they are without power.
const DOWN: Duration = Duration::from_millis(900);
/// Time from their return to the moment by which all keys must be held again: the
/// grants of the earlier processes must have expired first.
const RECOVERY_PERIOD: Duration = Duration::from_secs(15);
/// Most calls to the table that each owner may make in that time: its lease and its
/// directory take some ten.
const MAX_CALLS_PER_OWNER: usize = 40;

/// Guards against owners that keep defeating one another's writes to the map, so that
/// keys stay unheld and the table is flooded.
#[test]
fn owners_that_return_together_assign_their_ranges_with_few_calls() {
    for seed in 0..2 {
        let cluster = Cluster::new(seed, OWNERS, ControllerSettings::default());
        cluster.sim.run_until(START);
        assert!(cluster.upstreams.unheld_keys().is_empty(), "seed {seed}");
        for node in 0..OWNERS {
            cluster.kill(node);
            cluster.upstreams.stop(node);
        }
        cluster.sim.run_until(START + DOWN);
        for node in 0..OWNERS {
            cluster.upstreams.start(node);
            cluster.start(node);
        }
        let before = cluster.table.call_count();
        cluster.sim.run_until(START + DOWN + RECOVERY_PERIOD);
        let calls = cluster.table.call_count() - before;
        let unheld = cluster.upstreams.unheld_keys();
        println!("seed {seed}: {calls} calls, {} keys unheld", unheld.len());
        assert!(unheld.is_empty(), "seed {seed}: nobody holds {unheld:?}");
        assert!(
            calls <= OWNERS * MAX_CALLS_PER_OWNER,
            "seed {seed}: {calls} calls"
        );
        let violations = cluster.upstreams.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        cluster.finish();
    }
}
