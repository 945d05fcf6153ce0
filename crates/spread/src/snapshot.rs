//! Snapshots of the rows in the object store, for nodes that start while the
//! table is down.
//!
//! Two objects are written in turn, so that a damaged or unfinished one leaves
//! the other. A reader takes the rows of both, each in its higher version; the
//! peers then heal what changed since.

use crate::{Replica, ReplicatedRow, metrics};
use ibiscove_store::{Objects, TableError};
use ibiscove_types::RowVersion;
use ibiscove_types::hash::content_digest;
use serde::{Deserialize, Serialize};

/// Names of the two objects.
const NAMES: [&str; 2] = ["map/snapshot-0", "map/snapshot-1"];
/// Version of the format.
const FORMAT: u32 = 1;

#[derive(Serialize, Deserialize)]
struct Snapshot {
    format: u32,
    /// Rises with every snapshot.
    version: u64,
    /// Checksum of `rows`.
    digest: String,
    /// The rows as JSON, as one text so that its checksum is of bytes.
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
    /// The object store gave no answer.
    #[error("{0}")]
    Objects(#[from] TableError),
    /// Neither object holds a usable snapshot.
    #[error("no usable snapshot: {0}")]
    Unusable(String),
}

/// Writes the rows in place of the older of the two snapshots.
pub async fn write(replica: &Replica, objects: &impl Objects) -> Result<(), TableError> {
    let mut versions = [0; NAMES.len()];
    for (version, name) in versions.iter_mut().zip(NAMES) {
        let read = read(objects, name).await;
        *version = match read {
            Ok(snapshot) => snapshot.version,
            Err(SnapshotError::Objects(err)) => return Err(err),
            Err(SnapshotError::Unusable(_)) => 0,
        };
    }
    let older = usize::from(versions[0] > versions[1]);
    let snapshot = Snapshot::of(replica, versions[0].max(versions[1]) + 1);
    let body = serde_json::to_vec(&snapshot).expect("plain data can be written");
    objects.put(NAMES[older], body).await
}

/// Takes the rows of both snapshots; gives how many were new here.
pub async fn load(replica: &Replica, objects: &impl Objects) -> Result<usize, SnapshotError> {
    let mut taken = 0;
    let mut failure = None;
    for name in NAMES {
        match read(objects, name).await.and_then(Snapshot::entries) {
            Ok(entries) => taken += replica.apply(entries).len(),
            Err(err) => failure = Some(err),
        }
    }
    match failure {
        Some(err) if taken == 0 => Err(err),
        _ => Ok(taken),
    }
}

async fn read(objects: &impl Objects, name: &str) -> Result<Snapshot, SnapshotError> {
    let unusable = |text: &str| SnapshotError::Unusable(format!("{name}: {text}"));
    let body = objects.fetch(name).await?;
    let body = body.ok_or_else(|| unusable("it does not exist"))?;
    let snapshot: Snapshot =
        serde_json::from_slice(&body).map_err(|err| unusable(&err.to_string()))?;
    if snapshot.format != FORMAT {
        return Err(unusable("its format is not known"));
    }
    if content_digest(snapshot.rows.as_bytes()) != snapshot.digest {
        metrics::rejected("snapshot-digest");
        return Err(unusable("its rows do not match its digest"));
    }
    Ok(snapshot)
}

impl Snapshot {
    fn of(replica: &Replica, version: u64) -> Self {
        let keys = replica.versions().into_iter().map(|(key, _)| key);
        let rows = replica.rows(keys).into_iter().map(|entry| SnapshotRow {
            key: entry.key,
            version: entry.version,
            body: String::from_utf8_lossy(&entry.body).into_owned(),
        });
        let rows: Vec<_> = rows.collect();
        let rows = serde_json::to_string(&rows).expect("plain data can be written");
        Self {
            format: FORMAT,
            version,
            digest: content_digest(rows.as_bytes()),
            rows,
        }
    }

    fn entries(self) -> Result<Vec<ReplicatedRow>, SnapshotError> {
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
