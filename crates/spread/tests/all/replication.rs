//! Replication under network faults: rows reach every node, and their versions
//! never decrease.

use crate::cluster::{Cluster, NetworkFaults};
use crate::support::{addr, config_entry, live_entry, node, node_entry};
use ibiscove_spread::{Replica, SpreadSettings, propagate_rows};
use ibiscove_types::NodeState;
use ibiscove_wire::messages::{Entries, Request, Response};
use ibiscove_wire::{PeerError, Peers};
use smol::LocalExecutor;
use smol::channel::Receiver;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use yare::parameterized;

/// Time within which a change must be in force on every node, in seconds.
const PROPAGATION_LIMIT_SECONDS: u32 = 3;
const SEED_COUNT: u64 = 12;

const NO_FAULTS: NetworkFaults = NetworkFaults {
    loss: 0.0,
    duplication: 0.0,
    corruption: 0.0,
    delays: false,
};

fn version(replica: &Replica) -> u64 {
    replica
        .map()
        .config("inventory")
        .map_or(0, |config| config.row.version)
}

fn lagging_count(cluster: &Cluster, newest: u64) -> usize {
    let replicas = cluster.replicas();
    replicas
        .iter()
        .filter(|replica| version(replica) < newest)
        .count()
}

#[parameterized(
    no_faults = { NO_FAULTS },
    loss = { NetworkFaults { loss: 0.1, ..NO_FAULTS } },
    duplication = { NetworkFaults { duplication: 0.5, delays: true, ..NO_FAULTS } },
    corruption = { NetworkFaults { corruption: 0.3, loss: 0.1, ..NO_FAULTS } },
    all_faults = { NetworkFaults { loss: 0.1, duplication: 0.2, corruption: 0.1, delays: true } },
)]
fn under_network_faults_a_change_reaches_every_node_in_three_seconds(faults: NetworkFaults) {
    for seed in 0..SEED_COUNT {
        let cluster = Cluster::new(seed, 60, faults);
        cluster.advance_seconds(2);
        for (round, at) in [(1, 7), (2, 31)] {
            cluster.apply_and_push(at, vec![config_entry(round, "# text", true)]);
            cluster.advance_seconds(PROPAGATION_LIMIT_SECONDS);
            assert_eq!(
                lagging_count(&cluster, round),
                0,
                "seed {seed}, version {round}"
            );
        }
    }
}

#[parameterized(no_faults = { NO_FAULTS }, loss = { NetworkFaults { loss: 0.1, ..NO_FAULTS } })]
fn a_text_too_long_for_its_row_reaches_every_node_in_three_seconds(faults: NetworkFaults) {
    let text = "# long\n".repeat(10_000);
    for seed in 0..SEED_COUNT {
        let cluster = Cluster::new(seed, 30, faults);
        let writer = cluster.replica(5);
        assert_eq!(
            writer.apply([config_entry(1, &text, false)]).len(),
            0,
            "pending without its text"
        );
        assert_eq!(version(&writer), 0);
        let rows = writer.supply_text(text.clone().into_bytes());
        assert_eq!(version(&writer), 1);
        cluster.push(5, rows);
        cluster.advance_seconds(PROPAGATION_LIMIT_SECONDS);
        assert_eq!(lagging_count(&cluster, 1), 0, "seed {seed}");
        let replica = cluster.replica(30);
        let map = replica.map();
        assert_eq!(map.config("inventory").expect("a version").row.body, text);
    }
}

#[test]
fn changes_on_both_sides_of_a_partition_converge_after_it_ends() {
    for seed in 0..SEED_COUNT {
        let cluster = Cluster::new(seed, 20, NO_FAULTS);
        cluster.partition(|incarnation| u32::from(incarnation > 10));
        let row = node(3, NodeState::Live, &[(1, 7)]);
        cluster.apply_and_push(3, vec![node_entry(&row, 5)]);
        cluster.apply_and_push(15, vec![config_entry(1, "# text", true)]);
        cluster.advance_seconds(30);
        assert_eq!(
            lagging_count(&cluster, 1),
            10,
            "only one side has the change"
        );
        cluster.partition(|_| 0);
        cluster.advance_seconds(PROPAGATION_LIMIT_SECONDS);
        let digests: Vec<_> = cluster.replicas().iter().map(Replica::digest).collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "seed {seed}"
        );
        assert_eq!(lagging_count(&cluster, 1), 0, "seed {seed}");
    }
}

/// Guards the case of a lost data centre: some nodes are unreachable, and the
/// rows of many others change at the same time.
#[test]
fn simultaneous_changes_of_all_rows_reach_every_node_in_three_seconds() {
    const NODE_COUNT: u64 = 40;
    const LOST_COUNT: u64 = 5;
    let faults = NetworkFaults {
        loss: 0.1,
        ..NO_FAULTS
    };
    for seed in 0..SEED_COUNT {
        let cluster = Cluster::new(seed, NODE_COUNT, faults);
        cluster.partition(|incarnation| u32::from(incarnation <= LOST_COUNT));
        for incarnation in 1..=NODE_COUNT {
            let state = match incarnation <= LOST_COUNT {
                true => NodeState::Retired,
                false => NodeState::Live,
            };
            let writer = LOST_COUNT + 1 + incarnation % (NODE_COUNT - LOST_COUNT);
            let row = node(incarnation, state, &[(incarnation as u32, 9)]);
            cluster.apply_and_push(writer, vec![node_entry(&row, 2)]);
        }
        cluster.advance_seconds(PROPAGATION_LIMIT_SECONDS);
        for incarnation in LOST_COUNT + 1..=NODE_COUNT {
            let map = cluster.replica(incarnation).map();
            assert_eq!(
                map.live_nodes().count() as u64,
                NODE_COUNT - LOST_COUNT,
                "seed {seed}"
            );
            assert!(map.nodes().all(|node| node.version == 2), "seed {seed}");
        }
    }
}

#[test]
fn comparing_many_rows_that_differ_in_one_sends_under_a_tenth_of_the_versions() {
    let cluster = Cluster::new(1, 2, NO_FAULTS);
    for incarnation in [1, 2] {
        let rows = (100..1_400).map(live_entry);
        cluster.replica(incarnation).apply(rows);
    }
    let replicas = cluster.replicas();
    let versions = replicas[0].versions();
    let all_versions: usize = versions.iter().map(|(key, _)| key.len() + 2).sum();
    let row = node(7, NodeState::Live, &[(1, 1)]);
    replicas[0].apply([node_entry(&row, 9)]);
    cluster.bytes();
    smol::block_on(cluster.compare_once(2, 1)).expect("the peer responds");
    assert_eq!(replicas[0].digest(), replicas[1].digest());
    let bytes = cluster.bytes();
    assert!(bytes * 10 < all_versions, "{bytes} of {all_versions} bytes");
}

/// A peer that answers no fetch until the test lets it.
#[derive(Clone)]
struct HeldPeer {
    fetches: Arc<AtomicUsize>,
    may_answer: Receiver<()>,
}

impl Peers for HeldPeer {
    async fn call(&self, _addr: SocketAddr, req: Request) -> Result<Response, PeerError> {
        if let Request::Fetch(_) = req {
            self.fetches.fetch_add(1, Ordering::SeqCst);
            let _ = self.may_answer.recv().await;
        }
        Ok(Response::Entries(Entries::new(Vec::new())))
    }
}

/// Guards against a text that every push and every comparison fetches once more while it
/// is still arriving, so that the fetches share the link and none comes to an end.
#[test]
fn a_text_is_fetched_twice_at_a_time_at_most() {
    let replica = Replica::default();
    replica.apply([config_entry(1, "# long", false)]);
    let (tx, rx) = smol::channel::unbounded();
    let fetches = Arc::new(AtomicUsize::new(0));
    let peer = HeldPeer {
        fetches: Arc::clone(&fetches),
        may_answer: rx,
    };
    let settings = SpreadSettings::default();
    let executor = LocalExecutor::new();
    let start = || {
        let task = propagate_rows(&replica, &peer, &settings, Some(addr(1)), &[]);
        executor.spawn(task).detach();
        while executor.try_tick() {}
    };
    (0..6).for_each(|_| start());
    assert_eq!(fetches.load(Ordering::SeqCst), 2);
    // One has ended without the text; another one takes its place.
    tx.try_send(()).expect("fetches wait");
    while executor.try_tick() {}
    (0..6).for_each(|_| start());
    assert_eq!(fetches.load(Ordering::SeqCst), 3);
}
