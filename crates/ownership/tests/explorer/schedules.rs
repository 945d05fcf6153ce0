//! Random schedules of faults.

use crate::world::{CommitFault, SLOTS, World};
use ibiscove_sim::NodeIndex;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Schedules that are run unless `IBISCOVE_SCHEDULES` says more.
const SCHEDULES: u64 = 400;
/// Threads that run them; each schedule stays on one.
const THREADS: u64 = 4;
/// Nodes of a schedule; data centre of each.
const DATA_CENTRES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];
/// Time without faults before the first.
const WARM_UP: Duration = Duration::from_secs(4);
/// Faults of one schedule.
const FAULTS: usize = 7;
/// Longest time between two faults.
const LONGEST_GAP_MS: u64 = 2_500;
/// Longest time that a fault lasts.
const LONGEST_FAULT_MS: u64 = 5_000;
/// Time within which all is served again once the faults have ended.
const RECOVERY: Duration = Duration::from_secs(30);
/// Losses of processes in one schedule: two witnesses of three must stay.
const MOST_LOST: usize = 1;

/// Runs one schedule; gives what was broken.
pub fn run(seed: u64) -> Vec<String> {
    let world = World::new(seed);
    let mut nodes = BTreeSet::new();
    for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
        nodes.insert(world.start(&format!("node-{number}"), data_centre));
    }
    world.run_for(WARM_UP);
    let mut lost = 0;
    for _ in 0..FAULTS {
        fault(&world, &mut nodes, &mut lost);
        let gap = world.sim().draw(|rng| rng.u64(0..LONGEST_GAP_MS));
        world.run_for(Duration::from_millis(gap));
        if world.sim().draw(|rng| rng.u8(..3)) == 0 {
            world.heal();
        }
    }
    world.heal();
    let began = world.sim().now();
    while !world.unserved().is_empty() && world.sim().now() - began < RECOVERY {
        world.run_for(Duration::from_millis(500));
    }
    let unserved = world.unserved();
    if std::env::var_os("IBISCOVE_SEED").is_some() {
        world.print();
    }
    let mut broken = world.finish();
    if !unserved.is_empty() {
        broken.push(format!("not served after {RECOVERY:?}: slots {unserved:?}"));
    }
    broken
}

fn fault(world: &World, nodes: &mut BTreeSet<NodeIndex>, lost: &mut usize) {
    let all: Vec<NodeIndex> = nodes.iter().copied().collect();
    let sim = world.sim();
    let node = sim.draw(|rng| all[rng.usize(..all.len())]);
    let other = sim.draw(|rng| all[rng.usize(..all.len())]);
    let length = sim.draw(|rng| Duration::from_millis(rng.u64(100..LONGEST_FAULT_MS)));
    match sim.draw(|rng| rng.u8(..15)) {
        0 if *lost < MOST_LOST => {
            *lost += 1;
            nodes.remove(&node);
            world.kill(node);
        }
        1 if *lost < MOST_LOST => {
            *lost += 1;
            nodes.remove(&node);
            let (name, data_centre) = identity(world, node);
            world.kill(node);
            nodes.insert(world.start(&name, &data_centre));
        }
        2 | 3 => sim.freeze(node, length),
        4 => world.isolate(&[node]),
        5 if node != other => world.set_cut(node, other, true),
        6 => world.isolate(&data_centre(world, node)),
        7 => world.set_table(None, false),
        8 => world.set_table(Some(node), false),
        9 => {
            let faults = sim.draw(|rng| [rng.u8(..4), rng.u8(..4), rng.u8(..4)]);
            world.fault_commits(node, faults.map(|fault| commit_fault(fault, length)));
        }
        10 if nodes.len() > 4 => {
            nodes.remove(&node);
            world.drain(node);
        }
        11 => world.set_loss(0.2),
        12..15 => {
            for _ in 0..3 {
                let slot = sim.draw(|rng| rng.u32(..SLOTS));
                world.propose(slot, other);
            }
        }
        _ => world.set_table_delay(length / 10),
    }
}

fn commit_fault(choice: u8, length: Duration) -> CommitFault {
    match choice {
        0 => CommitFault::LoseAnswer,
        1 => CommitFault::Vanish,
        2 => CommitFault::Delay(length),
        _ => CommitFault::None,
    }
}

fn identity(world: &World, node: NodeIndex) -> (String, String) {
    let nodes = world.nodes();
    let node = &nodes[&node];
    (node.name.clone(), node.data_centre.to_string())
}

/// The nodes of the data centre of a node.
fn data_centre(world: &World, node: NodeIndex) -> Vec<NodeIndex> {
    let nodes = world.nodes();
    let wanted = nodes[&node].data_centre.clone();
    let there = nodes.iter().filter(|(_, node)| node.data_centre == wanted);
    there.map(|(index, _)| *index).collect()
}

/// Runs the schedules of the seeds given, on several threads.
fn failures(seeds: std::ops::Range<u64>) -> Vec<(u64, Vec<String>)> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let mine = seeds.clone().filter(move |seed| seed % THREADS == thread);
                scope.spawn(move || mine.filter_map(failure).collect::<Vec<_>>())
            })
            .collect();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined
            .flat_map(|found| found.expect("panics are caught"))
            .collect()
    })
}

fn failure(seed: u64) -> Option<(u64, Vec<String>)> {
    let broken = catch_unwind(AssertUnwindSafe(|| run(seed)));
    let broken = broken.unwrap_or_else(|_| vec!["panicked".to_owned()]);
    (!broken.is_empty()).then_some((seed, broken))
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn random_schedules_break_no_rule() {
    let seeds = match number("IBISCOVE_SEED") {
        // One seed alone, with log lines and the rows at its end.
        Some(seed) => {
            log::set_max_level(log::LevelFilter::Info);
            // Fails only when a logger has been set before.
            let _ = log::set_logger(&crate::Lines);
            seed..seed + 1
        }
        None => 0..number("IBISCOVE_SCHEDULES").unwrap_or(SCHEDULES),
    };
    let failures = failures(seeds);
    for (seed, broken) in &failures {
        println!("seed {seed}: {} broken, first: {}", broken.len(), broken[0]);
    }
    assert!(failures.is_empty(), "{} schedules failed", failures.len());
}

#[test]
fn a_schedule_runs_the_same_way_twice() {
    let count = |seed| {
        let world = World::new(seed);
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            world.start(&format!("node-{number}"), data_centre);
        }
        world.run_for(WARM_UP * 2);
        let executions = world.checker().executions;
        world.finish();
        executions
    };
    let first = count(1);
    assert!(first > 0, "nothing ran");
    assert_eq!(first, count(1));
}
