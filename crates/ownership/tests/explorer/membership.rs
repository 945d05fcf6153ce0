//! Membership changes: nodes that start or leave one after another.

use crate::cluster::{Cluster, SLOTS};
use crate::scenarios::{RECOVERY_TIME, SEEDS, TAKEOVER_LIMIT, for_each_seed, owner, witnesses};
use ibiscove_types::Slot;
use std::time::Duration;

/// Data centre of each node.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
/// Interval between the starts of two nodes.
const START_INTERVAL: Duration = Duration::from_secs(1);

/// Starts nodes one after another, with `expected_members` members in the
/// inventory.
fn start_staggered(seed: u64, expected_members: u32) -> Cluster {
    let cluster = Cluster::new(seed);
    cluster.set_expected_members(expected_members);
    for (number, data_centre) in DATA_CENTRES.iter().enumerate() {
        cluster.start(&format!("node-{number}"), data_centre);
        cluster.run_for(START_INTERVAL);
    }
    cluster
}

#[test]
fn first_member_claims_only_its_share_while_others_are_expected() {
    for seed in SEEDS {
        let cluster = start_staggered(seed, DATA_CENTRES.len() as u32);
        cluster.await_served(RECOVERY_TIME);
        let share = (SLOTS as usize).div_ceil(DATA_CENTRES.len());
        let nodes: Vec<_> = cluster.nodes().keys().copied().collect();
        for node in nodes {
            let grants = cluster.row(node).grants.len();
            assert!(grants <= share, "seed {seed}: {grants} of {SLOTS} slots");
        }
        assert!(cluster.finish().is_empty(), "seed {seed}");
    }
}

#[test]
fn missing_expected_members_do_not_block_claims_for_long() {
    for seed in SEEDS {
        let cluster = start_staggered(seed, 2 * DATA_CENTRES.len() as u32);
        cluster.await_served(RECOVERY_TIME);
        assert!(cluster.finish().is_empty(), "seed {seed}");
    }
}

#[test]
fn long_request_on_a_draining_node_delays_only_its_own_slot() {
    for_each_seed(|cluster, _| {
        let from = owner(cluster);
        let ownership = cluster.nodes()[&from].ownership.clone();
        let admission = ownership.admit(Some(0)).expect("the node serves the slot");
        let grants = ownership.row().grants;
        let others: Vec<Slot> = grants.iter().map(|g| g.slot).filter(|s| *s != 0).collect();
        cluster.drain(from);
        cluster.await_condition("the other slots have moved", TAKEOVER_LIMIT, |cluster| {
            let new_owner = |slot: &Slot| cluster.owner(*slot).is_some_and(|node| node != from);
            others.iter().all(new_owner)
        });
        drop(admission);
        cluster.await_served(TAKEOVER_LIMIT);
    });
}

#[test]
fn node_is_taken_over_after_two_of_its_witnesses_leave() {
    for_each_seed(|cluster, _| {
        let monitored = owner(cluster);
        let leaving = witnesses(cluster, monitored)[..2].to_vec();
        for node in &leaving {
            cluster.drain(*node);
        }
        cluster.await_condition("both have left", RECOVERY_TIME, |cluster| {
            leaving.iter().all(|node| !cluster.nodes()[node].alive)
        });
        cluster.kill(monitored);
        cluster.await_served(TAKEOVER_LIMIT);
    });
}
