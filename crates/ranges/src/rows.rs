//! The rows of a divided service in the table: one map and one lease row for
//! each node that may own ranges. All stand in one part, so one transaction
//! can change the map and end a lease.

use crate::map::{MapError, RangeMap};
use ibiscove_store::RawRow;
use ibiscove_types::{Incarnation, NodeName, RowVersion, UpstreamIncarnation};
use serde::{Deserialize, Serialize};

/// What the lease row of a node says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node.
    pub node: NodeName,
    /// The run of its process that renewed last.
    pub incarnation: Incarnation,
    /// The life of its upstream then.
    pub life: UpstreamIncarnation,
}

/// Why a row cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RowError {
    /// It is not the JSON that this version writes.
    #[error("row {key} cannot be read: {cause}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// What is wrong.
        cause: serde_json::Error,
    },
    /// The map contradicts itself.
    #[error("row {key}: {cause}")]
    Map {
        /// Key of the row.
        key: String,
        /// What is wrong.
        cause: MapError,
    },
}

/// Prefix of all rows of a service: table and part.
pub fn prefix(service: &str) -> String {
    format!("ranges/{service}/")
}

/// Key of a service's map.
pub fn map_key(service: &str) -> String {
    format!("ranges/{service}/map")
}

/// Key of a node's lease row.
pub fn lease_key(service: &str, node: &str) -> String {
    format!("ranges/{service}/lease-{node}")
}

/// Reads a map row.
pub fn read_map(key: &str, row: &RawRow) -> Result<RangeMap, RowError> {
    serde_json::from_slice(&row.body).map_err(|cause| RowError::Malformed {
        key: key.to_owned(),
        cause,
    })
}

/// All rows of a service as they were at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The map, if there is one.
    pub map: Option<(RowVersion, RangeMap)>,
    /// Version of each lease row, by node.
    pub leases: Vec<(NodeName, RowVersion)>,
}

impl Snapshot {
    /// Reads the rows of a scan. Rows of other writers are counted and left
    /// out.
    pub fn read(service: &str, rows: &[(String, RawRow)]) -> Result<Self, RowError> {
        let mut snapshot = Self::default();
        let map_key = map_key(service);
        let lease_prefix = lease_key(service, "");
        for (key, row) in rows {
            if *key == map_key {
                snapshot.map = Some((row.version, read_map(key, row)?));
            } else if let Some(node) = key.strip_prefix(&lease_prefix) {
                snapshot.leases.push((node.into(), row.version));
            } else {
                metrics::counter!("ibiscove_rows_unknown_total").increment(1);
                log::warn!("row {key} is of no known kind and left aside");
            }
        }
        Ok(snapshot)
    }

    /// Version of a node's lease row, if it has one.
    pub fn lease_of(&self, node: &str) -> Option<RowVersion> {
        let found = self.leases.iter().find(|(name, _)| &**name == node);
        found.map(|(_, version)| *version)
    }
}
