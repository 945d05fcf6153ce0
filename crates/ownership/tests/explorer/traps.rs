//! One test for each situation that has a rule of its own.

use crate::world::{CommitFault, SLOTS, World};
use ibiscove_sim::NodeIndex;
use std::time::Duration;

/// Runs of each test, with different delays and clock rates.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..12;
/// Data centre of each node.
const DATA_CENTRES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];
/// Time within which a lost node's slots must be served again.
pub(crate) const TARGET: Duration = Duration::from_secs(4);
/// Longer than a lease, its settling and a rejoin together.
pub(crate) const LONG: Duration = Duration::from_secs(10);

/// Runs a test for each seed, on a world whose nodes are all covered.
pub(crate) fn for_each_seed(test: impl Fn(&World, &[NodeIndex])) {
    for_each_seed_in(&DATA_CENTRES, test);
}

/// Runs a test for each seed, with one node in each data centre listed.
fn for_each_seed_in(data_centres: &[&str], test: impl Fn(&World, &[NodeIndex])) {
    for seed in SEEDS {
        println!("seed {seed}");
        let world = World::new(seed);
        let nodes: Vec<NodeIndex> = data_centres
            .iter()
            .enumerate()
            .map(|(number, data_centre)| world.start(&format!("node-{number}"), data_centre))
            .collect();
        world.await_covered();
        test(&world, &nodes);
        let broken = world.finish();
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    }
}

/// The node that serves slot 0.
pub(crate) fn owner(world: &World) -> NodeIndex {
    world.owner(0).expect("every slot is served")
}

/// The fence under which slot 0 is served.
fn fence(world: &World, node: NodeIndex) -> u64 {
    let own = world.nodes()[&node].own.clone();
    let admission = own.admit(Some(0)).expect("the node serves the slot");
    admission.fence.expect("a slot has a fence")
}

/// Nodes that stand as witnesses in a node's row.
pub(crate) fn witnesses(world: &World, node: NodeIndex) -> Vec<NodeIndex> {
    let nodes = world.nodes();
    let row = nodes[&node].own.row();
    let is_witness = |own: u64| row.witnesses.contains(&own);
    let named = nodes
        .iter()
        .filter(|(_, n)| is_witness(n.own.incarnation()));
    named.map(|(index, _)| *index).collect()
}

#[yare::parameterized(
    table_up = { true },
    table_down = { false },
)]
fn a_lost_nodes_slots_are_served_in_time(table: bool) {
    for_each_seed(|world, _| {
        let lost = owner(world);
        let before = fence(world, lost);
        world.set_table(None, table);
        world.kill(lost);
        let took = world.await_served(TARGET);
        assert!(took > Duration::from_secs(1), "before the lease had ended");
        assert_eq!(fence(world, owner(world)), before + 1);
        world.heal();
        world.run_for(LONG);
        assert!(world.unserved().is_empty());
    });
}

#[test]
fn a_settled_takeover_gives_what_the_heirs_served() {
    for_each_seed(|world, _| {
        let lost = owner(world);
        world.set_table(None, false);
        world.kill(lost);
        world.await_served(TARGET);
        let owners: Vec<_> = (0..SLOTS).map(|slot| world.owner(slot)).collect();
        world.heal();
        world.run_for(LONG);
        let settled: Vec<_> = (0..SLOTS).map(|slot| world.owner(slot)).collect();
        assert_eq!(owners, settled);
    });
}

#[test]
fn a_data_centre_is_lost_at_once() {
    for_each_seed(|world, nodes| {
        for node in nodes.iter().filter(|node| (*node - 1) % 3 == 0) {
            world.kill(*node);
        }
        world.await_served(TARGET);
    });
}

#[test]
fn a_witness_change_whose_answer_was_lost_needs_both_sets() {
    for_each_seed_in(&["a", "b", "a", "b", "a"], |world, nodes| {
        let node = owner(world);
        let old = world.row(node).witnesses;
        for node in nodes {
            world.fault_commits(*node, [CommitFault::LoseTable(Duration::ZERO)]);
        }
        // A third data centre is worth a witness there. The one that it
        // replaces is well, and goes on to acknowledge.
        world.start("node-c", "c");
        world.await_that("the row names another witness", LONG, |world| {
            world.row(node).witnesses != old
        });
        let new = world.row(node).witnesses;
        let kept = new.iter().find(|witness| old.contains(witness));
        for witness in new.iter().filter(|witness| Some(*witness) != kept) {
            let witness = world.node_of(*witness).expect("a live witness");
            world.set_cut(node, witness, true);
        }
        for other in nodes.iter().filter(|other| **other != node) {
            world.set_table(Some(*other), true);
        }
        world.run_for(LONG);
        assert_ne!(world.owner(0), Some(node), "an old witness made up a lease");
        world.heal();
        world.await_served(LONG);
    });
}

#[test]
fn a_change_of_heirs_whose_answer_was_lost_takes_effect_late() {
    for_each_seed(|world, _| {
        let node = owner(world);
        let row = world.row(node);
        let mut both = row.witnesses.iter().filter(|w| row.heirs.contains(w));
        let heir = both.next().and_then(|heir| world.node_of(*heir));
        let before = row.heirs.clone();
        world.fault_commits(node, [CommitFault::LoseTable(Duration::from_secs(4))]);
        world.set_cut(node, heir.expect("an heir that is a witness"), true);
        world.await_that("it takes effect", LONG * 2, |world| {
            world.row(node).heirs != before
        });
        world.kill(node);
        world.await_served(LONG);
        world.heal();
        world.run_for(LONG);
    });
}

#[test]
fn a_planned_move_keeps_to_one_owner() {
    for_each_seed(|world, nodes| {
        let from = owner(world);
        let before = fence(world, from);
        let to = nodes
            .iter()
            .copied()
            .find(|node| *node != from)
            .expect("another node");
        world.propose(0, to);
        world.await_that("the slot has moved", TARGET, |world| {
            world.owner(0) == Some(to)
        });
        assert_eq!(fence(world, to), before + 1);
        assert!(world.unserved().is_empty());
    });
}

#[test]
fn all_nodes_leave_at_once_and_others_start() {
    for_each_seed(|world, nodes| {
        for node in nodes {
            world.drain(*node);
        }
        world.run_for(LONG);
        assert!(
            world.nodes().values().all(|node| !node.alive),
            "a node stayed"
        );
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            world.start(&format!("new-{number}"), data_centre);
        }
        world.await_served(LONG);
    });
}

#[yare::parameterized(
    late = { CommitFault::Delay(Duration::from_secs(6)) },
    at_once = { CommitFault::LoseAnswer },
    never = { CommitFault::Vanish },
)]
fn a_lost_write_after_the_lease_has_ended_changes_nothing(fault: CommitFault) {
    for_each_seed(|world, nodes| {
        let node = owner(world);
        let witness = witnesses(world, node)[0];
        world.fault_commits(node, [fault, fault]);
        world.kill(witness);
        // Long enough for the node to have sent its change.
        world.run_for(Duration::from_millis(2_500));
        let others: Vec<NodeIndex> = nodes.iter().copied().filter(|n| *n != node).collect();
        world.isolate(&[node]);
        world.set_table(Some(node), false);
        world.run_for(LONG);
        assert!(others.contains(&owner(world)), "nobody took over");
        world.heal();
        world.await_served(LONG);
    });
}

#[test]
fn a_node_is_sealed_while_it_leaves() {
    for_each_seed(|world, _| {
        let node = owner(world);
        world.fault_commits(node, [CommitFault::Delay(Duration::from_secs(3))]);
        world.drain(node);
        world.run_for(Duration::from_millis(500));
        world.isolate(&[node]);
        world.run_for(LONG);
        world.heal();
        world.await_served(LONG);
    });
}

#[yare::parameterized(
    majority_side = { false },
    minority_side = { true },
)]
fn the_table_is_reachable_from_one_side_of_a_partition(minority: bool) {
    for_each_seed(|world, nodes| {
        let apart: Vec<NodeIndex> = nodes.iter().copied().filter(|n| (n - 1) % 3 == 0).collect();
        world.isolate(&apart);
        for node in nodes {
            world.set_table(Some(*node), apart.contains(node) == minority);
        }
        world.run_for(LONG);
        world.heal();
        world.await_served(LONG);
    });
}

#[test]
fn a_frozen_node_wakes_and_serves_nothing_old() {
    for_each_seed(|world, _| {
        let node = owner(world);
        let before = fence(world, node);
        world.sim().freeze(node, Duration::from_secs(6));
        world.await_served(TARGET);
        assert!(fence(world, owner(world)) > before);
        world.run_for(LONG);
        let row = world.nodes()[&node].own.row();
        assert!(
            row.grants
                .iter()
                .all(|grant| grant.slot != 0 || grant.fence > before)
        );
    });
}

#[test]
fn an_heir_is_lost_during_the_outage_in_which_it_took_over() {
    for_each_seed(|world, _| {
        let lost = owner(world);
        world.set_table(None, false);
        world.kill(lost);
        world.await_served(TARGET);
        world.kill(owner(world));
        world.run_for(LONG);
        // What the heir had taken over waits for the table, and no longer.
        world.heal();
        world.await_served(LONG);
    });
}

#[test]
fn a_sealed_node_joins_again_with_nothing() {
    for_each_seed(|world, _| {
        let node = owner(world);
        let before = world.nodes()[&node].own.incarnation();
        world.isolate(&[node]);
        world.run_for(TARGET);
        world.heal();
        world.await_that("it joins as another incarnation", LONG, |world| {
            world.nodes()[&node].own.incarnation() != before
        });
        world.await_served(LONG);
    });
}

#[test]
fn a_cluster_lost_whole_is_declared_lost_and_replaced() {
    for_each_seed(|world, nodes| {
        for node in nodes {
            world.kill(*node);
        }
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            world.start(&format!("new-{number}"), data_centre);
        }
        world.run_for(LONG);
        assert_eq!(world.unserved().len(), SLOTS as usize, "nobody could know");
        let names = (0..nodes.len()).map(|number| format!("node-{number}"));
        let names: Vec<String> = names.collect();
        for node in world.nodes().values().filter(|node| node.alive) {
            node.own.declare_lost(names.clone());
        }
        world.await_served(LONG * 3);
    });
}

#[test]
fn a_declared_node_that_answers_is_left_alone() {
    for_each_seed(|world, nodes| {
        let before: Vec<_> = (0..SLOTS).map(|slot| world.owner(slot)).collect();
        let names = (0..nodes.len()).map(|number| format!("node-{number}"));
        let names: Vec<String> = names.collect();
        for node in world.nodes().values() {
            node.own.declare_lost(names.clone());
        }
        world.run_for(LONG);
        let after: Vec<_> = (0..SLOTS).map(|slot| world.owner(slot)).collect();
        assert_eq!(before, after);
    });
}
