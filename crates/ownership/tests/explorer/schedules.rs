//! Random fault schedules, each drawn from a seed.

use crate::cluster::{Cluster, CommitFault, SLOTS};
use ibiscove_sim::NodeIndex;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Number of schedules unless `IBISCOVE_SCHEDULES` sets another.
const DEFAULT_SCHEDULES: u64 = 400;
/// Threads that run schedules; each schedule runs on one.
const THREADS: u64 = 4;
/// Data centre of each node.
const DATA_CENTRES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];
/// Time before the first fault.
const WARM_UP: Duration = Duration::from_secs(4);
/// Number of faults in one schedule.
const FAULTS_PER_SCHEDULE: usize = 7;
/// Longest time between two faults.
const MAX_GAP_MS: u64 = 2_500;
/// Longest duration of a fault.
const MAX_FAULT_MS: u64 = 5_000;
/// Time within which every slot must be served once all faults have ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);
/// Largest number of processes lost in one schedule: two witnesses of three
/// must remain.
const MAX_PROCESS_LOSSES: usize = 1;

/// Runs one schedule; returns the invariant violations found.
pub fn run(seed: u64) -> Vec<String> {
    let cluster = Cluster::new(seed);
    let mut nodes = BTreeSet::new();
    for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
        nodes.insert(cluster.start(&format!("node-{number}"), data_centre));
    }
    cluster.run_for(WARM_UP);
    let mut process_losses = 0;
    for _ in 0..FAULTS_PER_SCHEDULE {
        inject_fault(&cluster, &mut nodes, &mut process_losses);
        let gap = cluster.sim().draw(|rng| rng.u64(0..MAX_GAP_MS));
        cluster.run_for(Duration::from_millis(gap));
        if cluster.sim().draw(|rng| rng.u8(..3)) == 0 {
            cluster.heal();
        }
    }
    cluster.heal();
    let started_at = cluster.sim().now();
    while !cluster.unserved().is_empty() && cluster.sim().now() - started_at < RECOVERY_LIMIT {
        cluster.run_for(Duration::from_millis(500));
    }
    let unserved = cluster.unserved();
    if std::env::var_os("IBISCOVE_SEED").is_some() {
        cluster.print_state();
    }
    let mut violations = cluster.finish();
    if !unserved.is_empty() {
        violations.push(format!(
            "not served after {RECOVERY_LIMIT:?}: slots {unserved:?}"
        ));
    }
    violations
}

fn inject_fault(cluster: &Cluster, nodes: &mut BTreeSet<NodeIndex>, process_losses: &mut usize) {
    let all: Vec<NodeIndex> = nodes.iter().copied().collect();
    let sim = cluster.sim();
    let node = sim.draw(|rng| all[rng.usize(..all.len())]);
    let other = sim.draw(|rng| all[rng.usize(..all.len())]);
    let duration = sim.draw(|rng| Duration::from_millis(rng.u64(100..MAX_FAULT_MS)));
    match sim.draw(|rng| rng.u8(..15)) {
        0 if *process_losses < MAX_PROCESS_LOSSES => {
            *process_losses += 1;
            nodes.remove(&node);
            cluster.kill(node);
        }
        1 if *process_losses < MAX_PROCESS_LOSSES => {
            *process_losses += 1;
            nodes.remove(&node);
            let (name, data_centre) = name_and_data_centre(cluster, node);
            cluster.kill(node);
            nodes.insert(cluster.start(&name, &data_centre));
        }
        2 | 3 => sim.freeze(node, duration),
        4 => cluster.isolate(&[node]),
        5 if node != other => cluster.set_partitioned(node, other, true),
        6 => cluster.isolate(&nodes_in_data_centre_of(cluster, node)),
        7 => cluster.set_table_reachable(None, false),
        8 => cluster.set_table_reachable(Some(node), false),
        9 => {
            let faults = sim.draw(|rng| [rng.u8(..4), rng.u8(..4), rng.u8(..4)]);
            cluster.inject_commit_faults(node, faults.map(|choice| commit_fault(choice, duration)));
        }
        10 if nodes.len() > 4 => {
            nodes.remove(&node);
            cluster.drain(node);
        }
        11 => cluster.set_message_loss(0.2),
        12..15 => {
            for _ in 0..3 {
                let slot = sim.draw(|rng| rng.u32(..SLOTS));
                cluster.propose(slot, other);
            }
        }
        _ => cluster.set_table_delay(duration / 10),
    }
}

fn commit_fault(choice: u8, duration: Duration) -> CommitFault {
    match choice {
        0 => CommitFault::LoseResponse,
        1 => CommitFault::Drop,
        2 => CommitFault::Delay(duration),
        _ => CommitFault::None,
    }
}

fn name_and_data_centre(cluster: &Cluster, node: NodeIndex) -> (String, String) {
    let nodes = cluster.nodes();
    let node = &nodes[&node];
    (node.name.clone(), node.data_centre.to_string())
}

/// Returns the nodes in the data centre of a node.
fn nodes_in_data_centre_of(cluster: &Cluster, node: NodeIndex) -> Vec<NodeIndex> {
    let nodes = cluster.nodes();
    let data_centre = nodes[&node].data_centre.clone();
    let members = nodes
        .iter()
        .filter(|(_, node)| node.data_centre == data_centre);
    members.map(|(index, _)| *index).collect()
}

/// Runs the schedules of these seeds on several threads; returns the failed
/// ones.
fn failed_seeds(seeds: std::ops::Range<u64>) -> Vec<(u64, Vec<String>)> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let assigned = seeds.clone().filter(move |seed| seed % THREADS == thread);
                scope.spawn(move || assigned.filter_map(run_caught).collect::<Vec<_>>())
            })
            .collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results
            .flat_map(|found| found.expect("panics are caught"))
            .collect()
    })
}

fn run_caught(seed: u64) -> Option<(u64, Vec<String>)> {
    let violations = catch_unwind(AssertUnwindSafe(|| run(seed)));
    let violations = violations.unwrap_or_else(|_| vec!["panicked".to_owned()]);
    (!violations.is_empty()).then_some((seed, violations))
}

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn random_schedules_violate_no_invariant() {
    let seeds = match env_number("IBISCOVE_SEED") {
        // A single seed is run with log lines, and prints the rows at its end.
        Some(seed) => {
            log::set_max_level(log::LevelFilter::Info);
            // Fails only when a logger has already been set.
            let _ = log::set_logger(&crate::StdoutLogger);
            seed..seed + 1
        }
        None => 0..env_number("IBISCOVE_SCHEDULES").unwrap_or(DEFAULT_SCHEDULES),
    };
    let failed_seeds = failed_seeds(seeds);
    for (seed, violations) in &failed_seeds {
        println!(
            "seed {seed}: {} violations, first: {}",
            violations.len(),
            violations[0]
        );
    }
    assert!(
        failed_seeds.is_empty(),
        "{} schedules failed",
        failed_seeds.len()
    );
}

#[test]
fn same_seed_repeats_the_same_run() {
    let executions_of = |seed| {
        let cluster = Cluster::new(seed);
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            cluster.start(&format!("node-{number}"), data_centre);
        }
        cluster.run_for(WARM_UP * 2);
        let executions = cluster.checker().executions;
        cluster.finish();
        executions
    };
    let first = executions_of(1);
    assert!(first > 0, "nothing ran");
    assert_eq!(first, executions_of(1));
}
