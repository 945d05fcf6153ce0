//! The table rows of a divided service: one map, and one lease row for each
//! node that may own ranges. All are in one partition, so that one transaction
//! can change the map and end a lease.

use crate::map::{MapError, RangeMap};
use ibiscove_store::RawRow;
use ibiscove_types::{Incarnation, NodeName, RowVersion, UpstreamIncarnation};
use serde::{Deserialize, Serialize};

/// Body of a node's lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node.
    pub node: NodeName,
    /// The incarnation of the node's process that renewed the lease last.
    pub incarnation: Incarnation,
    /// The upstream incarnation at that time.
    pub life: UpstreamIncarnation,
}

/// Why a row is invalid.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// The body is not the JSON that this version writes.
    #[error("row {key} is malformed: {cause}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// The parse error.
        cause: serde_json::Error,
    },
    /// The map is inconsistent.
    #[error("row {key}: {cause}")]
    Map {
        /// Key of the row.
        key: String,
        /// The inconsistency.
        cause: MapError,
    },
}

/// Returns the prefix of all rows of a service: table and partition.
pub fn prefix(service: &str) -> String {
    format!("ranges/{service}/")
}

/// Returns the key of a service's map.
pub fn map_key(service: &str) -> String {
    format!("ranges/{service}/map")
}

/// Returns the key of a node's lease row.
pub fn lease_key(service: &str, node: &str) -> String {
    format!("ranges/{service}/lease-{node}")
}

/// Parses a map row.
pub fn parse_map(key: &str, row: &RawRow) -> Result<RangeMap, RowError> {
    serde_json::from_slice(&row.body).map_err(|cause| RowError::Malformed {
        key: key.to_owned(),
        cause,
    })
}

/// All rows of a service, read by one scan.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The map and its version, if it exists.
    pub map: Option<(RowVersion, RangeMap)>,
    /// Version of each lease row, by node.
    pub leases: Vec<(NodeName, RowVersion)>,
}

impl Snapshot {
    /// Parses the rows of a scan. Rows with an unknown key are counted and
    /// ignored.
    pub fn parse(service: &str, rows: &[(String, RawRow)]) -> Result<Self, RowError> {
        let mut snapshot = Self::default();
        let map_key = map_key(service);
        let lease_prefix = lease_key(service, "");
        for (key, row) in rows {
            if *key == map_key {
                snapshot.map = Some((row.version, parse_map(key, row)?));
            } else if let Some(node) = key.strip_prefix(&lease_prefix) {
                snapshot.leases.push((node.into(), row.version));
            } else {
                metrics::counter!("ibiscove_rows_unknown_total").increment(1);
                log::warn!("row {key} is ignored: its key is neither a map nor a lease key");
            }
        }
        Ok(snapshot)
    }

    /// Returns the version of a node's lease row, if it exists.
    pub fn lease_version_of(&self, node: &str) -> Option<RowVersion> {
        let lease = self.leases.iter().find(|(name, _)| &**name == node);
        lease.map(|(_, version)| *version)
    }
}
