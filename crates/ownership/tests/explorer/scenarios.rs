//! Fixed fault schedules, one for each situation that the protocol handles by a
//! rule of its own.

use crate::cluster::{Cluster, CommitFault, SLOTS};
use ibiscove_sim::NodeIndex;
use std::time::Duration;

/// Seeds of each test: they vary latencies and clock rates.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..12;
/// Data centre of each node.
const DATA_CENTRES: [&str; 6] = ["a", "b", "c", "a", "b", "c"];
/// Time within which a lost node's slots must be served again.
pub(crate) const TAKEOVER_LIMIT: Duration = Duration::from_secs(4);
/// Longer than a lease, the commit of a takeover and a rejoin together.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Runs a test for each seed, on a cluster whose nodes are all ready for
/// takeover.
pub(crate) fn for_each_seed(test: impl Fn(&Cluster, &[NodeIndex])) {
    for_each_seed_in(&DATA_CENTRES, test);
}

/// Runs a test for each seed, with one node in each data centre listed.
fn for_each_seed_in(data_centres: &[&str], test: impl Fn(&Cluster, &[NodeIndex])) {
    for seed in SEEDS {
        println!("seed {seed}");
        let cluster = Cluster::new(seed);
        let nodes: Vec<NodeIndex> = data_centres
            .iter()
            .enumerate()
            .map(|(number, data_centre)| cluster.start(&format!("node-{number}"), data_centre))
            .collect();
        cluster.await_takeover_ready();
        test(&cluster, &nodes);
        let violations = cluster.finish();
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// Returns the node that serves slot 0.
pub(crate) fn owner(cluster: &Cluster) -> NodeIndex {
    cluster.owner(0).expect("every slot is served")
}

/// Returns the fence under which slot 0 is served.
fn slot_fence(cluster: &Cluster, node: NodeIndex) -> u64 {
    let ownership = cluster.nodes()[&node].ownership.clone();
    let admission = ownership.admit(Some(0)).expect("the node serves the slot");
    admission.fence.expect("a slot has a fence")
}

/// Returns the witnesses that a node's row names.
pub(crate) fn witnesses(cluster: &Cluster, node: NodeIndex) -> Vec<NodeIndex> {
    let nodes = cluster.nodes();
    let row = nodes[&node].ownership.row();
    let is_witness = |incarnation: u64| row.witnesses.contains(&incarnation);
    let named = nodes
        .iter()
        .filter(|(_, n)| is_witness(n.ownership.incarnation()));
    named.map(|(index, _)| *index).collect()
}

#[yare::parameterized(
    table_up = { true },
    table_down = { false },
)]
fn slots_of_a_lost_node_are_served_within_the_limit(table_up: bool) {
    for_each_seed(|cluster, _| {
        let lost = owner(cluster);
        let before = slot_fence(cluster, lost);
        cluster.set_table_reachable(None, table_up);
        cluster.kill(lost);
        let elapsed = cluster.await_served(TAKEOVER_LIMIT);
        assert!(
            elapsed > Duration::from_secs(1),
            "before the lease had ended"
        );
        assert_eq!(slot_fence(cluster, owner(cluster)), before + 1);
        cluster.heal();
        cluster.run_for(RECOVERY_TIME);
        assert!(cluster.unserved().is_empty());
    });
}

#[test]
fn table_confirms_the_owners_that_served_during_its_outage() {
    for_each_seed(|cluster, _| {
        let lost = owner(cluster);
        cluster.set_table_reachable(None, false);
        cluster.kill(lost);
        cluster.await_served(TAKEOVER_LIMIT);
        let owners: Vec<_> = (0..SLOTS).map(|slot| cluster.owner(slot)).collect();
        cluster.heal();
        cluster.run_for(RECOVERY_TIME);
        let owners_in_table: Vec<_> = (0..SLOTS).map(|slot| cluster.owner(slot)).collect();
        assert_eq!(owners, owners_in_table);
    });
}

#[test]
fn losing_a_data_centre_leaves_every_slot_served() {
    for_each_seed(|cluster, nodes| {
        for node in nodes.iter().filter(|node| (*node - 1) % 3 == 0) {
            cluster.kill(*node);
        }
        cluster.await_served(TAKEOVER_LIMIT);
    });
}

#[test]
fn unconfirmed_witness_change_requires_both_majorities() {
    for_each_seed_in(&["a", "b", "a", "b", "a"], |cluster, nodes| {
        let node = owner(cluster);
        let old = cluster.row(node).witnesses;
        for node in nodes {
            cluster.inject_commit_faults(*node, [CommitFault::DisconnectTable(Duration::ZERO)]);
        }
        // A node in a third data centre is preferred as a witness. The one that
        // it replaces is healthy, and continues to acknowledge.
        cluster.start("node-c", "c");
        cluster.await_condition("the row names another witness", RECOVERY_TIME, |cluster| {
            cluster.row(node).witnesses != old
        });
        let new = cluster.row(node).witnesses;
        let retained = new.iter().find(|witness| old.contains(witness));
        for witness in new.iter().filter(|witness| Some(*witness) != retained) {
            let witness = cluster.node_of(*witness).expect("a live witness");
            cluster.set_partitioned(node, witness, true);
        }
        for other in nodes.iter().filter(|other| **other != node) {
            cluster.set_table_reachable(Some(*other), true);
        }
        cluster.run_for(RECOVERY_TIME);
        assert_ne!(
            cluster.owner(0),
            Some(node),
            "a replaced witness granted a lease"
        );
        cluster.heal();
        cluster.await_served(RECOVERY_TIME);
    });
}

#[test]
fn delayed_successor_change_is_safe_under_takeover() {
    for_each_seed(|cluster, _| {
        let node = owner(cluster);
        let row = cluster.row(node);
        let mut successors_that_witness = row.witnesses.iter().filter(|w| row.heirs.contains(w));
        let successor = successors_that_witness
            .next()
            .and_then(|successor| cluster.node_of(*successor));
        let before = row.heirs.clone();
        cluster.inject_commit_faults(node, [CommitFault::DisconnectTable(Duration::from_secs(4))]);
        cluster.set_partitioned(
            node,
            successor.expect("a successor that is a witness"),
            true,
        );
        cluster.await_condition("the change takes effect", RECOVERY_TIME * 2, |cluster| {
            cluster.row(node).heirs != before
        });
        cluster.kill(node);
        cluster.await_served(RECOVERY_TIME);
        cluster.heal();
        cluster.run_for(RECOVERY_TIME);
    });
}

#[test]
fn planned_move_keeps_one_owner() {
    for_each_seed(|cluster, nodes| {
        let from = owner(cluster);
        let before = slot_fence(cluster, from);
        let to = nodes
            .iter()
            .copied()
            .find(|node| *node != from)
            .expect("another node");
        cluster.propose(0, to);
        cluster.await_condition("the slot has moved", TAKEOVER_LIMIT, |cluster| {
            cluster.owner(0) == Some(to)
        });
        assert_eq!(slot_fence(cluster, to), before + 1);
        assert!(cluster.unserved().is_empty());
    });
}

#[test]
fn replacing_every_node_at_once_restores_service() {
    for_each_seed(|cluster, nodes| {
        for node in nodes {
            cluster.drain(*node);
        }
        cluster.run_for(RECOVERY_TIME);
        assert!(
            cluster.nodes().values().all(|node| !node.alive),
            "a node has not left"
        );
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            cluster.start(&format!("new-{number}"), data_centre);
        }
        cluster.await_served(RECOVERY_TIME);
    });
}

#[yare::parameterized(
    applied_later = { CommitFault::Delay(Duration::from_secs(6)) },
    applied_at_once = { CommitFault::LoseResponse },
    never_applied = { CommitFault::Drop },
)]
fn lost_commit_after_lease_expiry_has_no_effect(fault: CommitFault) {
    for_each_seed(|cluster, nodes| {
        let node = owner(cluster);
        let witness = witnesses(cluster, node)[0];
        cluster.inject_commit_faults(node, [fault, fault]);
        cluster.kill(witness);
        // Long enough for the node to send its change.
        cluster.run_for(Duration::from_millis(2_500));
        let others: Vec<NodeIndex> = nodes.iter().copied().filter(|n| *n != node).collect();
        cluster.isolate(&[node]);
        cluster.set_table_reachable(Some(node), false);
        cluster.run_for(RECOVERY_TIME);
        assert!(others.contains(&owner(cluster)), "no other node took over");
        cluster.heal();
        cluster.await_served(RECOVERY_TIME);
    });
}

#[test]
fn node_sealed_while_draining_is_taken_over() {
    for_each_seed(|cluster, _| {
        let node = owner(cluster);
        cluster.inject_commit_faults(node, [CommitFault::Delay(Duration::from_secs(3))]);
        cluster.drain(node);
        cluster.run_for(Duration::from_millis(500));
        cluster.isolate(&[node]);
        cluster.run_for(RECOVERY_TIME);
        cluster.heal();
        cluster.await_served(RECOVERY_TIME);
    });
}

#[yare::parameterized(
    majority_side = { false },
    minority_side = { true },
)]
fn partition_with_the_table_on_one_side_recovers(table_on_minority_side: bool) {
    for_each_seed(|cluster, nodes| {
        let isolated: Vec<NodeIndex> = nodes.iter().copied().filter(|n| (n - 1) % 3 == 0).collect();
        cluster.isolate(&isolated);
        for node in nodes {
            cluster.set_table_reachable(
                Some(*node),
                isolated.contains(node) == table_on_minority_side,
            );
        }
        cluster.run_for(RECOVERY_TIME);
        cluster.heal();
        cluster.await_served(RECOVERY_TIME);
    });
}

#[test]
fn frozen_node_does_not_resume_under_its_old_fence() {
    for_each_seed(|cluster, _| {
        let node = owner(cluster);
        let before = slot_fence(cluster, node);
        cluster.sim().freeze(node, Duration::from_secs(6));
        cluster.await_served(TAKEOVER_LIMIT);
        assert!(slot_fence(cluster, owner(cluster)) > before);
        cluster.run_for(RECOVERY_TIME);
        let row = cluster.nodes()[&node].ownership.row();
        assert!(
            row.grants
                .iter()
                .all(|grant| grant.slot != 0 || grant.fence > before)
        );
    });
}

#[test]
fn successor_lost_during_a_table_outage_is_taken_over_afterwards() {
    for_each_seed(|cluster, _| {
        let lost = owner(cluster);
        cluster.set_table_reachable(None, false);
        cluster.kill(lost);
        cluster.await_served(TAKEOVER_LIMIT);
        cluster.kill(owner(cluster));
        cluster.run_for(RECOVERY_TIME);
        // The slots that the successor took over are served again once the
        // table is reachable.
        cluster.heal();
        cluster.await_served(RECOVERY_TIME);
    });
}

#[test]
fn sealed_node_rejoins_as_another_incarnation() {
    for_each_seed(|cluster, _| {
        let node = owner(cluster);
        let before = cluster.nodes()[&node].ownership.incarnation();
        cluster.isolate(&[node]);
        cluster.run_for(TAKEOVER_LIMIT);
        cluster.heal();
        cluster.await_condition(
            "the node rejoins as another incarnation",
            RECOVERY_TIME,
            |cluster| cluster.nodes()[&node].ownership.incarnation() != before,
        );
        cluster.await_served(RECOVERY_TIME);
    });
}

#[test]
fn cluster_declared_lost_is_replaced_by_new_nodes() {
    for_each_seed(|cluster, nodes| {
        for node in nodes {
            cluster.kill(*node);
        }
        for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
            cluster.start(&format!("new-{number}"), data_centre);
        }
        cluster.run_for(RECOVERY_TIME);
        assert_eq!(
            cluster.unserved().len(),
            SLOTS as usize,
            "slots were taken over without a majority of seals"
        );
        let names = (0..nodes.len()).map(|number| format!("node-{number}"));
        let names: Vec<String> = names.collect();
        for node in cluster.nodes().values().filter(|node| node.alive) {
            node.ownership.declare_lost(names.clone());
        }
        cluster.await_served(RECOVERY_TIME * 3);
    });
}

#[test]
fn declared_node_that_responds_keeps_its_slots() {
    for_each_seed(|cluster, nodes| {
        let before: Vec<_> = (0..SLOTS).map(|slot| cluster.owner(slot)).collect();
        let names = (0..nodes.len()).map(|number| format!("node-{number}"));
        let names: Vec<String> = names.collect();
        for node in cluster.nodes().values() {
            node.ownership.declare_lost(names.clone());
        }
        cluster.run_for(RECOVERY_TIME);
        let after: Vec<_> = (0..SLOTS).map(|slot| cluster.owner(slot)).collect();
        assert_eq!(before, after);
    });
}
