//! Snapshots of the rows in the object store, from which nodes bootstrap while
//! the table is down.
//!
//! Snapshots alternate between two objects, so that a corrupt or partially
//! written one leaves the other intact. A reader applies the rows of both, each
//! in its higher version; anti-entropy with peers then repairs what changed
//! since.

use crate::{Replica, ReplicatedRow, metrics};
use ibiscove_store::{Objects, TableError};
use ibiscove_types::RowVersion;
use ibiscove_types::hash::content_digest;
use serde::{Deserialize, Serialize};

/// Names of the two alternating objects.
const OBJECT_NAMES: [&str; 2] = ["map/snapshot-0", "map/snapshot-1"];
/// Version of the snapshot format.
const FORMAT_VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Snapshot {
    format: u32,
    /// Increases with every snapshot.
    version: u64,
    /// Checksum of `rows`.
    digest: String,
    /// The rows as JSON, in one string so that the digest covers exact bytes.
    rows: String,
}

#[derive(Serialize, Deserialize)]
struct SnapshotRow {
    key: String,
    version: RowVersion,
    body: String,
}

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The object store did not respond.
    #[error("{0}")]
    Objects(#[from] TableError),
    /// Neither object holds a usable snapshot.
    #[error("no usable snapshot: {0}")]
    Unusable(String),
}

/// Overwrites the older of the two snapshots with the replica's rows.
pub async fn write(replica: &Replica, objects: &impl Objects) -> Result<(), TableError> {
    let mut versions = [0; OBJECT_NAMES.len()];
    for (version, name) in versions.iter_mut().zip(OBJECT_NAMES) {
        let read = read(objects, name).await;
        *version = match read {
            Ok(snapshot) => snapshot.version,
            Err(SnapshotError::Objects(err)) => return Err(err),
            Err(SnapshotError::Unusable(_)) => 0,
        };
    }
    let older = usize::from(versions[0] > versions[1]);
    let snapshot = Snapshot::from_replica(replica, versions[0].max(versions[1]) + 1);
    let body = serde_json::to_vec(&snapshot).expect("plain data can be written");
    objects.put(OBJECT_NAMES[older], body).await
}

/// Applies the rows of both snapshots and returns how many were newer than the
/// replica's.
pub async fn load(replica: &Replica, objects: &impl Objects) -> Result<usize, SnapshotError> {
    let mut applied = 0;
    let mut failure = None;
    for name in OBJECT_NAMES {
        match read(objects, name).await.and_then(Snapshot::into_rows) {
            Ok(rows) => applied += replica.apply(rows).len(),
            Err(err) => failure = Some(err),
        }
    }
    match failure {
        Some(err) if applied == 0 => Err(err),
        _ => Ok(applied),
    }
}

async fn read(objects: &impl Objects, name: &str) -> Result<Snapshot, SnapshotError> {
    let unusable = |text: &str| SnapshotError::Unusable(format!("{name}: {text}"));
    let body = objects.fetch(name).await?;
    let body = body.ok_or_else(|| unusable("the object does not exist"))?;
    let snapshot: Snapshot =
        serde_json::from_slice(&body).map_err(|err| unusable(&err.to_string()))?;
    if snapshot.format != FORMAT_VERSION {
        return Err(unusable("unknown snapshot format"));
    }
    if content_digest(snapshot.rows.as_bytes()) != snapshot.digest {
        metrics::count_rejected("snapshot-digest");
        return Err(unusable("the rows do not match the digest"));
    }
    Ok(snapshot)
}

impl Snapshot {
    fn from_replica(replica: &Replica, version: u64) -> Self {
        let keys = replica.versions().into_iter().map(|(key, _)| key);
        let rows = replica.rows(keys).into_iter().map(|row| SnapshotRow {
            key: row.key,
            version: row.version,
            body: String::from_utf8_lossy(&row.body).into_owned(),
        });
        let rows: Vec<_> = rows.collect();
        let rows = serde_json::to_string(&rows).expect("plain data can be written");
        Self {
            format: FORMAT_VERSION,
            version,
            digest: content_digest(rows.as_bytes()),
            rows,
        }
    }

    fn into_rows(self) -> Result<Vec<ReplicatedRow>, SnapshotError> {
        let rows: Vec<SnapshotRow> = serde_json::from_str(&self.rows)
            .map_err(|err| SnapshotError::Unusable(err.to_string()))?;
        let rows = rows.into_iter().map(|row| ReplicatedRow {
            key: row.key,
            version: row.version,
            body: row.body.into_bytes().into(),
        });
        Ok(rows.collect())
    }
}
