//! When the table is read, and what serves when it cannot be.

use crate::cluster::{Cluster, Weather};
use crate::support::{config_entry, live, node, node_entry};
use ibiscove_spread::{Entry, Replica, snapshot};
use ibiscove_store::{Objects, Table, Transaction};
use ibiscove_types::NodeState;

async fn write(table: &impl Table, entry: &Entry) -> u64 {
    let version = table
        .get(&entry.key)
        .await
        .expect("up")
        .map(|row| row.version);
    let mut txn = Transaction::default();
    txn.replace(&entry.key, version, entry.body.to_vec());
    match table.commit(txn).await.expect("up") {
        ibiscove_store::Commit::Done(versions) => versions[0],
        conflict => panic!("{conflict:?}"),
    }
}

fn version(replica: &Replica) -> u64 {
    replica
        .map()
        .config("inventory")
        .map_or(0, |config| config.row.version)
}

#[test]
fn a_change_whose_writer_told_nobody_is_found_in_the_table() {
    let cluster = Cluster::new(3, 12, Weather::default());
    smol::block_on(async {
        for incarnation in 1..=12 {
            write(&cluster.platform, &live(incarnation)).await;
        }
        write(&cluster.platform, &config_entry(1, "# text", true)).await;
    });
    cluster.pass(3);
    assert!(
        cluster
            .replicas()
            .iter()
            .all(|replica| version(replica) == 1)
    );
}

#[test]
fn a_node_that_compares_with_nobody_asks_the_table_and_offers_nothing_until_then() {
    let cluster = Cluster::new(4, 5, Weather::default());
    smol::block_on(async {
        for incarnation in 1..=5 {
            write(&cluster.platform, &live(incarnation)).await;
        }
    });
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    // Node 5 is frozen with a row of node 9 that all others forget meanwhile.
    cluster.replica(5).apply([live(9)]);
    cluster.partition(|incarnation| u32::from(incarnation == 5));
    cluster.pass(30);
    assert!(cluster.replica(5).is_suspect());
    assert!(cluster.replica(5).age().as_secs() >= 29, "the age is told");
    cluster.partition(|_| 0);
    cluster.pass(5);
    assert_eq!(
        cluster.replica(1).node_count(),
        5,
        "the old row came back to nobody"
    );
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = false);
    cluster.pass(20);
    assert!(!cluster.replica(5).is_suspect());
    for replica in cluster.replicas() {
        assert!(replica.map().node(9).is_none());
    }
}

#[test]
fn nodes_that_all_lost_one_another_agree_again_without_the_table() {
    let cluster = Cluster::new(8, 8, Weather::default());
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    cluster.partition(|incarnation| incarnation as u32);
    cluster.pass(30);
    assert!(cluster.replicas().iter().all(Replica::is_suspect));
    let row = node(3, NodeState::Live, &[(1, 7)]);
    cluster.publish(3, vec![node_entry(&row, 5)]);
    cluster.partition(|_| 0);
    cluster.pass(10);
    let digest = cluster.replica(3).digest();
    for replica in cluster.replicas() {
        assert_eq!(replica.digest(), digest);
        assert!(!replica.is_suspect());
    }
}

#[test]
fn an_outage_of_the_table_does_not_hold_up_a_change() {
    let cluster = Cluster::new(
        5,
        30,
        Weather {
            loss: 0.1,
            ..Default::default()
        },
    );
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    cluster.publish(2, vec![config_entry(1, "# text", true)]);
    cluster.pass(3);
    assert!(
        cluster
            .replicas()
            .iter()
            .all(|replica| version(replica) == 1)
    );
}

#[test]
fn one_node_writes_the_snapshot_and_a_starting_node_takes_it() {
    let cluster = Cluster::new(6, 6, Weather::default());
    cluster.publish(1, vec![config_entry(1, "# text", true)]);
    cluster.pass(65);
    let names = smol::block_on(cluster.platform.list("map/")).expect("up");
    assert_eq!(
        names.len(),
        1,
        "written once: the rows have not changed since"
    );
    let replica = Replica::default();
    let taken = smol::block_on(snapshot::load(&replica, &cluster.platform));
    assert_eq!(taken.expect("usable"), 7);
    assert_eq!(replica.digest(), cluster.replica(1).digest());
}

#[test]
fn a_damaged_snapshot_leaves_the_one_before() {
    smol::block_on(async {
        let cluster = Cluster::new(7, 0, Weather::default());
        let replica = Replica::default();
        replica.apply([live(1)]);
        snapshot::write(&replica, &cluster.platform)
            .await
            .expect("up");
        replica.apply([node_entry(&node(1, NodeState::Draining, &[]), 2)]);
        snapshot::write(&replica, &cluster.platform)
            .await
            .expect("up");
        let newest = "map/snapshot-1";
        let body = cluster
            .platform
            .fetch(newest)
            .await
            .expect("up")
            .expect("written");
        let body = String::from_utf8(body)
            .expect("JSON")
            .replace("draining", "livelive");
        cluster
            .platform
            .put(newest, body.into_bytes())
            .await
            .expect("up");
        let started = Replica::default();
        assert_eq!(
            snapshot::load(&started, &cluster.platform)
                .await
                .expect("usable"),
            1
        );
        assert_eq!(started.versions()[0].1, 1, "the earlier snapshot's row");
    });
}
