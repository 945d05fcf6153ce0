//! Reads of the table, and snapshots for the time that it is unavailable.

use crate::cluster::{Cluster, NetworkFaults};
use crate::support::{config_entry, live_entry, node, node_entry};
use ibiscove_spread::{Replica, ReplicatedRow, snapshot};
use ibiscove_store::{Objects, Table, Transaction};
use ibiscove_types::NodeState;

async fn write(table: &impl Table, entry: &ReplicatedRow) -> u64 {
    let version = table
        .get(&entry.key)
        .await
        .expect("the platform responds")
        .map(|row| row.version);
    let mut txn = Transaction::default();
    txn.replace(&entry.key, version, entry.body.to_vec());
    match table.commit(txn).await.expect("the platform responds") {
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
fn a_change_that_its_writer_did_not_push_is_read_from_the_table() {
    let cluster = Cluster::new(3, 12, NetworkFaults::default());
    smol::block_on(async {
        for incarnation in 1..=12 {
            write(&cluster.platform, &live_entry(incarnation)).await;
        }
        write(&cluster.platform, &config_entry(1, "# text", true)).await;
    });
    cluster.advance_seconds(3);
    assert!(
        cluster
            .replicas()
            .iter()
            .all(|replica| version(replica) == 1)
    );
}

#[test]
fn an_isolated_node_offers_no_rows_until_it_has_read_the_table() {
    let cluster = Cluster::new(4, 5, NetworkFaults::default());
    smol::block_on(async {
        for incarnation in 1..=5 {
            write(&cluster.platform, &live_entry(incarnation)).await;
        }
    });
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    // Node 5 holds a row of node 9, which the table and the others do not have.
    cluster.replica(5).apply([live_entry(9)]);
    cluster.partition(|incarnation| u32::from(incarnation == 5));
    cluster.advance_seconds(30);
    assert!(cluster.replica(5).may_be_stale());
    assert!(
        cluster.replica(5).age().as_secs() >= 29,
        "the age is reported"
    );
    cluster.partition(|_| 0);
    cluster.advance_seconds(5);
    assert_eq!(
        cluster.replica(1).node_count(),
        5,
        "no other node received the deleted row"
    );
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = false);
    cluster.advance_seconds(20);
    assert!(!cluster.replica(5).may_be_stale());
    for replica in cluster.replicas() {
        assert!(replica.map().node(9).is_none());
    }
}

#[test]
fn after_total_isolation_nodes_converge_without_the_table() {
    let cluster = Cluster::new(8, 8, NetworkFaults::default());
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    cluster.partition(|incarnation| incarnation as u32);
    cluster.advance_seconds(30);
    assert!(cluster.replicas().iter().all(Replica::may_be_stale));
    let row = node(3, NodeState::Live, &[(1, 7)]);
    cluster.apply_and_push(3, vec![node_entry(&row, 5)]);
    cluster.partition(|_| 0);
    cluster.advance_seconds(10);
    let digest = cluster.replica(3).digest();
    for replica in cluster.replicas() {
        assert_eq!(replica.digest(), digest);
        assert!(!replica.may_be_stale());
    }
}

#[test]
fn a_change_reaches_every_node_while_the_table_is_down() {
    let cluster = Cluster::new(
        5,
        30,
        NetworkFaults {
            loss: 0.1,
            ..Default::default()
        },
    );
    cluster
        .platform
        .update_faults(|faults| faults.unavailable = true);
    cluster.apply_and_push(2, vec![config_entry(1, "# text", true)]);
    cluster.advance_seconds(3);
    assert!(
        cluster
            .replicas()
            .iter()
            .all(|replica| version(replica) == 1)
    );
}

#[test]
fn one_node_writes_the_snapshot_and_a_starting_node_loads_it() {
    let cluster = Cluster::new(6, 6, NetworkFaults::default());
    cluster.apply_and_push(1, vec![config_entry(1, "# text", true)]);
    cluster.advance_seconds(65);
    let names = smol::block_on(cluster.platform.list("map/")).expect("the platform responds");
    assert_eq!(names.len(), 1, "unchanged rows are written once");
    let replica = Replica::default();
    let applied = smol::block_on(snapshot::load(&replica, &cluster.platform));
    assert_eq!(applied.expect("usable"), 7);
    assert_eq!(replica.digest(), cluster.replica(1).digest());
}

#[test]
fn with_a_corrupt_snapshot_the_previous_one_is_loaded() {
    smol::block_on(async {
        let cluster = Cluster::new(7, 0, NetworkFaults::default());
        let replica = Replica::default();
        replica.apply([live_entry(1)]);
        snapshot::write(&replica, &cluster.platform)
            .await
            .expect("the platform responds");
        replica.apply([node_entry(&node(1, NodeState::Draining, &[]), 2)]);
        snapshot::write(&replica, &cluster.platform)
            .await
            .expect("the platform responds");
        let newest = "map/snapshot-1";
        let body = cluster
            .platform
            .fetch(newest)
            .await
            .expect("the platform responds")
            .expect("written");
        let body = String::from_utf8(body)
            .expect("JSON")
            .replace("draining", "livelive");
        cluster
            .platform
            .put(newest, body.into_bytes())
            .await
            .expect("the platform responds");
        let started = Replica::default();
        assert_eq!(
            snapshot::load(&started, &cluster.platform)
                .await
                .expect("usable"),
            1
        );
        assert_eq!(
            started.versions()[0].1,
            1,
            "the row of the previous snapshot"
        );
    });
}
