//! Reads of the platform's table: at start, after too long without a comparison
//! with a peer, and periodically.
//!
//! Replication between nodes does not depend on the table. It is read when no
//! peer can be compared with, to detect deleted rows, and to find configuration
//! changes whose writer stopped before it pushed them.

use crate::{Replica, ReplicatedRow, SpreadSettings, metrics, push_rows, snapshot};
use ibiscove_store::{Objects, Table, TableError};
use ibiscove_types::rows::{CONFIG_PREFIX, NODE_PREFIX, SERVICE_PREFIX, node_key};
use ibiscove_types::{Clock, ClusterMap, Incarnation, RowVersion, hash};
use ibiscove_wire::Peers;
use std::sync::Arc;
use std::time::Instant;

/// Number of nodes that read the table's configuration rows every digest
/// interval.
const CONFIG_READER_COUNT: usize = 2;

/// Applies rows read from the table and returns those that were newer.
pub fn apply_rows(
    replica: &Replica,
    rows: impl IntoIterator<Item = (String, RowVersion, Arc<[u8]>)>,
) -> Vec<ReplicatedRow> {
    replica.apply(
        rows.into_iter()
            .map(|(key, version, body)| ReplicatedRow { key, version, body }),
    )
}

async fn scan(table: &impl Table, prefix: &str) -> Result<Vec<ReplicatedRow>, TableError> {
    let rows = table.scan(prefix).await?.into_iter();
    let rows = rows.map(|(key, row)| ReplicatedRow {
        key,
        version: row.version,
        body: row.body,
    });
    Ok(rows.collect())
}

/// Reads the whole table, applies its rows and returns those that were newer.
///
/// Rows that the table lacks are deleted from the replica, but only if the table
/// has this node's own row: a table without it is a different one, or has been
/// restored to an earlier state.
pub async fn read_table(
    replica: &Replica,
    table: &impl Table,
    incarnation: Incarnation,
) -> Result<Vec<ReplicatedRow>, TableError> {
    let versions_before = replica.versions();
    let mut rows = Vec::new();
    for prefix in [NODE_PREFIX, SERVICE_PREFIX, CONFIG_PREFIX] {
        match scan(table, prefix).await {
            Ok(scanned) => rows.extend(scanned),
            Err(err) => {
                metrics::count_table_read("failed");
                return Err(err);
            }
        }
    }
    let own = node_key(incarnation);
    if !rows.iter().any(|row| row.key == own) {
        metrics::count_table_read("without-own-row");
        return Ok(replica.apply(rows));
    }
    metrics::count_table_read("done");
    Ok(replica.reconcile(&versions_before, rows))
}

/// Reads the table when a read is due and writes snapshots if this node is
/// elected to, until the task is dropped.
pub async fn watch_table(
    replica: Replica,
    peers: impl Peers,
    platform: impl Table + Objects,
    clock: impl Clock,
    settings: SpreadSettings,
) {
    let mut rng = settings.rng();
    let mut schedule = Schedule::new(clock.now(), &settings, &mut rng);
    loop {
        clock.sleep(settings.digest_interval).await;
        let now = clock.now();
        let mut newer = Vec::new();
        if schedule.must_read_table(now, replica.may_be_stale()) {
            // Nodes that lose contact with each other become stale at the same
            // time; random jitter keeps them from reading the table together.
            schedule.next_read_at = now + settings.max_age.mul_f64(0.5 + rng.f64());
            match read_table(&replica, &platform, settings.incarnation).await {
                Ok(rows) => {
                    newer = rows;
                    schedule.reconcile_at = now + settings.reconcile_interval;
                }
                Err(err) => log::debug!("replication: the table was not read: {err}"),
            }
        } else if is_elected(&replica.map(), settings.incarnation, CONFIG_READER_COUNT) {
            match scan(&platform, CONFIG_PREFIX).await {
                Ok(rows) => newer = replica.apply(rows),
                Err(err) => log::debug!("replication: the configuration rows were not read: {err}"),
            }
        }
        push_rows(&replica, &peers, &settings, &newer).await;
        if now >= schedule.snapshot_at {
            schedule.snapshot_at = now + settings.snapshot_interval;
            schedule.snapshot_digest =
                write_snapshot(&replica, &platform, &settings, schedule.snapshot_digest).await;
        }
    }
}

/// When the next reads and writes are due.
struct Schedule {
    reconcile_at: Instant,
    /// Earliest time of the next read of the whole table.
    next_read_at: Instant,
    snapshot_at: Instant,
    /// Digest of the rows in the last snapshot that this node wrote.
    snapshot_digest: Option<u64>,
}

impl Schedule {
    /// Returns a schedule with random first times, so that nodes that start at
    /// the same time do not stay synchronised.
    fn new(now: Instant, settings: &SpreadSettings, rng: &mut fastrand::Rng) -> Self {
        Self {
            next_read_at: now,
            reconcile_at: now + settings.reconcile_interval.mul_f64(0.5 + rng.f64()),
            snapshot_at: now + settings.snapshot_interval.mul_f64(rng.f64()),
            snapshot_digest: None,
        }
    }

    fn must_read_table(&self, now: Instant, may_be_stale: bool) -> bool {
        now >= self.next_read_at && (may_be_stale || now >= self.reconcile_at)
    }
}

/// Writes a snapshot if this node is elected to and the rows have changed since
/// the last one; returns the digest of the last snapshot's rows.
async fn write_snapshot(
    replica: &Replica,
    objects: &impl Objects,
    settings: &SpreadSettings,
    snapshot_digest: Option<u64>,
) -> Option<u64> {
    let digest = replica.digest();
    let elected = is_elected(&replica.map(), settings.incarnation, 1);
    if !elected || snapshot_digest == Some(digest) || replica.may_be_stale() {
        return snapshot_digest;
    }
    match snapshot::write(replica, objects).await {
        Ok(()) => Some(digest),
        Err(err) => {
            log::debug!("replication: the snapshot was not written: {err}");
            snapshot_digest
        }
    }
}

/// Returns whether this node is among the `count` live nodes with the highest
/// hash (rendezvous hashing). Nodes with the same map elect the same nodes. With
/// different maps more or fewer nodes do the work, which affects only load.
fn is_elected(map: &ClusterMap, incarnation: Incarnation, count: usize) -> bool {
    let weight = |incarnation: Incarnation| hash::key_hash(&format!("table {incarnation:x}"));
    let own = weight(incarnation);
    let higher = map
        .live_nodes()
        .filter(|node| weight(node.row.incarnation) > own);
    map.node(incarnation).is_some() && higher.take(count).count() < count
}
