//! The table rows of a divided service: one row for each section of its range
//! map, and one lease row for each node that may own ranges. All rows of an era of
//! the table are in one partition, so that one transaction can change the map and
//! end a lease, and none that was decided in an earlier era changes a row of a later
//! one.

use crate::map::{Claim, MAX_FENCE, MapSection, Owner, SECTION_COUNT, SectionIndex};
use ibiscove_store::RawRow;
use ibiscove_store::era::Era;
use ibiscove_types::{Incarnation, NodeName, RowVersion, UpstreamIncarnation};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Body of a node's lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node.
    pub node: NodeName,
    /// The incarnation of the node's process that renewed the lease last.
    pub incarnation: Incarnation,
    /// The upstream incarnation at that time.
    pub life: UpstreamIncarnation,
    /// Ranges that the upstream holds since an earlier era and that the map does not
    /// show yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<Claim>,
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
    /// The row holds another section than its key says.
    #[error("row {key} holds section {section} of the map")]
    WrongSection {
        /// Key of the row.
        key: String,
        /// The section in its body.
        section: SectionIndex,
    },
    /// The map was written by a version that stored it as one row.
    #[error(
        "row {key} is of a version that stored the map in one row; stop all nodes and remove it"
    )]
    EarlierFormat {
        /// Key of the row.
        key: String,
    },
}

/// Returns the prefix of all rows of a service in an era: table and partition.
pub fn prefix(service: &str, era: Era) -> String {
    match era {
        0 => format!("ranges/{service}/"),
        _ => format!("ranges/{service}@{era}/"),
    }
}

/// Returns the key of a section of a service's map.
pub fn section_key(service: &str, era: Era, section: SectionIndex) -> String {
    format!("{}map-{section:02}", prefix(service, era))
}

/// Returns the section whose key this is.
pub fn section_of_key(service: &str, era: Era, key: &str) -> Option<SectionIndex> {
    let (_, index) = key.rsplit_once("/map-")?;
    let section = index.parse().ok().filter(|index| *index < SECTION_COUNT)?;
    (section_key(service, era, section) == key).then_some(section)
}

/// Returns the key of a node's lease row.
pub fn lease_key(service: &str, era: Era, node: &str) -> String {
    format!("{}lease-{node}", prefix(service, era))
}

/// Parses a row that holds a section of the map.
pub fn parse_section(
    key: &str,
    section: SectionIndex,
    row: &RawRow,
) -> Result<MapSection, RowError> {
    let parsed: MapSection =
        serde_json::from_slice(&row.body).map_err(|cause| RowError::Malformed {
            key: key.to_owned(),
            cause,
        })?;
    if parsed.index() != section {
        return Err(RowError::WrongSection {
            key: key.to_owned(),
            section: parsed.index(),
        });
    }
    Ok(parsed)
}

/// All rows of a service, read by one scan.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The sections of the map that exist, each with its version.
    pub sections: Vec<(RowVersion, Arc<MapSection>)>,
    /// Version of each lease row, by node.
    pub leases: Vec<(NodeName, RowVersion)>,
    /// Ranges that lease rows claim.
    pub claims: Vec<(Owner, Vec<Claim>)>,
    /// The sections whose rows exist and cannot be read, each with its row's version.
    /// Nothing is known of their owners.
    pub unreadable: Vec<(RowVersion, SectionIndex)>,
}

impl Snapshot {
    /// Parses the rows of a scan. Rows with an unknown key are counted and ignored.
    /// Sections that cannot be read are counted, logged and listed as such. The known
    /// state of one says who owned its keys, and not who owns them now: no key of it may
    /// be assigned, nor granted under a lease that was acquired since.
    pub fn parse(service: &str, era: Era, rows: &[(String, RawRow)]) -> Result<Self, RowError> {
        let mut snapshot = Self::default();
        let earlier_key = format!("{}map", prefix(service, era));
        let lease_prefix = lease_key(service, era, "");
        for (key, row) in rows {
            if let Some(section) = section_of_key(service, era, key) {
                match parse_section(key, section, row) {
                    Ok(parsed) => snapshot.sections.push((row.version, Arc::new(parsed))),
                    Err(err) => {
                        metrics::counter!("ibiscove_rows_malformed_total").increment(1);
                        log::error!("a section of the map of {service} cannot be read: {err}");
                        snapshot.unreadable.push((row.version, section));
                    }
                }
            } else if let Some(node) = key.strip_prefix(&lease_prefix) {
                snapshot.leases.push((node.into(), row.version));
                snapshot.claims.extend(parse_claims(key, node, row));
            } else if *key == earlier_key {
                return Err(RowError::EarlierFormat { key: key.clone() });
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

/// Returns the claims of a lease row. A row whose content is unknown still is a
/// lease, as which only its version counts.
fn parse_claims(key: &str, node: &str, row: &RawRow) -> Option<(Owner, Vec<Claim>)> {
    let lease = match serde_json::from_slice::<LeaseRow>(&row.body) {
        Ok(lease) if lease.claims.is_empty() => return None,
        Ok(lease) => lease,
        Err(err) => {
            log::warn!("the claims of row {key} are ignored, since it is malformed: {err}");
            return None;
        }
    };
    if *lease.node != *node {
        log::warn!(node = &*lease.node; "the claims of row {key} are ignored, since they are for another node");
        return None;
    }
    // A section with such a fence would be refused by all nodes.
    if let Some(claim) = lease.claims.iter().find(|claim| claim.fence > MAX_FENCE) {
        log::warn!(fence = claim.fence;
            "the claims of row {key} are ignored, since nobody assigns this fence");
        return None;
    }
    let owner = Owner {
        node: lease.node,
        life: lease.life,
    };
    Some((owner, lease.claims))
}
