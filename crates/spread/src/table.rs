//! Reading the table: at the start, past the age limit, and now and then.
//!
//! Spreading needs no table. It is read when a node has nobody to compare
//! with, to find deleted rows, and for changes of the configuration whose
//! writer stopped before it told anybody.

use crate::{Replica, ReplicatedRow, SpreadSettings, metrics, push_rows, snapshot};
use ibiscove_store::{Objects, Table, TableError};
use ibiscove_types::rows::{CONFIG_PREFIX, NODE_PREFIX, SERVICE_PREFIX, node_key};
use ibiscove_types::{Clock, ClusterMap, Incarnation, RowVersion, hash};
use ibiscove_wire::Peers;
use std::sync::Arc;
use std::time::Instant;

/// Nodes that look for new configuration rows in the table each second.
const CONFIG_READERS: usize = 2;

/// Takes the table's rows as a starting or catching-up node does.
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
    let entries = rows.map(|(key, row)| ReplicatedRow {
        key,
        version: row.version,
        body: row.body,
    });
    Ok(entries.collect())
}

/// Reads the whole table; gives the rows that were new here.
///
/// Rows that the table lacks are forgotten, but only when it has this node's
/// own row: a table without it is another one, or was put back to an old state.
pub async fn read_table(
    replica: &Replica,
    table: &impl Table,
    incarnation: Incarnation,
) -> Result<Vec<ReplicatedRow>, TableError> {
    let known_before = replica.versions();
    let mut rows = Vec::new();
    for prefix in [NODE_PREFIX, SERVICE_PREFIX, CONFIG_PREFIX] {
        match scan(table, prefix).await {
            Ok(entries) => rows.extend(entries),
            Err(err) => {
                metrics::table_read("failed");
                return Err(err);
            }
        }
    }
    let own = node_key(incarnation);
    if !rows.iter().any(|row| row.key == own) {
        metrics::table_read("without-own-row");
        return Ok(replica.apply(rows));
    }
    metrics::table_read("done");
    Ok(replica.reconcile(&known_before, rows))
}

/// Reads the table when there is reason to, until the task is dropped, and
/// writes the snapshot when that falls to this node.
pub async fn watch_table(
    replica: Replica,
    peers: impl Peers,
    platform: impl Table + Objects,
    clock: impl Clock,
    settings: SpreadSettings,
) {
    let mut rng = settings.rng();
    let mut times = Times::new(clock.now(), &settings, &mut rng);
    loop {
        clock.sleep(settings.digest_interval).await;
        let now = clock.now();
        let mut newer = Vec::new();
        if times.must_read_table(now, replica.may_be_stale()) {
            // Nodes that lost one another together must not ask together.
            times.retry_at = now + settings.max_age.mul_f64(0.5 + rng.f64());
            match read_table(&replica, &platform, settings.incarnation).await {
                Ok(rows) => {
                    newer = rows;
                    times.reconcile_at = now + settings.reconcile_interval;
                }
                Err(err) => log::debug!("the table was not read: {err}"),
            }
        } else if is_chosen(&replica.map(), settings.incarnation, CONFIG_READERS) {
            match scan(&platform, CONFIG_PREFIX).await {
                Ok(rows) => newer = replica.apply(rows),
                Err(err) => log::debug!("the configuration was not read: {err}"),
            }
        }
        push_rows(&replica, &peers, &settings, &newer).await;
        if now >= times.snapshot_at {
            times.snapshot_at = now + settings.snapshot_interval;
            times.written = write_snapshot(&replica, &platform, &settings, times.written).await;
        }
    }
}

struct Times {
    reconcile_at: Instant,
    /// When the table may be read again, whatever the reason.
    retry_at: Instant,
    snapshot_at: Instant,
    /// Digest of the rows in the last snapshot.
    written: Option<u64>,
}

impl Times {
    /// The first times are spread, so that nodes that start together do not
    /// read together for ever.
    fn new(now: Instant, settings: &SpreadSettings, rng: &mut fastrand::Rng) -> Self {
        Self {
            retry_at: now,
            reconcile_at: now + settings.reconcile_interval.mul_f64(0.5 + rng.f64()),
            snapshot_at: now + settings.snapshot_interval.mul_f64(rng.f64()),
            written: None,
        }
    }

    fn must_read_table(&self, now: Instant, suspect: bool) -> bool {
        now >= self.retry_at && (suspect || now >= self.reconcile_at)
    }
}

/// Writes a snapshot if it falls to this node and the rows have changed; gives
/// the digest of the rows in the last one.
async fn write_snapshot(
    replica: &Replica,
    objects: &impl Objects,
    settings: &SpreadSettings,
    written: Option<u64>,
) -> Option<u64> {
    let digest = replica.digest();
    let chosen = is_chosen(&replica.map(), settings.incarnation, 1);
    if !chosen || written == Some(digest) || replica.may_be_stale() {
        return written;
    }
    match snapshot::write(replica, objects).await {
        Ok(()) => Some(digest),
        Err(err) => {
            log::debug!("the snapshot was not written: {err}");
            written
        }
    }
}

/// Whether this node is among the `count` live nodes with the highest hash.
/// All nodes with the same map choose alike; with different maps some more or
/// fewer do the work, which costs reads and never correctness.
fn is_chosen(map: &ClusterMap, incarnation: Incarnation, count: usize) -> bool {
    let weight = |incarnation: Incarnation| hash::key_hash(&format!("table {incarnation:x}"));
    let own = weight(incarnation);
    let higher = map
        .live_nodes()
        .filter(|node| weight(node.row.incarnation) > own);
    map.node(incarnation).is_some() && higher.take(count).count() < count
}
