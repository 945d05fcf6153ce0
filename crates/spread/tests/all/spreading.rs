//! Rows reach every node whatever the network does, and never go back.

use crate::cluster::{Cluster, Weather};
use crate::support::{config_entry, live, node, node_entry};
use ibiscove_spread::Replica;
use ibiscove_types::NodeState;
use yare::parameterized;

/// The time within which a change is in force everywhere, in seconds.
const IN_FORCE_SECONDS: u32 = 3;
const SEEDS: u64 = 12;

const FAIR: Weather = Weather {
    loss: 0.0,
    repeats: 0.0,
    damage: 0.0,
    delays: false,
};

fn version(replica: &Replica) -> u64 {
    replica
        .map()
        .config("inventory")
        .map_or(0, |config| config.row.version)
}

fn lagging(cluster: &Cluster, newest: u64) -> usize {
    let replicas = cluster.replicas();
    replicas
        .iter()
        .filter(|replica| version(replica) < newest)
        .count()
}

#[parameterized(
    fair = { FAIR },
    lossy = { Weather { loss: 0.1, ..FAIR } },
    repeating = { Weather { repeats: 0.5, delays: true, ..FAIR } },
    damaging = { Weather { damage: 0.3, loss: 0.1, ..FAIR } },
    all = { Weather { loss: 0.1, repeats: 0.2, damage: 0.1, delays: true } },
)]
fn a_change_is_on_every_node_in_three_seconds(weather: Weather) {
    for seed in 0..SEEDS {
        let cluster = Cluster::new(seed, 60, weather);
        cluster.pass(2);
        for (round, at) in [(1, 7), (2, 31)] {
            cluster.publish(at, vec![config_entry(round, "# text", true)]);
            cluster.pass(IN_FORCE_SECONDS);
            assert_eq!(lagging(&cluster, round), 0, "seed {seed}, version {round}");
        }
    }
}

#[parameterized(fair = { FAIR }, lossy = { Weather { loss: 0.1, ..FAIR } })]
fn a_text_too_long_for_its_row_arrives_with_it(weather: Weather) {
    let text = "# long\n".repeat(10_000);
    for seed in 0..SEEDS {
        let cluster = Cluster::new(seed, 30, weather);
        let writer = cluster.replica(5);
        assert_eq!(
            writer.apply([config_entry(1, &text, false)]).len(),
            0,
            "held back"
        );
        assert_eq!(version(&writer), 0);
        let rows = writer.supply_text(text.clone().into_bytes());
        assert_eq!(version(&writer), 1);
        cluster.push(5, rows);
        cluster.pass(IN_FORCE_SECONDS);
        assert_eq!(lagging(&cluster, 1), 0, "seed {seed}");
        let replica = cluster.replica(30);
        let map = replica.map();
        assert_eq!(map.config("inventory").expect("a version").row.body, text);
    }
}

#[test]
fn both_sides_of_a_partition_go_on_and_agree_afterwards() {
    for seed in 0..SEEDS {
        let cluster = Cluster::new(seed, 20, FAIR);
        cluster.partition(|incarnation| u32::from(incarnation > 10));
        let row = node(3, NodeState::Live, &[(1, 7)]);
        cluster.publish(3, vec![node_entry(&row, 5)]);
        cluster.publish(15, vec![config_entry(1, "# text", true)]);
        cluster.pass(30);
        assert_eq!(lagging(&cluster, 1), 10, "one side has the change");
        cluster.partition(|_| 0);
        cluster.pass(IN_FORCE_SECONDS);
        let digests: Vec<_> = cluster.replicas().iter().map(Replica::digest).collect();
        assert!(
            digests.iter().all(|digest| *digest == digests[0]),
            "seed {seed}"
        );
        assert_eq!(lagging(&cluster, 1), 0, "seed {seed}");
    }
}

/// As when a data centre is lost: some nodes answer nothing, and the rows of
/// many others change at the same moment.
#[test]
fn a_burst_of_rows_is_on_every_node_in_three_seconds() {
    const NODES: u64 = 40;
    const LOST: u64 = 5;
    let weather = Weather { loss: 0.1, ..FAIR };
    for seed in 0..SEEDS {
        let cluster = Cluster::new(seed, NODES, weather);
        cluster.partition(|incarnation| u32::from(incarnation <= LOST));
        for incarnation in 1..=NODES {
            let state = match incarnation <= LOST {
                true => NodeState::Retired,
                false => NodeState::Live,
            };
            let writer = LOST + 1 + incarnation % (NODES - LOST);
            let row = node(incarnation, state, &[(incarnation as u32, 9)]);
            cluster.publish(writer, vec![node_entry(&row, 2)]);
        }
        cluster.pass(IN_FORCE_SECONDS);
        for incarnation in LOST + 1..=NODES {
            let map = cluster.replica(incarnation).map();
            assert_eq!(map.live_nodes().count() as u64, NODES - LOST, "seed {seed}");
            assert!(map.nodes().all(|node| node.version == 2), "seed {seed}");
        }
    }
}

#[test]
fn comparing_many_rows_that_differ_in_one_costs_a_small_part_of_them() {
    let cluster = Cluster::new(1, 2, FAIR);
    for incarnation in [1, 2] {
        let rows = (100..1_400).map(live);
        cluster.replica(incarnation).apply(rows);
    }
    let replicas = cluster.replicas();
    let versions = replicas[0].versions();
    let whole: usize = versions.iter().map(|(key, _)| key.len() + 2).sum();
    let row = node(7, NodeState::Live, &[(1, 1)]);
    replicas[0].apply([node_entry(&row, 9)]);
    cluster.bytes();
    smol::block_on(cluster.repair_once(2, 1)).expect("the peer answers");
    assert_eq!(replicas[0].digest(), replicas[1].digest());
    let bytes = cluster.bytes();
    assert!(bytes * 10 < whole, "{bytes} of {whole} bytes");
}
